#include "leadership/availability.hpp"

#include "config/clock_drift.hpp"

namespace wellstair::leadership {

namespace {
constexpr double kStoreSilentS = 1.5;  // "usually under 10 ms, occasionally a few hundred"
constexpr double kIsolatedS = 1.0;     // without store and peers: then unhealthy
constexpr double kReadsFailedS = 4.0;  // live, but no read of the state succeeds: then unhealthy
// Timers fire late, standing is judged four times a second, and what is judged may be sent a moment later.
constexpr double kTimerDelayS = 1.0;
}  // namespace

double answer_window(const AvailabilityLimits& l) {
    return l.cancelS / config::kClockDriftFactor - l.leaseS * config::kClockDriftFactor - kTimerDelayS;
}

state::Availability next_availability(state::Availability now, const AvailabilitySignals& h,
                                      const AvailabilityLimits& l) {
    // Before all else, whatever the service answers to other requests, whatever the peers say, from whichever state:
    // renewals and commits can be served while reads fail or hang, and commands come from what was read.
    if (h.cancellationsReadAgeS > answer_window(l))
        return now == state::Availability::joining ? now : state::Availability::isolated;
    bool silent = h.storeContactAgeS > kStoreSilentS;
    if (!silent && h.registered) return state::Availability::serving;
    if (now == state::Availability::joining) return state::Availability::joining;
    if (!silent) return now == state::Availability::serving ? state::Availability::disconnected : now;
    // The state service answers others: it is us.
    if (h.peerReachesStore) return state::Availability::isolated;
    // It may be an outage that everybody has, or we may have lost the other controllers, too; that cannot be told
    // apart. Our machines are answered for as long as the contact allows.
    return state::Availability::disconnected;
}

bool healthy(state::Availability now, bool stateReady, const AvailabilitySignals& h, const AvailabilityLimits& l) {
    if (!stateReady) return false;
    // Live by its lease, and yet no read of the state succeeds: it could answer no user.
    if (now == state::Availability::serving) return h.readFailedS < kReadsFailedS;
    if (now != state::Availability::disconnected) return false;
    // In an outage that everybody has, staying in the balancer spares its slow return; answers are 503 meanwhile. One
    // that hears neither the store nor any other controller is more likely cut off itself: users are better served
    // elsewhere.
    bool apart = h.hasPeers && !h.peerHeard;
    return h.disconnectedS < (apart ? kIsolatedS : l.cancelS);
}

}  // namespace wellstair::leadership
