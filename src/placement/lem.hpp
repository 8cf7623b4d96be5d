// Placement by Locality and Eviction Mixed (LEM, PAPER section IV, algorithm 5) with conservative backfilling.
//
// While some machine runs no task, machines are scored by when the image is ready (EFT, algorithm 2); once each runs at
// least one, by start + W x load overhead + eviction penalty (LEA, algorithm 3). The lowest score is taken and the
// resources held until start + estimate, so that later tasks fit around what earlier ones were promised (backfilling,
// section IV.C).
//
// A Planner owns copies of the views that it is given and serves one plan; it reads no clock and does no I/O, so that
// the same views give the same plan. Not safe for use by several threads. All times are seconds on one clock, the
// caller's; what cannot be placed is missing from the result, there are no errors.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "placement/cache.hpp"

namespace wellstair::placement {

// Longer than any plan looks ahead, in seconds: how long a task that does not end by itself keeps its resources.
inline constexpr double kUnboundedDurationS = 1e9;

// An amount of resources: of a task, or free on a machine.
struct Resources {
    double cores = 0, gpus = 0, ramGb = 0;

    Resources& operator+=(const Resources& other) {
        cores += other.cores;
        gpus += other.gpus;
        ramGb += other.ramGb;
        return *this;
    }
    // Whether the resources in `room` suffice; rounding errors of sums do not count.
    bool fits(const Resources& room) const {
        return cores <= room.cores + kTolerance && gpus <= room.gpus + kTolerance && ramGb <= room.ramGb + kTolerance;
    }

    static constexpr double kTolerance = 1e-6;
};
inline Resources operator-(const Resources& a, const Resources& b) {
    return {a.cores - b.cores, a.gpus - b.gpus, a.ramGb - b.ramGb};
}
inline Resources operator+(Resources a, const Resources& b) {
    return a += b;
}
// How many times `need` fits into `room`; a million at most.
std::uint32_t fit_count(const Resources& room, const Resources& need);

// Resources of a machine that are taken for some time, by a task that runs or by one that was promised its start.
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
    std::vector<Allocation> allocations;  // what runs and what was promised
    bool busy = false;                    // runs at least one task
    double penaltyS = 0;                  // added to the score: machines under suspicion
};

// What the machine's holds leave free at a moment.
Resources free_at(const Machine& machine, double at);

// Tasks of one job that are to be placed.
struct Request {
    Resources need;  // of each task
    std::string image;
    double imageGb = 0;             // gigabytes
    double estimatedDurationS = 0;  // of each task
    std::uint32_t count = 0;        // tasks to place
    bool coLocated = false;         // all tasks of the job in one zone
    bool spread = false;            // at most `maxTasksPerZone` tasks of the job in one zone
    std::uint32_t maxTasksPerZone = 0;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> tasksPerZone;  // zone, tasks that the job already has there
    std::vector<bool> allowed;                                          // by node pool
    // Replicas of a service: kept on different machines, then in different zones, where that costs little.
    bool antiAffine = false;
    std::vector<std::size_t> replicaMachines;  // machines that have replicas of it, once for each

    // Adds a task of the job in this zone to `tasksPerZone`.
    void count_task_in(std::uint32_t zone);
};

// A task's place.
struct Slot {
    std::size_t machine = 0;  // index into Planner::machines
    double start = 0;         // equal to the planner's now: start at once
};

// How scores are made up. Penalties are seconds that are added to a machine's score.
struct Weights {
    double loadOverheadWeight = 1;  // W of algorithm 3, weight of the load overhead
    double gpuHostPenaltyS = 0;     // a task without GPUs on a machine that has them
    double sameHostPenaltyS = 0;    // per replica of the same service on the machine
    double sameZonePenaltyS = 0;    // per replica of the same service in the zone
    double emptyHostPenaltyS = 0;   // an empty machine of which a task leaves room for more of its kind
    enum class Mode { mixed, eft, lea } mode = Mode::mixed;  // the last two for ablations
};

// One plan: places requests one after the other, each around what the ones before were given.
class Planner {
  public:
    // `now`: the time of the plan, seconds on the clock of the holds.
    Planner(double now, std::vector<Machine> machines, Weights weights);

    // Independent tasks: as many slots as there are tasks, soonest decisions first; tasks that fit nowhere get none.
    // `startOnly`: slots that start now only, no promises of later ones.
    std::vector<Slot> place_batch(const Request& request, bool startOnly);
    // All tasks at one time (gang scheduling), or nothing at all. Not possible now: the earliest common start is held
    // for it, unless `startOnly`.
    std::vector<Slot> place_gang(const Request& request, bool startOnly);
    // Resources that are being freed for a job: nothing else starts there until then.
    void reserve(std::size_t machine, const Resources& need, double until);

    const std::vector<Machine>& machines() const { return machines_; }
    // What is free on the machine now.
    Resources free_now(std::size_t machine) const { return free_[machine]; }
    // Whether each machine runs at least one task: LEA scores then (algorithm 5, line 2).
    bool saturated() const;
    // The first time from which the need is free for `length` seconds; infinity if it never is.
    double earliest_start(std::size_t machine, const Resources& need, double length) const;
    // What the plan has cost so far, in machines looked at.
    std::uint64_t machines_examined() const { return looked_; }

  private:
    // A machine that a batch may use.
    struct Candidate {
        std::size_t machine;
        double start;     // earliest for the next task; infinity: of no use
        double cachedAt;  // when the image is usable there, -1 if absent
        double score;     // the lowest is taken; infinity: of no use
    };
    // A machine that a gang may use at some time.
    struct GangCandidate {
        std::size_t machine;
        std::uint32_t capacity;  // tasks of the gang that fit there
        double score;
    };
    // Places for all tasks of a gang.
    struct GangPlacement {
        std::vector<Slot> slots;
        double score = 0;  // of its last machine: a gang starts when all are ready
    };
    using MachineList = std::vector<std::size_t>;

    double earliest_after_running(std::size_t machine, const Resources& need) const;
    double earliest_between_holds(std::size_t machine, const Resources& need, double length) const;
    double score(const Machine& machine, const Request& request, double start, double cachedAt, bool saturated) const;
    double cached_at(const Machine& machine, const std::string& image) const;
    double anti_affinity_penalty(std::size_t machine, const Request& request) const;
    double promisable(std::size_t machine, const Request& request, bool startOnly) const;
    bool zone_allowed(const Request& request, std::uint32_t zone) const;
    void hold(std::size_t machine, double start, const Request& request);
    std::uint32_t capacity(std::size_t machine, const Request& request, double at) const;
    MachineList machines_for(const Request& request, bool startOnly);
    void add_with_room_now(const Request& request, std::size_t nodePool, MachineList& list);

    std::vector<Candidate> batch_candidates(const Request& request, bool startOnly, bool saturated);
    void rate(Candidate& candidate, const Request& request, bool startOnly, bool saturated) const;
    Candidate* best_candidate(std::vector<Candidate>& candidates, const Request& request) const;

    std::vector<MachineList> gang_groups(const Request& request, bool startOnly);
    std::vector<double> ends_of_holds(const std::vector<MachineList>& groups) const;
    std::vector<GangCandidate> gang_candidates(const Request& request, const MachineList& among, double at) const;
    std::optional<GangPlacement> gang_in_group(const Request& request, const MachineList& among, double at);
    std::vector<Slot> place_gang_at(const Request& request, const std::vector<MachineList>& groups, double at);

    double now_;
    std::vector<Machine> machines_;
    Weights weights_;
    std::size_t idle_ = 0;                 // machines that run no task
    std::vector<Resources> free_;          // now, by machine
    std::vector<bool> promised_;           // has holds that begin later, by machine
    std::vector<MachineList> byNodePool_;  // machines of each node pool
    std::vector<Resources> roomiest_;      // at least the most that is free now on any machine of the node pool
    std::uint64_t looked_ = 0;
};

}  // namespace wellstair::placement
