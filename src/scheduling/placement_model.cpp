#include "scheduling/placement_model.hpp"

#include <algorithm>
#include <map>

#include "scheduling/duration_estimates.hpp"
#include "scheduling/job_needs.hpp"

namespace wellstair::scheduling {

using placement::Machine;
using placement::Request;
using state::HostRecord;
using state::Job;
using state::Task;
using state::TaskRef;
using workers::HostTracker;

namespace {

// Penalties in LEM's score: the heartbeat interval divided by these.
constexpr double kGpuHostPenaltyDivisor = 3;
constexpr double kEmptyHostPenaltyDivisor = 2;
constexpr double kSameZonePenaltyDivisor = 2;
constexpr double kPeerHostPenaltyDivisor = 10;
// Penalty in LEM's score, in heartbeat intervals.
constexpr double kSameHostPenaltyIntervals = 2;
// A task that has run for longer than estimated is expected to run on for its estimate divided by this.
constexpr double kOverdueRemainingDivisor = 5;
// A stop command takes effect on a task within about the heartbeat interval divided by this.
constexpr double kStopDelayDivisor = 2;
// Allocations reserved for tasks that the plan adds to a machine; rarely more.
constexpr std::size_t kSpareAllocations = 2;
// Lower bound of a task's duration: even a task estimated at zero takes some time.
constexpr double kMinDurationS = 0.1;

}  // namespace

placement::Weights PlacementModel::weights(std::size_t machines) const {
    const double intervalS = context_.settings().heartbeatIntervalS;
    placement::Weights weights;
    weights.loadOverheadWeight = options_.leaWeight > 0 ? options_.leaWeight : static_cast<double>(machines);
    weights.gpuHostPenaltyS = intervalS / kGpuHostPenaltyDivisor;
    weights.emptyHostPenaltyS = intervalS / kEmptyHostPenaltyDivisor;
    weights.sameHostPenaltyS = kSameHostPenaltyIntervals * intervalS;
    weights.sameZonePenaltyS = intervalS / kSameZonePenaltyDivisor;
    weights.mode = options_.mode;
    return weights;
}

std::uint32_t PlacementModel::zone_id(const std::string& zone) {
    auto it = std::find(zones_.begin(), zones_.end(), zone);
    if (it == zones_.end()) it = zones_.insert(zones_.end(), zone);
    return static_cast<std::uint32_t>(it - zones_.begin());
}

std::uint32_t PlacementModel::node_pool_id(const std::string& machineType, const std::string& zone, bool spot) {
    for (std::size_t i = 0; i < nodePools_.size(); ++i)
        if (nodePools_[i].spot == spot && nodePools_[i].machineType == machineType && nodePools_[i].zone == zone)
            return static_cast<std::uint32_t>(i);
    nodePools_.push_back({machineType, zone, spot});
    return static_cast<std::uint32_t>(nodePools_.size() - 1);
}

ClusterSnapshot PlacementModel::snapshot(Timestamp now) {
    ClusterSnapshot cluster;
    for (const auto& [name, host] : context_.state().hosts())
        if (eligibility_.eligible(*host, now) && context_.state().machine_type(host->machineType))
            cluster.hosts.push_back(host.get());
    std::sort(cluster.hosts.begin(), cluster.hosts.end(),
              [](const HostRecord* a, const HostRecord* b) { return a->name < b->name; });
    cluster.machines.reserve(cluster.hosts.size());
    for (const HostRecord* host : cluster.hosts) cluster.machines.push_back(machine_of(*host, now));
    return cluster;
}

Machine PlacementModel::machine_of(const HostRecord& host, Timestamp now) {
    const wire::MachineType& type = *context_.state().machine_type(host.machineType);
    const bool ledHere = context_.leads_host(&host);
    Machine machine;
    machine.nodePool = node_pool_id(host.machineType, host.zone, host.spot);
    machine.zone = zone_id(host.zone);
    machine.total = {type.cores, type.gpus, type.ramGb};
    machine.cacheGb = type.cacheGb;
    machine.fetchGbPerS =
        options_.fetchGbPerS > 0 ? options_.fetchGbPerS : context_.state().fetch_rate(host.machineType);
    machine.cache = &host.cache;
    machine.busy = !host.placed.empty();
    // Two controllers with different views of the image caches could each leave a task to the other's host. A small
    // penalty for hosts of peers makes both act instead; the state service accepts one of the starts.
    if (!ledHere) machine.penaltyS = context_.settings().heartbeatIntervalS / kPeerHostPenaltyDivisor;
    machine.allocations.reserve(host.placed.size() + kSpareAllocations);
    const HostTracker* tracker = ledHere ? hosts_.find(host.name) : nullptr;
    for (const TaskRef& ref : host.placed) machine.allocations.push_back(allocation_of(ref, machine, tracker, now));
    return machine;
}

placement::Allocation PlacementModel::allocation_of(const TaskRef& ref, const Machine& machine,
                                                    const HostTracker* tracker, Timestamp now) const {
    const wire::JobSpec& spec = *ref.job->spec;
    const double intervalS = context_.settings().heartbeatIntervalS;
    const Task task = ref.job->task(ref.index, context_.state().chunk_size());
    double until = task.placedAtS + spec.imageGb / machine.fetchGbPerS + occupied_s(spec);
    until = std::max(until, now.wall + std::max(intervalS, spec.estimatedDurationS / kOverdueRemainingDivisor));
    const bool preempted = tracker && tracker->evictions.count({ref.job->id, ref.index});
    if (preempted) until = now.wall + spec.checkpointWriteS + intervalS / kStopDelayDivisor;
    return {now.wall - 1, until, need_of(spec)};
}

Request PlacementModel::request_of(const Job& job) const {
    const wire::JobSpec& spec = *job.spec;
    Request request;
    request.need = need_of(spec);
    request.image = spec.image;
    request.imageGb = spec.imageGb;
    request.estimatedDurationS = std::max(occupied_s(spec), kMinDurationS);
    request.antiAffine = spec.service() && spec.taskCount > 1;
    request.coLocated = spec.coLocated;
    request.spread = spec.spread;
    request.maxTasksPerZone = (spec.taskCount + 1) / 2;
    request.allowed.reserve(nodePools_.size());
    for (const NodePool& pool : nodePools_)
        request.allowed.push_back(allows(spec, pool.machineType, pool.zone, pool.spot));
    const bool zonesMatter = spec.coLocated || spec.spread || request.antiAffine;
    if (zonesMatter && job.placed > 0) add_tasks_per_zone(job, request);
    return request;
}

void PlacementModel::add_tasks_per_zone(const Job& job, Request& request) const {
    std::map<std::uint32_t, std::uint32_t> tasks;  // by zone
    for (const auto& chunk : job.chunks)
        for (const Task& task : chunk.tasks) {
            if (!task.host) continue;
            auto zone = std::find(zones_.begin(), zones_.end(), task.host->zone);
            ++tasks[static_cast<std::uint32_t>(zone - zones_.begin())];
        }
    request.tasksPerZone.assign(tasks.begin(), tasks.end());
}

Request PlacementModel::unconstrained_request(const wire::JobSpec& spec, std::uint32_t count) const {
    Job job;
    job.spec = spec;
    Request request = request_of(job);
    request.coLocated = request.spread = false;
    request.count = count;
    return request;
}

}  // namespace wellstair::scheduling
