// Locality and Eviction Mixed (PAPER section IV, algorithm 5) as pure functions over views of the machines.
//
// While some machine runs no task, machines are scored by when the image is ready (EFT); once each runs at least one,
// by start + W x load + eviction penalty (LEA). The lowest score is taken and the resources held until start +
// estimate, so that later tasks fit around what earlier ones were promised.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "placement/cache.hpp"

namespace wellstair::placement {

// Longer than any plan looks ahead: how long a task that does not end by itself keeps its room.
inline constexpr double kEndlessS = 1e9;

struct Need {
    double cores = 0, gpus = 0, ramGb = 0;
    Need& operator+=(const Need& o) { return cores += o.cores, gpus += o.gpus, ramGb += o.ramGb, *this; }
    bool fits(const Need& room) const {
        constexpr double e = 1e-6;
        return cores <= room.cores + e && gpus <= room.gpus + e && ramGb <= room.ramGb + e;
    }
};
inline Need operator-(const Need& a, const Need& b) {
    return {a.cores - b.cores, a.gpus - b.gpus, a.ramGb - b.ramGb};
}
inline Need operator+(Need a, const Need& b) {
    return a += b;
}
// How many times `need` fits into `room`.
std::uint32_t times(const Need& room, const Need& need);

struct Hold {
    double from, until;
    Need need;
};

struct Machine {
    std::uint32_t nodePool = 0;  // what Request::allowed is by: type, zone, spot or not
    std::uint32_t zone = 0;
    Need total;
    double cacheGb = 0, fetchGbPerS = 0;
    const ImageCache* cache = nullptr;
    std::vector<Hold> holds;  // what runs and what was promised
    bool busy = false;        // runs at least one task
    double penaltyS = 0;      // added to the score: machines under suspicion
};

// What the machine's holds leave free at a moment.
Need free_at(const Machine& m, double t);

struct Request {
    Need need;
    std::string image;
    double imageGb = 0, estimatedDurationS = 0;
    std::uint32_t count = 0;
    bool coLocated = false, spread = false;
    std::uint32_t spreadCap = 0;                                        // most tasks in one zone
    std::vector<std::pair<std::uint32_t, std::uint32_t>> tasksPerZone;  // tasks that the job already has per zone
    std::vector<bool> allowed;                                          // by kind of machine
    // Replicas of a service: kept on different machines, then in different zones, where that costs little.
    bool antiAffine = false;
    std::vector<std::size_t> onMachines;  // machines that have replicas of it, once for each
};

struct Slot {
    std::size_t machine = 0;
    double start = 0;  // equal to the planner's now: start at once
};

struct Weights {
    double w = 1;                                       // weight of the load term in LEA
    double gpuHostPenaltyS = 0;                         // per machine: a task without GPUs on a machine that has them
    double sameHostPenaltyS = 0, sameZonePenaltyS = 0;  // per replica of the same service on the machine, in the zone
    double emptyHostPenaltyS = 0;  // an empty machine of which a task leaves room for more of its kind
    enum class Mode { mixed, eft, lea } mode = Mode::mixed;  // the last two for ablations
};

class Planner {
  public:
    Planner(double now, std::vector<Machine> machines, Weights weights);

    // Independent tasks: as many slots as there are tasks, soonest decisions first; tasks that fit nowhere get none.
    std::vector<Slot> place_batch(const Request& r, bool startOnly);
    // All tasks at one time, or nothing at all. Not possible now: the earliest common start is held for it.
    std::vector<Slot> place_gang(const Request& r, bool startOnly);
    // Room that is being made for a job: nothing else starts there until then.
    void reserve(std::size_t machine, const Need& need, double until);

    const std::vector<Machine>& machines() const { return machines_; }
    Need free_now(std::size_t machine) const { return free_[machine]; }
    bool saturated() const;
    double earliest(std::size_t machine, const Need& need, double length) const;
    // Machines looked at so far: what a plan costs.
    std::uint64_t looked() const { return looked_; }

  private:
    // `cachedAt`: when the image is usable there, -1 if absent.
    double score(const Machine& m, const Request& r, double start, double cachedAt, bool saturated) const;
    double anti_affinity_penalty(std::size_t machine, const Request& r) const;
    double promisable(std::size_t machine, const Request& r, bool startOnly) const;
    bool zone_allowed(const Request& r, std::uint32_t zone) const;
    void hold(std::size_t machine, double start, const Request& r);
    std::uint32_t capacity(std::size_t machine, const Request& r, double at) const;
    std::vector<std::size_t> candidates(const Request& r, bool startOnly);
    struct Fit {
        std::vector<Slot> slots;
        double score = 0;
    };
    std::optional<Fit> gang_at(const Request& r, const std::vector<std::size_t>& among, double start);

    double now_;
    std::vector<Machine> machines_;
    Weights weights_;
    std::size_t idle_ = 0;
    std::vector<Need> free_;                            // now, by machine
    std::vector<bool> promised_;                        // has holds that begin later, by machine
    std::vector<std::vector<std::size_t>> byNodePool_;  // machines of each kind
    std::vector<Need> roomiest_;                        // at least the most that is free now on any machine of the kind
    std::uint64_t looked_ = 0;
};

}  // namespace wellstair::placement
