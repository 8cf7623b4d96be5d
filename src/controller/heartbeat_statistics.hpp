// Counts answered and rejected heartbeats and expired leases, and measures how much of a lease passes between renewals.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>

namespace wellstair::controller {

class HeartbeatStatistics {
  public:
    HeartbeatStatistics();

    // Records a response that renews a lease. `leaseShare`: fraction of the lease that had passed since the previous
    // renewal. `overtaken`: a newer status had already arrived in the reply to a command.
    void record_renewal(double leaseShare, bool overtaken);
    void record_stale_heartbeat() { ++staleHeartbeats_; }
    void record_lease_expiry() { ++expiredLeases_; }
    // Records a heartbeat in an agent epoch whose lease was taken to have expired. Apart from heartbeats that were
    // delayed in the network, this indicates that the leader measured the lease too short.
    void record_return_after_expiry() { ++returnsAfterExpiry_; }

    bool empty() const { return renewals_ + staleHeartbeats_ + expiredLeases_ == 0; }
    // Returns the counts as one log line and resets them.
    std::string take_summary();

  private:
    // Upper bound of the histogram bin that contains the quantile, as a fraction of the lease.
    double quantile(double probability) const;

    using Axis = boost::histogram::axis::regular<>;
    boost::histogram::histogram<std::tuple<Axis>> leaseShares_;
    std::uint64_t renewals_ = 0, overtaken_ = 0, staleHeartbeats_ = 0, expiredLeases_ = 0, returnsAfterExpiry_ = 0;
};

}  // namespace wellstair::controller
