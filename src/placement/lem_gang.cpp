// The part of the planner that places gangs: tasks that start all at one time or not at all.
#include <algorithm>

#include "placement/lem.hpp"

namespace wellstair::placement {
namespace {

// Starts of a gang that are tried, spread over the ends of holds, so that a long queue does not cost a long search.
constexpr std::size_t kMaxGangStarts = 24;

Resources least(const Resources& a, const Resources& b) {
    return {std::min(a.cores, b.cores), std::min(a.gpus, b.gpus), std::min(a.ramGb, b.ramGb)};
}

// What is free at `at` and stays so, whatever begins later, for `length` seconds.
Resources free_from(const Machine& machine, double at, double length) {
    Resources free = free_at(machine, at);
    for (const Allocation& hold : machine.allocations)
        if (hold.from > at && hold.from < at + length) free = least(free, free_at(machine, hold.from));
    return free;
}

}  // namespace

// Tasks of the request that the machine can hold from `at` on, for as long as they take.
std::uint32_t Planner::capacity(std::size_t machine, const Request& request, double at) const {
    if (at <= now_ && !promised_[machine]) return fit_count(free_[machine], request.need);
    return fit_count(free_from(machines_[machine], at, request.estimatedDurationS), request.need);
}

// The machines with room at that time, lowest score first; none if they have no room for all tasks together.
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
    const bool full = saturated();
    for (GangCandidate& candidate : candidates) {
        const Machine& machine = machines_[candidate.machine];
        candidate.score = score(machine, request, at, cached_at(machine, request.image), full);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const GangCandidate& a, const GangCandidate& b) { return a.score < b.score; });
    return candidates;
}

std::optional<Planner::GangPlacement> Planner::gang_in_group(const Request& request, const MachineList& among,
                                                             double at) {
    looked_ += among.size();
    Request remaining = request;  // with the tasks placed so far
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

// The machines among which a gang is placed: of one zone each if its tasks have to be in one zone, in the order in
// which zones first appear; else all of them.
std::vector<Planner::MachineList> Planner::gang_groups(const Request& request, bool startOnly) {
    MachineList all = machines_for(request, startOnly);
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

// The group where the last of the gang's machines is ready first is taken.
std::vector<Slot> Planner::place_gang_at(const Request& request, const std::vector<MachineList>& groups, double at) {
    std::optional<GangPlacement> best;
    for (const MachineList& group : groups) {
        auto placement = gang_in_group(request, group, at);
        if (placement && (!best || placement->score < best->score)) best = std::move(placement);
    }
    if (!best) return {};
    for (const Slot& slot : best->slots) hold(slot.machine, at, request);
    return best->slots;
}

// When resources of these machines get free, rising, each time once.
std::vector<double> Planner::ends_of_holds(const std::vector<MachineList>& groups) const {
    std::vector<double> ends;
    for (const MachineList& group : groups)
        for (std::size_t machine : group)
            for (const Allocation& hold : machines_[machine].allocations)
                if (hold.until > now_ && hold.until - now_ < kUnboundedDurationS / 2) ends.push_back(hold.until);
    std::sort(ends.begin(), ends.end());
    ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
    return ends;
}

std::vector<Slot> Planner::place_gang(const Request& request, bool startOnly) {
    auto slots = place_gang_at(request, gang_groups(request, true), now_);
    if (!slots.empty() || startOnly) return slots;
    const std::vector<MachineList> groups = gang_groups(request, false);
    const std::vector<double> starts = ends_of_holds(groups);
    const std::size_t stride = std::max<std::size_t>(1, starts.size() / kMaxGangStarts);
    for (std::size_t i = 0; i < starts.size(); i += stride) {
        slots = place_gang_at(request, groups, starts[i]);
        if (!slots.empty()) return slots;
    }
    return {};
}

}  // namespace wellstair::placement
