// The leader's view of a worker's lease.
//
// A worker measures its lease from the time at which it sent the last heartbeat that was answered with 200. The leader
// does not know that time, but it decides on the answer later. Measured from that decision, the lease can only expire
// later than on the worker.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "common/timestamp.hpp"

namespace wellstair::workers {

// Identifies a heartbeat of one host. The larger of two is the newer one.
struct HeartbeatId {
    std::uint64_t agentEpoch = 0, sequence = 0;
    auto operator<=>(const HeartbeatId&) const = default;
};

class WorkerLease {
  public:
    // Must be called for every heartbeat that is about to be answered with 200, and for nothing else. If it returns
    // false, the heartbeat must not be answered with 200.
    //
    // Rejects heartbeats that are not newer than the last one answered. A worker has one heartbeat in flight, so it no
    // longer waits for the response to an older one, and a lease measured from that earlier sending ends within the one
    // recorded here. Replies to commands do not count: a reply may overtake a heartbeat whose response the worker still
    // waits for.
    bool renew(const HeartbeatId& heartbeat, double nowS);

    // Starts measuring at the beginning of a leadership, before any heartbeat has been answered.
    void begin(double nowS);

    // Whether the lease is being measured, that is, `begin` or `renew` has been called.
    bool begun() const { return measuredFromS_ > 0; }
    // Seconds since the lease was last renewed.
    double age(double nowS) const { return nowS - measuredFromS_; }
    // Whether the lease has expired. Allows for the largest possible drift between the two clocks, so that it never
    // returns true before the lease has expired on the worker.
    bool expired(double nowS, double leaseS) const;

    // The heartbeat that last renewed the lease. A worker has one heartbeat in flight, so it has dropped the responses
    // to all earlier ones, or has received them.
    const HeartbeatId& last_answered() const { return lastAnswered_; }
    // Age, agent epoch and sequence number of the last renewal, for log lines.
    std::string describe(double nowS) const;

  private:
    HeartbeatId lastAnswered_;
    double measuredFromS_ = kNeverS;
};

}  // namespace wellstair::workers
