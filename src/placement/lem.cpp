#include "placement/lem.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace wellstair::placement {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kMinAllocationS = 1e-3;  // keeps allocations from being empty when the estimate is 0

// A machine with more allocations than this gets no further promised starts: they would lie too far ahead to be
// reliable, and each makes the next examination of the machine more expensive.
constexpr std::size_t kMaxAllocations = 48;

// machines_examined() also counts this many allocations, or score comparisons, as one examined machine.
constexpr std::size_t kAllocationsPerExamination = 8;
constexpr std::size_t kComparisonsPerExamination = 16;

bool ends_before(const Allocation& a, const Allocation& b) {
    return a.until < b.until;
}

Resources max_of(const Resources& a, const Resources& b) {
    return {std::max(a.cores, b.cores), std::max(a.gpus, b.gpus), std::max(a.ramGb, b.ramGb)};
}

// A change of the free resources of a machine, where an allocation begins or ends.
struct FreeChange {
    double at;
    Resources change;
};

// Lists the changes after `now` that the allocations cause, in order of time.
void list_changes(const std::vector<Allocation>& allocations, double now, std::vector<FreeChange>& changes) {
    changes.clear();
    for (const Allocation& allocation : allocations) {
        if (allocation.until <= now) continue;
        if (allocation.from > now) changes.push_back({allocation.from, Resources{} - allocation.need});
        changes.push_back({allocation.until, allocation.need});
    }
    std::sort(changes.begin(), changes.end(), [](const FreeChange& a, const FreeChange& b) { return a.at < b.at; });
}

}  // namespace

std::uint32_t fit_count(const Resources& available, const Resources& need) {
    constexpr double kMaxCount = 1e6;
    constexpr double kNegligible = 1e-9;  // a smaller need counts as none
    double count = kMaxCount;
    auto limitBy = [&](double total, double each) {
        if (each > kNegligible) count = std::min(count, total / each);
    };
    limitBy(available.cores, need.cores);
    limitBy(available.gpus, need.gpus);
    limitBy(available.ramGb, need.ramGb);
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(count + Resources::kTolerance)));
}

Resources free_at(const Machine& machine, double at) {
    Resources used;
    for (const Allocation& allocation : machine.allocations)
        if (allocation.from <= at && at < allocation.until) used += allocation.need;
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
        idleMachines_ += !machine.busy;
        std::sort(machine.allocations.begin(), machine.allocations.end(), ends_before);
        free_.push_back(free_at(machine, now_));
        hasFutureAllocations_.push_back(
            std::any_of(machine.allocations.begin(), machine.allocations.end(),
                        [&](const Allocation& allocation) { return allocation.from > now_; }));
        if (machine.nodePool >= machinesByNodePool_.size()) {
            machinesByNodePool_.resize(machine.nodePool + 1);
            maxFree_.resize(machine.nodePool + 1);
        }
        machinesByNodePool_[machine.nodePool].push_back(i);
        maxFree_[machine.nodePool] = max_of(maxFree_[machine.nodePool], free_.back());
    }
}

bool Planner::saturated() const {
    if (weights_.mode == Weights::Mode::eft) return false;
    if (weights_.mode == Weights::Mode::lea) return true;
    return idleMachines_ == 0;
}

// Line 3 of algorithms 2 and 3; if starts were promised on the machine, line 3' of section IV.C.
double Planner::earliest_start(std::size_t machine, const Resources& need, double length) const {
    if (!need.fits(machines_[machine].total)) return kNever;
    if (!hasFutureAllocations_[machine]) return earliest_after_running(machine, need);
    return earliest_between_allocations(machine, need, length);
}

// The common case: no start was promised, so resources only become free, as running tasks end.
double Planner::earliest_after_running(std::size_t machine, const Resources& need) const {
    Resources free = free_[machine];
    if (need.fits(free)) return now_;
    for (const Allocation& allocation : machines_[machine].allocations) {  // sorted by end
        if (allocation.until <= now_) continue;
        free += allocation.need;
        if (need.fits(free)) return allocation.until;
    }
    return kNever;
}

// Scans the begins and ends of allocations for the first time from which the need fits for the whole length.
double Planner::earliest_between_allocations(std::size_t machine, const Resources& need, double length) const {
    static thread_local std::vector<FreeChange> changes;  // reused between calls to avoid memory allocation
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

double Planner::image_ready_at(const Machine& machine, const std::string& image) const {
    return machine.cache ? machine.cache->ready_at(image, now_) : ImageCache::kNotCached;
}

// Lines 4 to 8 of algorithm 3 when saturated, else the ready time of algorithm 2. Adds penalties that the paper does
// not have.
double Planner::score(const Machine& machine, const Request& request, double start, double imageReadyAt,
                      bool saturated) const {
    double fetchS = machine.fetchGbPerS > 0 ? request.imageGb / machine.fetchGbPerS : 0;
    double ready = imageReadyAt < 0 ? start + fetchS : std::max(start, imageReadyAt);
    bool wastesGpus = request.need.gpus <= 0 && machine.total.gpus > 0;
    double hostPenalty = machine.penaltyS + (wastesGpus ? weights_.gpuHostPenaltyS : 0);
    // Packing small tasks on few machines leaves whole machines to large tasks.
    if (!machine.busy && weights_.emptyHostPenaltyS > 0 && fit_count(machine.total, request.need) > 1)
        hostPenalty += weights_.emptyHostPenaltyS;
    if (!saturated) return ready + hostPenalty;
    double evictionPenalty = 0;
    if (imageReadyAt < 0 && machine.cacheGb > 0 && machine.fetchGbPerS > 0 && machine.cache)
        evictionPenalty = machine.cache->total_gb() * request.imageGb / machine.cacheGb / machine.fetchGbPerS;
    return start + weights_.loadOverheadWeight * (ready - start) + evictionPenalty + hostPenalty;
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

void Planner::allocate(std::size_t machine, double start, const Request& request) {
    Machine& target = machines_[machine];
    Allocation allocation{start, start + std::max(request.estimatedDurationS, kMinAllocationS), request.need};
    auto position = std::upper_bound(target.allocations.begin(), target.allocations.end(), allocation, ends_before);
    target.allocations.insert(position, allocation);
    if (start > now_) {
        hasFutureAllocations_[machine] = true;
        return;
    }
    free_[machine] = free_[machine] - request.need;
    if (!target.busy) {
        target.busy = true;
        --idleMachines_;
    }
}

void Planner::reserve(std::size_t machine, const Resources& need, double until) {
    Request request;
    request.need = need;
    request.estimatedDurationS = until - now_;
    allocate(machine, now_, request);
}

// The machines on which a task of the request may fit. For immediate starts, node pools without free capacity are
// skipped as a whole, which makes a long queue behind full machines cheap.
Planner::MachineList Planner::machines_for(const Request& request, bool startNowOnly) {
    MachineList list;
    for (std::size_t nodePool = 0; nodePool < machinesByNodePool_.size(); ++nodePool) {
        const MachineList& pool = machinesByNodePool_[nodePool];
        if (!request.allowed[nodePool] || pool.empty()) continue;
        if (!request.need.fits(machines_[pool.front()].total)) continue;
        if (startNowOnly) {
            add_with_free_capacity(request, nodePool, list);
            continue;
        }
        machinesExamined_ += pool.size();
        list.insert(list.end(), pool.begin(), pool.end());
    }
    return list;
}

// Also tightens the bound in `maxFree_`, which is lowered only here.
void Planner::add_with_free_capacity(const Request& request, std::size_t nodePool, MachineList& list) {
    if (!request.need.fits(maxFree_[nodePool])) return;
    machinesExamined_ += machinesByNodePool_[nodePool].size();
    Resources maxFree;
    for (std::size_t machine : machinesByNodePool_[nodePool]) {
        maxFree = max_of(maxFree, free_[machine]);
        if (request.need.fits(free_[machine])) list.push_back(machine);
    }
    maxFree_[nodePool] = maxFree;
}

// The earliest start that may be promised to a task of the request, or kNever.
double Planner::earliest_promisable_start(std::size_t machine, const Request& request, bool startNowOnly) const {
    bool nowOnly = startNowOnly || machines_[machine].allocations.size() > kMaxAllocations;
    if (nowOnly && !request.need.fits(free_[machine])) return kNever;
    const double start = earliest_start(machine, request.need, request.estimatedDurationS);
    // Resources of a service become free at no known time.
    return start - now_ > kUnboundedDurationS / 2 ? kNever : start;
}

// Penalizes machines and zones that already have replicas of the service, since these would fail together.
double Planner::anti_affinity_penalty(std::size_t machine, const Request& request) const {
    if (!request.antiAffine) return 0;
    auto replicas = std::count(request.replicaMachines.begin(), request.replicaMachines.end(), machine);
    double penalty = weights_.sameHostPenaltyS * static_cast<double>(replicas);
    for (const auto& [zone, tasks] : request.tasksPerZone)
        if (zone == machines_[machine].zone) penalty += weights_.sameZonePenaltyS * tasks;
    return penalty;
}

void Planner::update_score(Candidate& candidate, const Request& request, bool startNowOnly, bool saturated) const {
    candidate.score = kNever;
    bool usable = candidate.start != kNever && (!startNowOnly || candidate.start <= now_);
    if (!usable) return;
    const Machine& machine = machines_[candidate.machine];
    candidate.score = score(machine, request, candidate.start, candidate.imageReadyAt, saturated) +
                      anti_affinity_penalty(candidate.machine, request);
}

std::vector<Planner::Candidate> Planner::batch_candidates(const Request& request, bool startNowOnly, bool saturated) {
    std::vector<Candidate> candidates;
    for (std::size_t machine : machines_for(request, startNowOnly)) {
        machinesExamined_ += machines_[machine].allocations.size() / kAllocationsPerExamination;
        Candidate candidate{machine, earliest_promisable_start(machine, request, startNowOnly),
                            image_ready_at(machines_[machine], request.image), kNever};
        update_score(candidate, request, startNowOnly, saturated);
        candidates.push_back(candidate);
    }
    return candidates;
}

// The first candidate with the lowest score (line 9 of algorithm 3); null if none is eligible.
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

std::vector<Slot> Planner::place_batch(const Request& request, bool startNowOnly) {
    Request remaining = request;  // updated with the tasks placed so far
    std::vector<Slot> slots;
    bool scoredSaturated = saturated();
    std::vector<Candidate> candidates = batch_candidates(remaining, startNowOnly, scoredSaturated);
    for (std::uint32_t placed = 0; placed < remaining.count; ++placed) {
        bool nowSaturated = saturated();
        if (nowSaturated != scoredSaturated || (remaining.antiAffine && placed > 0)) {
            scoredSaturated = nowSaturated;
            for (Candidate& candidate : candidates) update_score(candidate, remaining, startNowOnly, scoredSaturated);
        }
        Candidate* best = best_candidate(candidates, remaining);
        machinesExamined_ += candidates.size() / kComparisonsPerExamination;
        if (!best) break;
        slots.push_back({best->machine, best->start});
        allocate(best->machine, best->start, remaining);
        if (best->start <= now_) remaining.count_task_in(machines_[best->machine].zone);
        if (remaining.antiAffine) remaining.replicaMachines.push_back(best->machine);
        best->start = earliest_promisable_start(best->machine, remaining, startNowOnly);
        update_score(*best, remaining, startNowOnly, scoredSaturated);
    }
    return slots;
}

}  // namespace wellstair::placement
