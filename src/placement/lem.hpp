// Placement of tasks on machines: Locality and Eviction Mixed (LEM; PAPER, section IV, algorithm 5) with conservative
// backfilling (section IV.C).
//
// While some machine is idle, machines are scored by when the image is ready there (EFT, algorithm 2). Once every
// machine runs a task, the score is start + W x load overhead + eviction penalty (LEA, algorithm 3). The machine with
// the lowest score is chosen and its resources are allocated until start + estimated duration, so that later tasks are
// scheduled around the starts promised to earlier ones.
//
// A Planner copies the views that it is given and computes one plan. It reads no clock and does no I/O, so the same
// views give the same plan. Not thread-safe. All times are seconds on the caller's clock. There are no errors: tasks
// that cannot be placed are missing from the result.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "placement/cache.hpp"

namespace wellstair::placement {

// Duration, in seconds, of tasks that do not end by themselves, such as replicas of a service. Beyond any planning
// horizon.
inline constexpr double kUnboundedDurationS = 1e9;

// Amounts of resources: required by a task, or free on a machine.
struct Resources {
    double cores = 0, gpus = 0, ramGb = 0;

    Resources& operator+=(const Resources& other) {
        cores += other.cores;
        gpus += other.gpus;
        ramGb += other.ramGb;
        return *this;
    }
    // Whether `available` covers these resources, up to rounding errors of sums.
    bool fits(const Resources& available) const {
        return cores <= available.cores + kTolerance && gpus <= available.gpus + kTolerance &&
               ramGb <= available.ramGb + kTolerance;
    }

    static constexpr double kTolerance = 1e-6;
};
inline Resources operator-(const Resources& a, const Resources& b) {
    return {a.cores - b.cores, a.gpus - b.gpus, a.ramGb - b.ramGb};
}
inline Resources operator+(Resources a, const Resources& b) {
    return a += b;
}
// How many tasks that need `need` fit into `available`; at most a million.
std::uint32_t fit_count(const Resources& available, const Resources& need);

// Resources of a machine that are in use for some time: by a running task, or by one whose start was promised.
struct Allocation {
    double from, until;
    Resources need;
};

// A machine as the planner sees it.
struct Machine {
    std::uint32_t nodePool = 0;           // index into Request::allowed: machines of one type, zone and spot flag
    std::uint32_t zone = 0;               // the caller's number of the zone
    Resources total;                      // free when nothing runs
    double cacheGb = 0;                   // size of its image cache (M in algorithm 3), gigabytes
    double fetchGbPerS = 0;               // how fast it pulls images (bandwidth in algorithm 3)
    const ImageCache* cache = nullptr;    // not owned, must outlive the planner; null: nothing is cached
    std::vector<Allocation> allocations;  // of running tasks and of promised starts
    bool busy = false;                    // runs at least one task
    double penaltyS = 0;                  // added to the score; set for hosts of other controllers
};

// The resources of the machine that its allocations leave free at a moment.
Resources free_at(const Machine& machine, double at);

// Tasks of one job to place.
struct Request {
    Resources need;  // of each task
    std::string image;
    double imageGb = 0;             // gigabytes
    double estimatedDurationS = 0;  // of each task
    std::uint32_t count = 0;        // tasks to place
    bool coLocated = false;         // all tasks of the job in one zone
    bool spread = false;            // at most `maxTasksPerZone` tasks of the job in one zone
    std::uint32_t maxTasksPerZone = 0;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> tasksPerZone;  // zone, tasks of the job there
    std::vector<bool> allowed;                                          // by node pool
    // Replicas of a service: preferably on different machines, then in different zones; a penalty, not a constraint.
    bool antiAffine = false;
    std::vector<std::size_t> replicaMachines;  // machines with replicas of it, one entry per replica

    // Adds a task of the job in this zone to `tasksPerZone`.
    void count_task_in(std::uint32_t zone);
};

// The machine and start time assigned to a task.
struct Slot {
    std::size_t machine = 0;  // index into Planner::machines
    double start = 0;         // the planner's `now`: start immediately
};

// Parameters of the score. Penalties are seconds that are added to a machine's score.
struct Weights {
    double loadOverheadWeight = 1;                           // W of algorithm 3
    double gpuHostPenaltyS = 0;                              // a task without GPUs on a machine that has them
    double sameHostPenaltyS = 0;                             // per replica of the same service on the machine
    double sameZonePenaltyS = 0;                             // per replica of the same service in the zone
    double emptyHostPenaltyS = 0;                            // an idle machine that fits several such tasks
    enum class Mode { mixed, eft, lea } mode = Mode::mixed;  // eft and lea: for ablation studies
};

// Computes one plan: places requests one after the other, each around the allocations of those before it.
class Planner {
  public:
    // `now`: the time of the plan, on the clock of the allocations.
    Planner(double now, std::vector<Machine> machines, Weights weights);

    // Places independent tasks one by one, each where its score is lowest; tasks that fit nowhere get no slot.
    // `startNowOnly`: only slots that start now, no promises of later starts.
    std::vector<Slot> place_batch(const Request& request, bool startNowOnly);
    // Places all tasks with one common start (gang scheduling), or none. If that is not possible now, the earliest
    // common start found is promised, unless `startNowOnly`.
    std::vector<Slot> place_gang(const Request& request, bool startNowOnly);
    // Withholds resources that are being freed for a job, so that nothing else starts on them before `until`.
    void reserve(std::size_t machine, const Resources& need, double until);

    const std::vector<Machine>& machines() const { return machines_; }
    // Resources that are free on the machine now.
    Resources free_now(std::size_t machine) const { return free_[machine]; }
    // Whether every machine runs at least one task, so that LEA applies instead of EFT (algorithm 5, line 2).
    bool saturated() const;
    // The first time from which the resources are free for `length` seconds; infinity if there is none.
    double earliest_start(std::size_t machine, const Resources& need, double length) const;
    // Cost of the plan so far, in machines examined.
    std::uint64_t machines_examined() const { return machinesExamined_; }

  private:
    // A machine considered for the tasks of a batch.
    struct Candidate {
        std::size_t machine;
        double start;         // earliest for the next task; infinity: none
        double imageReadyAt;  // when the image is usable there, or ImageCache::kNotCached
        double score;         // the lowest wins; infinity: not eligible
    };
    // A machine considered for the tasks of a gang at some time.
    struct GangCandidate {
        std::size_t machine;
        std::uint32_t capacity;  // tasks of the gang that fit
        double score;
    };
    // Places for all tasks of a gang.
    struct GangPlacement {
        std::vector<Slot> slots;
        double score = 0;  // of the last machine used: a gang starts when all are ready
    };
    using MachineList = std::vector<std::size_t>;

    double earliest_after_running(std::size_t machine, const Resources& need) const;
    double earliest_between_allocations(std::size_t machine, const Resources& need, double length) const;
    double score(const Machine& machine, const Request& request, double start, double imageReadyAt,
                 bool saturated) const;
    double image_ready_at(const Machine& machine, const std::string& image) const;
    double anti_affinity_penalty(std::size_t machine, const Request& request) const;
    double earliest_promisable_start(std::size_t machine, const Request& request, bool startNowOnly) const;
    bool zone_allowed(const Request& request, std::uint32_t zone) const;
    void allocate(std::size_t machine, double start, const Request& request);
    std::uint32_t capacity(std::size_t machine, const Request& request, double at) const;
    MachineList machines_for(const Request& request, bool startNowOnly);
    void add_with_free_capacity(const Request& request, std::size_t nodePool, MachineList& list);

    std::vector<Candidate> batch_candidates(const Request& request, bool startNowOnly, bool saturated);
    void update_score(Candidate& candidate, const Request& request, bool startNowOnly, bool saturated) const;
    Candidate* best_candidate(std::vector<Candidate>& candidates, const Request& request) const;

    std::vector<MachineList> gang_groups(const Request& request, bool startNowOnly);
    std::vector<double> allocation_ends(const std::vector<MachineList>& groups) const;
    std::vector<GangCandidate> gang_candidates(const Request& request, const MachineList& among, double at) const;
    std::optional<GangPlacement> gang_in_group(const Request& request, const MachineList& among, double at);
    std::vector<Slot> place_gang_at(const Request& request, const std::vector<MachineList>& groups, double at);

    double now_;
    std::vector<Machine> machines_;
    Weights weights_;
    std::size_t idleMachines_ = 0;                 // number of machines that run no task
    std::vector<Resources> free_;                  // by machine, now
    std::vector<bool> hasFutureAllocations_;       // by machine: some allocation begins after now
    std::vector<MachineList> machinesByNodePool_;  // by node pool
    std::vector<Resources> maxFree_;               // by node pool: upper bound of what is free on any machine
    std::uint64_t machinesExamined_ = 0;
};

}  // namespace wellstair::placement
