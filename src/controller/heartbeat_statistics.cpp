#include "controller/heartbeat_statistics.hpp"

#include <spdlog/fmt/fmt.h>

namespace wellstair::controller {

namespace {

constexpr unsigned kBins = 40;
constexpr double kMaxLeaseShare = 2;  // upper end of the histogram; larger values count as this

}  // namespace

HeartbeatStatistics::HeartbeatStatistics()
    : leaseShares_(boost::histogram::make_histogram(Axis(kBins, 0, kMaxLeaseShare))) {}

void HeartbeatStatistics::record_renewal(double leaseShare, bool overtaken) {
    ++renewals_;
    overtaken_ += overtaken;
    leaseShares_(leaseShare);
}

double HeartbeatStatistics::quantile(double probability) const {
    const double wanted = probability * boost::histogram::algorithm::sum(leaseShares_);
    double below = 0;
    for (auto&& bin : boost::histogram::indexed(leaseShares_)) {
        below += static_cast<double>(*bin);
        if (below >= wanted) return bin.bin().upper();
    }
    return kMaxLeaseShare;
}

std::string HeartbeatStatistics::take_summary() {
    std::string line = fmt::format(
        "heartbeats: {} answered, {} of them overtaken by a command reply, {} rejected as stale; fraction of the lease "
        "between renewals: median {:.2f}, p99 {:.2f}; {} leases expired, {} hosts returned in an expired agent epoch",
        renewals_, overtaken_, staleHeartbeats_, quantile(0.5), quantile(0.99), expiredLeases_, returnsAfterExpiry_);
    *this = HeartbeatStatistics();
    return line;
}

}  // namespace wellstair::controller
