#include "placement/lem.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace wellstair::placement {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kMinHoldS = 1e-3;  // a hold has a length, whatever was estimated

// A machine that has been promised this often over is of no use for further promises: they would be too far off to be
// true, and each makes the next look at it dearer.
constexpr std::size_t kMaxHolds = 48;

// What `looked` counts, beside each look at a machine: so many holds, or comparisons of scores, cost as much as one.
constexpr std::size_t kHoldsPerLook = 8;
constexpr std::size_t kComparisonsPerLook = 16;

bool ends_earlier(const Allocation& a, const Allocation& b) {
    return a.until < b.until;
}

Resources most(const Resources& a, const Resources& b) {
    return {std::max(a.cores, b.cores), std::max(a.gpus, b.gpus), std::max(a.ramGb, b.ramGb)};
}

// A change of what is free on a machine, when a hold begins or ends.
struct FreeChange {
    double at;
    Resources change;
};

// The changes after `now` that the holds make, in the order of time.
void list_changes(const std::vector<Allocation>& allocations, double now, std::vector<FreeChange>& changes) {
    changes.clear();
    for (const Allocation& hold : allocations) {
        if (hold.until <= now) continue;
        if (hold.from > now) changes.push_back({hold.from, Resources{} - hold.need});
        changes.push_back({hold.until, hold.need});
    }
    std::sort(changes.begin(), changes.end(), [](const FreeChange& a, const FreeChange& b) { return a.at < b.at; });
}

}  // namespace

std::uint32_t fit_count(const Resources& room, const Resources& need) {
    constexpr double kMostTimes = 1e6;
    constexpr double kNothing = 1e-9;  // less than this is not needed at all
    double fitting = kMostTimes;
    auto limitBy = [&](double total, double each) {
        if (each > kNothing) fitting = std::min(fitting, total / each);
    };
    limitBy(room.cores, need.cores);
    limitBy(room.gpus, need.gpus);
    limitBy(room.ramGb, need.ramGb);
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(fitting + Resources::kTolerance)));
}

Resources free_at(const Machine& machine, double at) {
    Resources used;
    for (const Allocation& hold : machine.allocations)
        if (hold.from <= at && at < hold.until) used += hold.need;
    return machine.total - used;
}

void Request::count_task_in(std::uint32_t zone) {
    for (auto& [name, tasks] : tasksPerZone)
        if (name == zone) {
            ++tasks;
            return;
        }
    tasksPerZone.emplace_back(zone, 1);
}

Planner::Planner(double now, std::vector<Machine> machines, Weights weights)
    : now_(now), machines_(std::move(machines)), weights_(weights) {
    free_.reserve(machines_.size());
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        Machine& machine = machines_[i];
        idle_ += !machine.busy;
        std::sort(machine.allocations.begin(), machine.allocations.end(), ends_earlier);
        free_.push_back(free_at(machine, now_));
        promised_.push_back(std::any_of(machine.allocations.begin(), machine.allocations.end(),
                                        [&](const Allocation& hold) { return hold.from > now_; }));
        if (machine.nodePool >= byNodePool_.size()) {
            byNodePool_.resize(machine.nodePool + 1);
            roomiest_.resize(machine.nodePool + 1);
        }
        byNodePool_[machine.nodePool].push_back(i);
        roomiest_[machine.nodePool] = most(roomiest_[machine.nodePool], free_.back());
    }
}

bool Planner::saturated() const {
    if (weights_.mode == Weights::Mode::eft) return false;
    if (weights_.mode == Weights::Mode::lea) return true;
    return idle_ == 0;
}

// Line 3 of algorithms 2 and 3; with promises to respect, line 3' of section IV.C.
double Planner::earliest_start(std::size_t machine, const Resources& need, double length) const {
    if (!need.fits(machines_[machine].total)) return kNever;
    if (!promised_[machine]) return earliest_after_running(machine, need);
    return earliest_between_holds(machine, need, length);
}

// The usual case: nothing was promised, resources only get free, as what runs ends.
double Planner::earliest_after_running(std::size_t machine, const Resources& need) const {
    Resources free = free_[machine];
    if (need.fits(free)) return now_;
    for (const Allocation& hold : machines_[machine].allocations) {  // in the order of their ends
        if (hold.until <= now_) continue;
        free += hold.need;
        if (need.fits(free)) return hold.until;
    }
    return kNever;
}

// One sweep over what begins and ends: the first time from which the need fits for all of its length.
double Planner::earliest_between_holds(std::size_t machine, const Resources& need, double length) const {
    static thread_local std::vector<FreeChange> changes;  // kept between calls to save its allocation
    list_changes(machines_[machine].allocations, now_, changes);
    Resources free = free_[machine];
    double start = need.fits(free) ? now_ : kNever;
    for (std::size_t k = 0; k < changes.size();) {
        double at = changes[k].at;
        if (start + length <= at) return start;
        while (k < changes.size() && changes[k].at == at) free += changes[k++].change;
        if (!need.fits(free))
            start = kNever;
        else if (start == kNever)
            start = at;
    }
    return start;
}

double Planner::cached_at(const Machine& machine, const std::string& image) const {
    return machine.cache ? machine.cache->ready_at(image, now_) : -1;
}

// Lines 4 to 8 of algorithm 3 when saturated, else the ready time of algorithm 2; both with penalties of our own.
double Planner::score(const Machine& machine, const Request& request, double start, double cachedAt,
                      bool saturated) const {
    double fetchS = machine.fetchGbPerS > 0 ? request.imageGb / machine.fetchGbPerS : 0;
    double ready = cachedAt < 0 ? start + fetchS : std::max(start, cachedAt);
    bool wastesGpus = request.need.gpus <= 0 && machine.total.gpus > 0;
    double ownPenalty = machine.penaltyS + (wastesGpus ? weights_.gpuHostPenaltyS : 0);
    // Small tasks side by side on few machines leave whole ones to wide tasks.
    if (!machine.busy && weights_.emptyHostPenaltyS > 0 && fit_count(machine.total, request.need) > 1)
        ownPenalty += weights_.emptyHostPenaltyS;
    if (!saturated) return ready + ownPenalty;
    double evictionPenalty = 0;
    if (cachedAt < 0 && machine.cacheGb > 0 && machine.fetchGbPerS > 0 && machine.cache)
        evictionPenalty = machine.cache->total_gb() * request.imageGb / machine.cacheGb / machine.fetchGbPerS;
    return start + weights_.loadOverheadWeight * (ready - start) + evictionPenalty + ownPenalty;
}

bool Planner::zone_allowed(const Request& request, std::uint32_t zone) const {
    if (request.coLocated)
        for (const auto& [name, tasks] : request.tasksPerZone)
            if (tasks > 0 && name != zone) return false;
    if (request.spread)
        for (const auto& [name, tasks] : request.tasksPerZone)
            if (name == zone && tasks >= request.maxTasksPerZone) return false;
    return true;
}

void Planner::hold(std::size_t machine, double start, const Request& request) {
    Machine& held = machines_[machine];
    Allocation hold{start, start + std::max(request.estimatedDurationS, kMinHoldS), request.need};
    auto place = std::upper_bound(held.allocations.begin(), held.allocations.end(), hold, ends_earlier);
    held.allocations.insert(place, hold);
    if (start > now_) {
        promised_[machine] = true;
        return;
    }
    free_[machine] = free_[machine] - request.need;
    if (!held.busy) {
        held.busy = true;
        --idle_;
    }
}

void Planner::reserve(std::size_t machine, const Resources& need, double until) {
    Request request;
    request.need = need;
    request.estimatedDurationS = until - now_;
    hold(machine, now_, request);
}

// The machines that can be of use. For starts at once, whole node pools without room are passed over, which makes a
// long queue behind full machines cheap.
Planner::MachineList Planner::machines_for(const Request& request, bool startOnly) {
    MachineList list;
    for (std::size_t nodePool = 0; nodePool < byNodePool_.size(); ++nodePool) {
        const MachineList& pool = byNodePool_[nodePool];
        if (!request.allowed[nodePool] || pool.empty()) continue;
        if (!request.need.fits(machines_[pool.front()].total)) continue;
        if (startOnly) {
            add_with_room_now(request, nodePool, list);
            continue;
        }
        looked_ += pool.size();
        list.insert(list.end(), pool.begin(), pool.end());
    }
    return list;
}

// Also brings `roomiest_` up to date, which is only lowered here.
void Planner::add_with_room_now(const Request& request, std::size_t nodePool, MachineList& list) {
    if (!request.need.fits(roomiest_[nodePool])) return;
    looked_ += byNodePool_[nodePool].size();
    Resources roomiest;
    for (std::size_t machine : byNodePool_[nodePool]) {
        roomiest = most(roomiest, free_[machine]);
        if (request.need.fits(free_[machine])) list.push_back(machine);
    }
    roomiest_[nodePool] = roomiest;
}

// The earliest start that may be promised to a task of the request; infinity if there is none.
double Planner::promisable(std::size_t machine, const Request& request, bool startOnly) const {
    bool onlyNow = startOnly || machines_[machine].allocations.size() > kMaxHolds;
    if (onlyNow && !request.need.fits(free_[machine])) return kNever;
    const double start = earliest_start(machine, request.need, request.estimatedDurationS);
    return start - now_ > kUnboundedDurationS / 2 ? kNever
                                                  : start;  // room that a service holds gets free at no known time
}

// Replicas that share a machine or a zone are lost together.
double Planner::anti_affinity_penalty(std::size_t machine, const Request& request) const {
    if (!request.antiAffine) return 0;
    auto replicas = std::count(request.replicaMachines.begin(), request.replicaMachines.end(), machine);
    double penalty = weights_.sameHostPenaltyS * static_cast<double>(replicas);
    for (const auto& [zone, tasks] : request.tasksPerZone)
        if (zone == machines_[machine].zone) penalty += weights_.sameZonePenaltyS * tasks;
    return penalty;
}

void Planner::rate(Candidate& candidate, const Request& request, bool startOnly, bool saturated) const {
    candidate.score = kNever;
    bool usable = candidate.start != kNever && (!startOnly || candidate.start <= now_);
    if (!usable) return;
    const Machine& machine = machines_[candidate.machine];
    candidate.score = score(machine, request, candidate.start, candidate.cachedAt, saturated) +
                      anti_affinity_penalty(candidate.machine, request);
}

std::vector<Planner::Candidate> Planner::batch_candidates(const Request& request, bool startOnly, bool saturated) {
    std::vector<Candidate> candidates;
    for (std::size_t machine : machines_for(request, startOnly)) {
        looked_ += machines_[machine].allocations.size() / kHoldsPerLook;
        Candidate candidate{machine, promisable(machine, request, startOnly),
                            cached_at(machines_[machine], request.image), kNever};
        rate(candidate, request, startOnly, saturated);
        candidates.push_back(candidate);
    }
    return candidates;
}

// The first of those with the lowest score (line 9 of algorithm 3); null if none is of use.
Planner::Candidate* Planner::best_candidate(std::vector<Candidate>& candidates, const Request& request) const {
    const bool zoneBound = request.coLocated || request.spread;
    Candidate* best = nullptr;
    double bestScore = kNever;
    for (Candidate& candidate : candidates) {
        if (!(candidate.score < bestScore)) continue;
        if (zoneBound && !zone_allowed(request, machines_[candidate.machine].zone)) continue;
        bestScore = candidate.score;
        best = &candidate;
    }
    return best;
}

std::vector<Slot> Planner::place_batch(const Request& request, bool startOnly) {
    Request remaining = request;  // with what this call has placed
    std::vector<Slot> slots;
    bool ratedSaturated = saturated();
    std::vector<Candidate> candidates = batch_candidates(remaining, startOnly, ratedSaturated);
    for (std::uint32_t placed = 0; placed < remaining.count; ++placed) {
        bool nowSaturated = saturated();
        if (nowSaturated != ratedSaturated || (remaining.antiAffine && placed > 0)) {
            ratedSaturated = nowSaturated;
            for (Candidate& candidate : candidates) rate(candidate, remaining, startOnly, ratedSaturated);
        }
        Candidate* best = best_candidate(candidates, remaining);
        looked_ += candidates.size() / kComparisonsPerLook;
        if (!best) break;
        slots.push_back({best->machine, best->start});
        hold(best->machine, best->start, remaining);
        if (best->start <= now_) remaining.count_task_in(machines_[best->machine].zone);
        if (remaining.antiAffine) remaining.replicaMachines.push_back(best->machine);
        best->start = promisable(best->machine, remaining, startOnly);
        rate(*best, remaining, startOnly, ratedSaturated);
    }
    return slots;
}

}  // namespace wellstair::placement
