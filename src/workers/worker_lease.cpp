#include "workers/worker_lease.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "config/clock_drift.hpp"

namespace wellstair::workers {

namespace {

// Allows for the delay with which the worker's own timer may fire.
constexpr double kTimerSlackS = 0.1;

}  // namespace

bool WorkerLease::renew(std::uint64_t agentEpoch, std::uint64_t sequence, double nowS) {
    if (std::pair(agentEpoch, sequence) <= std::pair(agentEpoch_, sequence_)) return false;
    agentEpoch_ = agentEpoch;
    sequence_ = sequence;
    measuredFromS_ = nowS;
    return true;
}

void WorkerLease::begin(double nowS) {
    measuredFromS_ = std::max(measuredFromS_, nowS);
}

bool WorkerLease::expired(double nowS, double leaseS) const {
    return age(nowS) > leaseS * config::kClockDriftFactor + kTimerSlackS;
}

std::string WorkerLease::describe(double nowS) const {
    return fmt::format("renewed {:.3f} s ago by heartbeat {}/{}", age(nowS), agentEpoch_, sequence_);
}

}  // namespace wellstair::workers
