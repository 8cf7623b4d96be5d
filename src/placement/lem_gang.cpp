// Gang scheduling: places tasks that start all at the same time or not at all.
#include <algorithm>

#include "placement/lem.hpp"

namespace wellstair::placement {
namespace {

// Approximate number of start times tried for a gang, spread over the ends of allocations. Bounds the search for long
// queues.
constexpr std::size_t kMaxGangStarts = 24;

Resources min_of(const Resources& a, const Resources& b) {
    return {std::min(a.cores, b.cores), std::min(a.gpus, b.gpus), std::min(a.ramGb, b.ramGb)};
}

// The resources that are free from `at` on for `length` seconds, despite allocations that begin meanwhile.
Resources free_from(const Machine& machine, double at, double length) {
    Resources free = free_at(machine, at);
    for (const Allocation& allocation : machine.allocations)
        if (allocation.from > at && allocation.from < at + length)
            free = min_of(free, free_at(machine, allocation.from));
    return free;
}

}  // namespace

// Number of tasks of the request that fit on the machine from `at` on, for their estimated duration.
std::uint32_t Planner::capacity(std::size_t machine, const Request& request, double at) const {
    if (at <= now_ && !hasFutureAllocations_[machine]) return fit_count(free_[machine], request.need);
    return fit_count(free_from(machines_[machine], at, request.estimatedDurationS), request.need);
}

// The machines with free capacity at that time, lowest score first; empty if not all tasks fit on them.
std::vector<Planner::GangCandidate> Planner::gang_candidates(const Request& request, const MachineList& among,
                                                             double at) const {
    std::vector<GangCandidate> candidates;
    std::uint64_t total = 0;
    for (std::size_t machine : among) {
        if (!zone_allowed(request, machines_[machine].zone)) continue;
        std::uint32_t tasks = std::min(capacity(machine, request, at), request.count);
        if (tasks > 0) candidates.push_back({machine, tasks, 0});
        total += tasks;
    }
    if (total < request.count) return {};
    const bool isSaturated = saturated();
    for (GangCandidate& candidate : candidates) {
        const Machine& machine = machines_[candidate.machine];
        candidate.score = score(machine, request, at, image_ready_at(machine, request.image), isSaturated);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const GangCandidate& a, const GangCandidate& b) { return a.score < b.score; });
    return candidates;
}

std::optional<Planner::GangPlacement> Planner::gang_in_group(const Request& request, const MachineList& among,
                                                             double at) {
    machinesExamined_ += among.size();
    Request remaining = request;  // updated with the tasks placed so far
    GangPlacement placement;
    for (const GangCandidate& candidate : gang_candidates(request, among, at)) {
        std::uint32_t zone = machines_[candidate.machine].zone;
        for (std::uint32_t task = 0; task < candidate.capacity; ++task) {
            if (placement.slots.size() >= request.count || !zone_allowed(remaining, zone)) break;
            placement.slots.push_back({candidate.machine, at});
            placement.score = candidate.score;
            remaining.count_task_in(zone);
        }
    }
    if (placement.slots.size() < request.count) return std::nullopt;
    return placement;
}

// Groups of machines, within one of which the gang is placed: one group for each zone if the tasks must be co-located,
// in the order in which zones first appear; otherwise all machines in a single group.
std::vector<Planner::MachineList> Planner::gang_groups(const Request& request, bool startNowOnly) {
    MachineList all = machines_for(request, startNowOnly);
    if (!request.coLocated || request.count == 1) return {std::move(all)};
    std::vector<MachineList> groups;
    std::vector<std::uint32_t> zones;  // by group
    for (std::size_t machine : all) {
        auto known = std::find(zones.begin(), zones.end(), machines_[machine].zone);
        auto group = static_cast<std::size_t>(known - zones.begin());
        if (known == zones.end()) {
            zones.push_back(machines_[machine].zone);
            groups.emplace_back();
        }
        groups[group].push_back(machine);
    }
    return groups;
}

// Chooses the group where the last machine of the gang is ready earliest.
std::vector<Slot> Planner::place_gang_at(const Request& request, const std::vector<MachineList>& groups, double at) {
    std::optional<GangPlacement> best;
    for (const MachineList& group : groups) {
        auto placement = gang_in_group(request, group, at);
        if (placement && (!best || placement->score < best->score)) best = std::move(placement);
    }
    if (!best) return {};
    for (const Slot& slot : best->slots) allocate(slot.machine, at, request);
    return best->slots;
}

// The distinct times at which resources of these machines become free, ascending. Leaves out tasks without a known end.
std::vector<double> Planner::allocation_ends(const std::vector<MachineList>& groups) const {
    std::vector<double> ends;
    for (const MachineList& group : groups)
        for (std::size_t machine : group)
            for (const Allocation& allocation : machines_[machine].allocations)
                if (allocation.until > now_ && allocation.until - now_ < kUnboundedDurationS / 2)
                    ends.push_back(allocation.until);
    std::sort(ends.begin(), ends.end());
    ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
    return ends;
}

std::vector<Slot> Planner::place_gang(const Request& request, bool startNowOnly) {
    auto slots = place_gang_at(request, gang_groups(request, true), now_);
    if (!slots.empty() || startNowOnly) return slots;
    const std::vector<MachineList> groups = gang_groups(request, false);
    const std::vector<double> starts = allocation_ends(groups);
    const std::size_t stride = std::max<std::size_t>(1, starts.size() / kMaxGangStarts);
    for (std::size_t i = 0; i < starts.size(); i += stride) {
        slots = place_gang_at(request, groups, starts[i]);
        if (!slots.empty()) return slots;
    }
    return {};
}

}  // namespace wellstair::placement
