#include "controller/heartbeat_statistics.hpp"

#include <spdlog/fmt/fmt.h>

#include <cmath>

namespace wellstair::controller {

namespace {

constexpr unsigned kBins = 40;
constexpr double kMaxLeaseShare = 2;        // upper end of the histogram; larger values count as this
constexpr unsigned kMaxEndedAttempts = 64;  // likewise

}  // namespace

HeartbeatStatistics::HeartbeatStatistics()
    : leaseShares_(boost::histogram::make_histogram(Axis(kBins, 0, kMaxLeaseShare))),
      endedAttempts_(boost::histogram::make_histogram(Axis(kMaxEndedAttempts + 1, -0.5, kMaxEndedAttempts + 0.5))) {}

void HeartbeatStatistics::record_renewal(double leaseShare, bool overtaken) {
    ++renewals_;
    overtaken_ += overtaken;
    leaseShares_(leaseShare);
}

double HeartbeatStatistics::quantile(const Histogram& histogram, double probability) {
    const double wanted = probability * boost::histogram::algorithm::sum(histogram);
    double below = 0;
    for (auto&& bin : boost::histogram::indexed(histogram)) {
        below += static_cast<double>(*bin);
        if (below >= wanted) return bin.bin().upper();
    }
    const Axis& axis = histogram.axis();
    return axis.value(axis.size());
}

std::string HeartbeatStatistics::take_summary() {
    std::string line = fmt::format(
        "heartbeats: {} answered, {} of them overtaken by a command reply, {} rejected as stale; fraction of the lease "
        "between renewals: median {:.2f}, p99 {:.2f}; {} leases expired, {} hosts returned in an expired agent epoch; "
        "ended attempts listed: p99 {:.0f}; {} fencing tokens raised",
        renewals_, overtaken_, staleHeartbeats_, quantile(leaseShares_, 0.5), quantile(leaseShares_, 0.99),
        expiredLeases_, returnsAfterExpiry_, std::floor(quantile(endedAttempts_, 0.99)), raisedTokens_);
    *this = HeartbeatStatistics();
    return line;
}

}  // namespace wellstair::controller
