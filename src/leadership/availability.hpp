// Derives a controller's availability, and its answer to health checks, from its contact with the state service and
// with the other controllers.
#pragma once

#include "state/states.hpp"

namespace wellstair::leadership {

// What the controller observes. Durations are in seconds, up to now.
struct AvailabilitySignals {
    bool registered = false;           // this process's member key exists, according to the cached state
    double storeContactAgeS = 0;       // since the state service last answered a request of any kind
    double cancellationsReadAgeS = 0;  // since the last moment up to which all confirmed cancellations are known
    bool hasPeers = false;             // other controllers are configured
    bool peerHeard = false;            // a status packet from one of them arrived recently
    bool peerReachesStore = false;     // one of them reports contact with the state service
    double disconnectedS = 0;          // spent in the state `disconnected`
    double readFailedS = 0;            // for which every attempted read of the state has failed
};

struct AvailabilityLimits {
    double cancelS = 0;  // within which a task must have ended after its cancellation was confirmed
    double leaseS = 0;   // worker lease
};

// Seconds after the last read of cancellations during which a controller may answer heartbeats. A cancellation that it
// does not know of was confirmed after that read. A worker that is answered now may continue for one more lease by its
// own clock, and its task must still end within `cancel_s` of the confirmation. The lease counts from the sending of
// the heartbeat, so an answer that is delayed in transit does not extend it.
double answer_window(const AvailabilityLimits& limits);

state::Availability next_availability(state::Availability now, const AvailabilitySignals& signals,
                                      const AvailabilityLimits& limits);
// Whether the load balancer should send users to this controller.
bool healthy(state::Availability now, bool stateReady, const AvailabilitySignals& signals,
             const AvailabilityLimits& limits);

}  // namespace wellstair::leadership
