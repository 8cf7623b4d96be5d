// A controller's own standing, from what it hears: whether it acts for the controllers, and whether users should come.
#pragma once

#include "state/states.hpp"

namespace wellstair::leadership {

struct AvailabilitySignals {
    bool registered = false;           // our member key stands, as far as we have seen
    double storeContactAgeS = 0;       // since the state service last answered us, whatever it was asked
    double cancellationsReadAgeS = 0;  // since when a cancellation may have been confirmed that we do not know of
    bool hasPeers = false;             // there are other controllers
    bool peerHeard = false;            // one of them has spoken to us a moment ago
    bool peerReachesStore = false;     // and says that the state service answers it
    double disconnectedS = 0;          // for how long we have been disconnected
    double readFailedS = 0;            // for how long no read of the state has succeeded although it was tried
};

struct AvailabilityLimits {
    double cancelS = 0, leaseS = 0;
};

// For so long after the last contact a controller may answer machines. A cancellation that it does not know of was
// confirmed after that contact; a machine answered now may go on for one lease more, by its own clock, and the task
// must then be gone within cancel_s of the confirmation. The lease counts from when the heartbeat was sent, so an
// answer that is held on the way adds nothing.
double answer_window(const AvailabilityLimits& limits);

state::Availability next_availability(state::Availability now, const AvailabilitySignals& signals,
                                      const AvailabilityLimits& limits);
bool healthy(state::Availability now, bool stateReady, const AvailabilitySignals& signals,
             const AvailabilityLimits& limits);

}  // namespace wellstair::leadership
