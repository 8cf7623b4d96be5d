#include "model/standing.hpp"

#include "model/clock_drift.hpp"

namespace wellstair::model {

namespace {
constexpr double kSilentS = 1.5;  // "usually under 10 ms, occasionally a few hundred"
constexpr double kApartS = 1.0;   // without store and peers: then unhealthy
constexpr double kMuteS = 4.0;    // live, but no read of the state succeeds: then unhealthy
// Timers fire late, standing is judged four times a second, and what is judged may be sent a moment later.
constexpr double kLateS = 1.0;
}  // namespace

double answers_for(const StandingLimits& l) {
    return l.cancelS / kClockDriftFactor - l.leaseS * kClockDriftFactor - kLateS;
}

MemberState judge(MemberState now, const Heard& h, const StandingLimits& l) {
    // Before all else, whatever the service answers to other requests, whatever the peers say, from whichever state:
    // renewals and commits can be served while reads fail or hang, and orders come from what was read.
    if (h.contactAgeS > answers_for(l)) return now == MemberState::joining ? now : MemberState::alone;
    bool silent = h.storeAgeS > kSilentS;
    if (!silent && h.registered) return MemberState::live;
    if (now == MemberState::joining) return MemberState::joining;
    if (!silent) return now == MemberState::live ? MemberState::adrift : now;
    // The state service answers others: it is us.
    if (h.peerHasStore) return MemberState::alone;
    // It may be an outage that everybody has, or we may have lost the other controllers, too; that cannot be told
    // apart. Our machines are answered for as long as the contact allows.
    return MemberState::adrift;
}

bool healthy(MemberState now, bool viewReady, const Heard& h, const StandingLimits& l) {
    if (!viewReady) return false;
    // Live by its lease, and yet no read of the state succeeds: it could answer no user.
    if (now == MemberState::live) return h.readFailedS < kMuteS;
    if (now != MemberState::adrift) return false;
    // In an outage that everybody has, staying in the balancer spares its slow return; answers are 503 meanwhile. One
    // that hears neither the store nor any other controller is more likely cut off itself: users are better served
    // elsewhere.
    bool apart = h.hasPeers && !h.peerHeard;
    return h.adriftS < (apart ? kApartS : l.cancelS);
}

}  // namespace wellstair::model
