#include "model/worker_lease.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "model/clock_drift.hpp"

namespace wellstair::model {

namespace {

// The worker's timer may fire a moment late.
constexpr double kTimerSlackS = 0.1;

}  // namespace

bool WorkerLease::renew(std::uint64_t session, std::uint64_t number, double nowS) {
    if (std::pair(session, number) <= std::pair(session_, number_)) return false;
    session_ = session;
    number_ = number;
    countedFromS_ = nowS;
    return true;
}

void WorkerLease::begin(double nowS) {
    countedFromS_ = std::max(countedFromS_, nowS);
}

bool WorkerLease::ended(double nowS, double leaseS) const {
    return age(nowS) > leaseS * kClockDriftFactor + kTimerSlackS;
}

std::string WorkerLease::describe(double nowS) const {
    return fmt::format("renewed {:.3f} s ago by report {}/{}", age(nowS), session_, number_);
}

}  // namespace wellstair::model
