// Counts what became of workers' heartbeats, and how close renewals come to the end of the lease.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>

namespace wellstair::controller {

class HeartbeatStatistics {
  public:
    HeartbeatStatistics();

    // An answer that renews a lease. `leaseShare`: what part of the lease had passed since the last one.
    void record_renewal(double leaseShare, bool overtaken);
    void record_stale_heartbeat() { ++refusedAsOlder_; }
    void record_lease_expiry() { ++leasesEnded_; }
    // A machine reports in a session whose lease was counted as ended. Beside heartbeats that were held back on the
    // way, this shows a lease that was counted too short.
    void record_return_after_expiry() { ++backInEndedSession_; }

    bool empty() const { return answered_ + refusedAsOlder_ + leasesEnded_ == 0; }
    // One line for the log; the counts begin anew.
    std::string take_summary();

  private:
    // The upper bound of the bin in which this quantile lies, as a share of the lease.
    double quantile(double q) const;

    using Axis = boost::histogram::axis::regular<>;
    boost::histogram::histogram<std::tuple<Axis>> leaseShares_;
    std::uint64_t answered_ = 0, overtaken_ = 0, refusedAsOlder_ = 0, leasesEnded_ = 0, backInEndedSession_ = 0;
};

}  // namespace wellstair::controller
