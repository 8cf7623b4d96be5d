#include "scheduling/plan_builder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/stable_hash.hpp"
#include "scheduling/job_needs.hpp"

namespace wellstair::scheduling {

using placement::Request;
using placement::Resources;
using placement::Slot;
using state::HostRecord;
using state::Job;
using state::Task;
using state::TaskState;

namespace {

// Bounds the cost of a plan: once this many machines have been examined, no later starts are promised any more, and
// jobs further back only start now, where they delay no promised start. Aged jobs are exempt.
constexpr std::uint64_t kMaxPromiseExaminations = 4096;
constexpr std::uint32_t kMaxTasksPerJob = 256;  // of one batch or service, per plan
constexpr double kUnlimited = 1e12;             // headroom of a team without a limit
// Capacity is reserved for what usually arrives within this many heartbeat intervals. Per job class it is bounded by
// kReserveTasks tasks or by the number of machines divided by kReserveMachinesDivisor, whichever is more.
constexpr double kReserveIntervals = 2;
constexpr double kReserveTasks = 8;
constexpr double kReserveMachinesDivisor = 16;
// Interval between the turns of controllers that place the same job one after another: the heartbeat interval divided
// by this.
constexpr double kTurnIntervalDivisor = 16;
// Seconds for which only the controller that is responsible for a batch places it.
constexpr double kOwnerTurnS = 1;

bool has_started(const Job& job) {
    return job.placed + job.done > 0;
}

}  // namespace

PlanBuilder::PlanBuilder(const PlanningInputs& inputs, PlanPurpose purpose, Timestamp now, ClusterSnapshot cluster)
    : inputs_(inputs),
      settings_(inputs.context.settings()),
      purpose_(purpose),
      now_(now),
      planner_(now.wall, std::move(cluster.machines), inputs.model.weights(cluster.hosts.size())) {
    plan_.hosts = std::move(cluster.hosts);
}

Plan PlanBuilder::build() {
    compute_team_headroom();
    inputs_.demand.record_needs(now_);
    if (starting()) inputs_.heldBack.remove_released(now_);
    reserveForArrivals_ = !inputs_.heldBack.any_held_too_long(now_);
    for (const QueuedJob& queued : inputs_.queueOrder.ordered_queue(planner_.machines(), now_)) {
        reserve_for_arrivals(queued);
        place_job(queued);
    }
    plan_.machines = planner_.machines();
    return std::move(plan_);
}

void PlanBuilder::compute_team_headroom() {
    const auto& records = inputs_.context.state().teams();
    for (const config::Team& team : settings_.teams) {
        auto record = records.find(team.name);
        const state::QuotaAmount used = record == records.end() ? state::QuotaAmount{} : record->second.total;
        const double cores = used.cores / 1000.0;
        const double gpus = used.gpus / 1000.0;
        const Resources headroom{team.cpusMax > 0 ? team.cpusMax - cores : kUnlimited,
                                 team.gpusMax > 0 ? team.gpusMax - gpus : kUnlimited, kUnlimited};
        teamHeadroom_[team.name] = {headroom, headroom};
    }
}

void PlanBuilder::reserve_for_arrivals(const QueuedJob& queued) {
    if (!reserveForArrivals_ || queued.aged) return;
    for (const auto& [name, jobClass] : inputs_.demand.by_class()) {
        const bool higher = static_cast<int>(jobClass.latestSpec.priority) < queued.priority;
        if (!higher || jobClass.arrivals.empty() || !reservedClasses_.insert(name).second) continue;
        reserve_for_class(jobClass);
    }
}

void PlanBuilder::reserve_for_class(const ClassArrivals& jobClass) {
    const double expected =
        std::ceil(jobClass.tasks() * kReserveIntervals * settings_.heartbeatIntervalS / inputs_.demand.window_s());
    const double maxTasks = std::max(kReserveTasks, static_cast<double>(plan_.hosts.size()) / kReserveMachinesDivisor);
    const Request request = inputs_.model.unconstrained_request(
        jobClass.latestSpec, static_cast<std::uint32_t>(std::min(expected, maxTasks)));
    std::map<std::size_t, std::uint32_t> tasks;  // by machine
    for (const Slot& slot : planner_.place_batch(request, true)) ++tasks[slot.machine];
    const Resources perTask = need_of(jobClass.latestSpec);
    for (const auto& [machine, count] : tasks) {
        Resources free = placement::free_at(planner_.machines()[machine], now_.wall);
        for (std::uint32_t k = 0; k < count; ++k) free += perTask;
        arrivalReserves_.push_back({planner_.machines()[machine].nodePool, free});
    }
}

void PlanBuilder::place_job(const QueuedJob& queued) {
    Job& job = *queued.job;
    if (!may_start(job)) return;
    const wire::JobSpec& spec = *job.spec;
    const bool gang = job.multi_task_gang();
    TeamHeadroom& headroom = teamHeadroom_[spec.team];
    const TaskRange range = startable_tasks(queued, headroom);
    if (range.max < range.min) {
        if (starting() && held_back_by_team_priorities(job, headroom, range.min)) inputs_.heldBack.record(job, now_);
        return;
    }
    collect_open_tasks(job, range.max);
    Request request = request_for(job);
    request.count = gang ? spec.taskCount : static_cast<std::uint32_t>(openTasks_.size());
    if (request.count == 0) return;
    const bool startOnly = planner_.machines_examined() > kMaxPromiseExaminations && !queued.aged;
    const Started started =
        record_starts(job, gang ? planner_.place_gang(request, startOnly) : planner_.place_batch(request, startOnly));
    headroom.remaining = {headroom.remaining.cores - started.tasks * spec.cores,
                          headroom.remaining.gpus - started.tasks * spec.gpus, headroom.remaining.ramGb};
    if (starting()) {
        if (queued.aged && started.tasks > 0) inputs_.queueOrder.record_aged_start(queued, started.tasks, now_);
        if (!has_started(job) && !started.tasks && held_back_by_reserve(request)) inputs_.heldBack.record(job, now_);
    }
    const bool complete = started.tasks == request.count;
    if (!complete)
        plan_.unmet.push_back({&job, request.count - started.tasks, queued.overQuota, started.earliestStartS});
    apply_reservation(job, complete);
}

bool PlanBuilder::may_start(const Job& job) {
    if (inputs_.jobHistories.backing_off(job.id, now_)) return false;
    if (job.multi_task_gang() && job.gang_state() != state::GangState::open) return false;
    if (!starting()) return true;
    const double turnS = turn_s(job);
    if (turnS <= now_.wall) return true;
    nextTurnS_ = std::min(nextTurnS_, turnS);
    return false;
}

double PlanBuilder::turn_s(const Job& job) const {
    const bool single = job.spec->taskCount == 1 && !job.service();
    if (job.gang() || single || inputs_.context.responsible(job)) return 0;
    double turn = 1;
    const auto own = stable_hash(settings_.member, job.id);
    for (const config::MemberAddress& peer : settings_.members)
        if (peer.name != job.owner && stable_hash(peer.name, job.id) < own) ++turn;
    const double afterS = turn * (settings_.heartbeatIntervalS / kTurnIntervalDivisor);
    // The responsible controller places all replicas of a service, on hosts of any leader. Other controllers do so only
    // if replicas remain open.
    if (job.service()) return inputs_.jobHistories.open_since(job) + settings_.heartbeatIntervalS + afterS;
    return static_cast<double>(job.submittedAtS) + kOwnerTurnS + afterS;
}

Resources PlanBuilder::need_withheld_from(const QueuedJob& queued) const {
    if (queued.aged || inputs_.heldBack.held_too_long(queued.job->id, now_)) return {};
    return inputs_.demand.need_of_higher_priorities(queued.job->spec->team, queued.priority);
}

PlanBuilder::TaskRange PlanBuilder::startable_tasks(const QueuedJob& queued, const TeamHeadroom& headroom) const {
    const wire::JobSpec& spec = *queued.job->spec;
    const std::uint32_t fit =
        placement::fit_count(headroom.remaining - need_withheld_from(queued), quota_need_of(spec));
    if (queued.job->multi_task_gang()) return {spec.taskCount, fit < spec.taskCount ? 0 : spec.taskCount};
    return {1, std::min(fit, kMaxTasksPerJob)};
}

bool PlanBuilder::held_back_by_team_priorities(const Job& job, const TeamHeadroom& headroom, std::uint32_t minTasks) {
    if (has_started(job) || !headroom.beforePlan) return false;
    return placement::fit_count(*headroom.beforePlan, quota_need_of(*job.spec)) >= minTasks;
}

void PlanBuilder::collect_open_tasks(const Job& job, std::uint32_t maxTasks) {
    const std::uint32_t chunkSize = inputs_.context.state().chunk_size();
    openTasks_.clear();
    for (std::uint32_t c = 0; c < job.chunks.size() && openTasks_.size() < maxTasks; ++c) {
        const state::Chunk& chunk = job.chunks[c];
        const std::uint32_t first = c * chunkSize;
        const std::uint32_t size = std::min(chunkSize, job.spec->taskCount - first);
        if (!chunk.tasks.empty() && chunk.done + chunk.placed == size) continue;
        for (std::uint32_t i = 0; i < size && openTasks_.size() < maxTasks; ++i)
            if (chunk.tasks.empty() || chunk.tasks[i].state == TaskState::open) openTasks_.push_back(first + i);
    }
}

Request PlanBuilder::request_for(const Job& job) const {
    Request request = inputs_.model.request_of(job);
    if (request.antiAffine) request.replicaMachines = machines_of(job);
    return request;
}

std::vector<std::size_t> PlanBuilder::machines_of(const Job& job) const {
    std::vector<std::size_t> machines;
    for (const state::Chunk& chunk : job.chunks)
        for (const Task& task : chunk.tasks) {
            if (!task.host) continue;
            if (auto machine = machine_index(task.host->name)) machines.push_back(*machine);
        }
    return machines;
}

std::optional<std::size_t> PlanBuilder::machine_index(const std::string& host) const {
    auto record = std::lower_bound(plan_.hosts.begin(), plan_.hosts.end(), host,
                                   [](const HostRecord* a, const std::string& name) { return a->name < name; });
    if (record == plan_.hosts.end() || (*record)->name != host) return std::nullopt;
    return static_cast<std::size_t>(record - plan_.hosts.begin());
}

PlanBuilder::Started PlanBuilder::record_starts(Job& job, const std::vector<Slot>& slots) {
    const std::uint32_t chunkSize = inputs_.context.state().chunk_size();
    const bool gang = job.multi_task_gang();
    Started started;
    PlannedStart gangStart{&job, {}, 0};  // used for a gang only
    for (const Slot& slot : slots) {
        if (slot.start > now_.wall) {
            started.earliestStartS = std::min(started.earliestStartS, slot.start);
            continue;
        }
        const std::uint32_t index = openTasks_[started.tasks++];
        HostRecord* host = plan_.hosts[slot.machine];
        const std::uint32_t attempt = job.task(index, chunkSize).attempt + 1;
        if (gang) {
            gangStart.tasks.emplace_back(index, host);
            gangStart.attempt = std::max(gangStart.attempt, attempt);
        } else {
            plan_.starts.push_back({&job, {{index, host}}, attempt});
        }
    }
    if (gang && gangStart.tasks.size() == job.spec->taskCount) plan_.starts.push_back(std::move(gangStart));
    return started;
}

bool PlanBuilder::held_back_by_reserve(const Request& request) const {
    return std::any_of(arrivalReserves_.begin(), arrivalReserves_.end(), [&](const ArrivalReserve& reserve) {
        return request.allowed[reserve.nodePool] && request.need.fits(reserve.free);
    });
}

void PlanBuilder::apply_reservation(const Job& job, bool complete) {
    const Reservation* reservation = inputs_.preemption.reservation(job.id);
    if (!reservation) return;
    if (complete) {
        inputs_.preemption.release_reservation(job.id);
        return;
    }
    for (const std::string& host : reservation->hosts)
        if (auto machine = machine_index(host)) planner_.reserve(*machine, need_of(*job.spec), reservation->untilS);
}

}  // namespace wellstair::scheduling
