// The leader's view of a worker's lease.
//
// A worker measures its lease from the time at which it sent the last heartbeat that was answered with 200 or, before
// that, from the beginning of its agent epoch (PROTOCOL, "Leases"). The leader knows neither time, but it decides on
// the answer later than the one, and receives the first status of the epoch later than the other. Measured from these,
// the lease can only expire later than on the worker.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "common/timestamp.hpp"

namespace wellstair::workers {

// Identifies a heartbeat of one host. The larger of two is the newer one.
struct HeartbeatId {
    std::uint64_t agentEpoch = 0, sequence = 0;
    bool operator==(const HeartbeatId&) const = default;
    bool operator<(const HeartbeatId& other) const {
        return std::tie(agentEpoch, sequence) < std::tie(other.agentEpoch, other.sequence);
    }
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
    // Must be called for the first status of an agent epoch, whatever message it arrives in: the worker's lease begins
    // anew with the epoch, without a heartbeat.
    void begin_agent_epoch(double nowS);

    // Whether the lease is being measured, that is, `begin` or `renew` has been called.
    bool begun() const { return renewedS_ > 0; }
    // Seconds for which the lease has been measured.
    double age(double nowS) const { return nowS - measuredFromS_; }
    // Seconds since the last heartbeat was answered.
    double renewal_age(double nowS) const { return nowS - renewedS_; }
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
    double renewedS_ = kNeverS;       // when the last heartbeat was answered
    double measuredFromS_ = kNeverS;  // the latest time from which the worker may measure the lease
};

}  // namespace wellstair::workers
