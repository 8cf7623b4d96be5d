// Counts answered and rejected heartbeats, expired leases and raised fencing tokens, and measures how much of a lease
// passes between renewals and how many ended attempts hosts list.
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
    // Records the number of ended attempts that an answered heartbeat lists.
    void record_ended_attempts(std::size_t count) { endedAttempts_(static_cast<double>(count)); }
    void record_raised_token() { ++raisedTokens_; }
    void record_stale_heartbeat() { ++staleHeartbeats_; }
    void record_lease_expiry() { ++expiredLeases_; }
    // Records a heartbeat in an agent epoch whose lease was taken to have expired. Apart from heartbeats that were
    // delayed in the network, this indicates that the leader measured the lease too short.
    void record_return_after_expiry() { ++returnsAfterExpiry_; }

    bool empty() const { return renewals_ + staleHeartbeats_ + expiredLeases_ == 0; }
    // Returns the counts as one log line and resets them.
    std::string take_summary();

  private:
    using Axis = boost::histogram::axis::regular<>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    // Upper bound of the histogram bin that contains the quantile; that of the last bin if it is above all of them.
    static double quantile(const Histogram& histogram, double probability);

    Histogram leaseShares_, endedAttempts_;
    std::uint64_t renewals_ = 0, overtaken_ = 0, staleHeartbeats_ = 0, expiredLeases_ = 0, returnsAfterExpiry_ = 0,
                  raisedTokens_ = 0;
};

}  // namespace wellstair::controller
