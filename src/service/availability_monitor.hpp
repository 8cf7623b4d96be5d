// This controller's own availability, from what the state service and the other controllers have told it.
// Owns since when the controller has been disconnected. One io_context thread; no I/O, no errors.
// The rules are `leadership/availability`.
#pragma once

#include "leadership/availability.hpp"
#include "service/loop_context.hpp"
#include "service/peer_status_exchange.hpp"
#include "service/read_barrier.hpp"
#include "service/state_reader.hpp"
#include "store/client.hpp"

namespace wellstair::service {

class AvailabilityMonitor {
  public:
    AvailabilityMonitor(LoopContext context, const store::Client& store, const StateReader& reader,
                        const ReadBarrier& readBarrier, const PeerStatusExchange& peerStatus)
        : context_(context), store_(store), reader_(reader), readBarrier_(readBarrier), peerStatus_(peerStatus) {}

    // Judges the availability anew, by the clock as it is now. To be called before anything that only a serving
    // controller may do: a process that was suspended handles queued requests before its timers.
    void update();

    // Whether the load balancer should send users here.
    bool healthy() const;

  private:
    leadership::AvailabilitySignals signals() const;
    leadership::AvailabilityLimits limits() const;
    void log_change(const leadership::AvailabilitySignals& signals) const;

    LoopContext context_;
    const store::Client& store_;
    const StateReader& reader_;
    const ReadBarrier& readBarrier_;
    const PeerStatusExchange& peerStatus_;
    double disconnectedSinceS_ = 0;
};

}  // namespace wellstair::service
