#include "workers/worker_lease.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "config/clock_drift.hpp"

namespace wellstair::workers {

namespace {

// Allows for the delay with which the worker's own timer may fire.
constexpr double kTimerSlackS = 0.1;

}  // namespace

bool WorkerLease::renew(const HeartbeatId& heartbeat, double nowS) {
    if (!(lastAnswered_ < heartbeat)) return false;
    lastAnswered_ = heartbeat;
    renewedS_ = measuredFromS_ = nowS;
    return true;
}

void WorkerLease::begin(double nowS) {
    renewedS_ = std::max(renewedS_, nowS);
    measuredFromS_ = std::max(measuredFromS_, nowS);
}

void WorkerLease::begin_agent_epoch(double nowS) {
    measuredFromS_ = std::max(measuredFromS_, nowS);
}

bool WorkerLease::expired(double nowS, double leaseS) const {
    return age(nowS) > leaseS * config::kClockDriftFactor + kTimerSlackS;
}

std::string WorkerLease::describe(double nowS) const {
    return fmt::format("renewed {:.3f} s ago by heartbeat {}/{}", renewal_age(nowS), lastAnswered_.agentEpoch,
                       lastAnswered_.sequence);
}

}  // namespace wellstair::workers
