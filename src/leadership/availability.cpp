#include "leadership/availability.hpp"

#include "config/clock_drift.hpp"

namespace wellstair::leadership {

namespace {
// The state service usually answers within 10 ms and occasionally takes a few hundred.
constexpr double kStoreSilentS = 1.5;
// A controller without contact with the state service and its peers reports itself unhealthy after this time.
constexpr double kIsolatedS = 1.0;
// A serving controller reports itself unhealthy once its reads of the state have failed for this time.
constexpr double kReadsFailedS = 4.0;
// Allowance for late timers, for the 0.25 s between evaluations, and for sending after an evaluation.
constexpr double kTimerDelayS = 1.0;
}  // namespace

double answer_window(const AvailabilityLimits& limits) {
    return limits.cancelS / config::kClockDriftFactor - limits.leaseS * config::kClockDriftFactor - kTimerDelayS;
}

state::Availability next_availability(state::Availability now, const AvailabilitySignals& signals,
                                      const AvailabilityLimits& limits) {
    // Takes precedence over all other signals and applies in every state: commands are derived from reads, and the
    // state service may serve renewals and commits while reads fail or hang.
    if (signals.cancellationsReadAgeS > answer_window(limits))
        return now == state::Availability::joining ? now : state::Availability::isolated;
    bool silent = signals.storeContactAgeS > kStoreSilentS;
    if (!silent && signals.registered) return state::Availability::serving;
    if (now == state::Availability::joining) return state::Availability::joining;
    if (!silent) return now == state::Availability::serving ? state::Availability::disconnected : now;
    // The state service answers other controllers, so the fault is on this one's side.
    if (signals.peerReachesStore) return state::Availability::isolated;
    // Either the state service is down for all controllers, or this one has lost both the state service and its peers;
    // the two cannot be told apart. Workers are answered until `answer_window` has passed.
    return state::Availability::disconnected;
}

bool healthy(state::Availability now, bool stateReady, const AvailabilitySignals& signals,
             const AvailabilityLimits& limits) {
    if (!stateReady) return false;
    // Its registration is renewed, but without reads every user request would fail.
    if (now == state::Availability::serving) return signals.readFailedS < kReadsFailedS;
    if (now != state::Availability::disconnected) return false;
    // During an outage of the state service for all controllers, requests get 503, but staying in the load balancer
    // avoids its slow re-admission. A controller that hears neither the state service nor any peer is more likely cut
    // off itself, and users are better served elsewhere.
    bool cutOff = signals.hasPeers && !signals.peerHeard;
    return signals.disconnectedS < (cutOff ? kIsolatedS : limits.cancelS);
}

}  // namespace wellstair::leadership
