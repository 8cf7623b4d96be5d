#include "controller/heartbeat_statistics.hpp"

#include <spdlog/fmt/fmt.h>

namespace wellstair::controller {

namespace {

constexpr unsigned kBins = 40;
constexpr double kLargestShare = 2;  // of the lease; what is above is counted in the last bin

}  // namespace

HeartbeatStatistics::HeartbeatStatistics()
    : leaseShares_(boost::histogram::make_histogram(Axis(kBins, 0, kLargestShare))) {}

void HeartbeatStatistics::record_renewal(double leaseShare, bool overtaken) {
    ++answered_;
    overtaken_ += overtaken;
    leaseShares_(leaseShare);
}

double HeartbeatStatistics::quantile(double q) const {
    const double wanted = q * boost::histogram::algorithm::sum(leaseShares_);
    double below = 0;
    for (auto&& bin : boost::histogram::indexed(leaseShares_)) {
        below += static_cast<double>(*bin);
        if (below >= wanted) return bin.bin().upper();
    }
    return kLargestShare;
}

std::string HeartbeatStatistics::take_summary() {
    std::string line = fmt::format(
        "check-ins: {} answered, {} of them overtaken by a command's reply, {} refused as older; share of the lease "
        "between renewals: median {:.2f}, 99% {:.2f}; {} leases ended, {} machines back in an ended session",
        answered_, overtaken_, refusedAsOlder_, quantile(0.5), quantile(0.99), leasesEnded_, backInEndedSession_);
    *this = HeartbeatStatistics();
    return line;
}

}  // namespace wellstair::controller
