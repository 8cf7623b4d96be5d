// Keeps the availability of this controller up to date from its contact with the state service and with the other
// controllers. Collects the inputs; the rules are in `leadership/availability`.
// Owns the time at which the controller became disconnected. One io_context thread; no I/O, no errors.
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

    // Re-evaluates the availability at the present time. Must be called before every action that only a serving
    // controller may take: a process that resumes after a suspension handles queued requests before its timers.
    void update();

    // Whether the load balancer should send users to this controller.
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
    double disconnectedSinceS_ = 0;  // steady clock
};

}  // namespace wellstair::service
