#include "leadership/cancellation_read_barrier.hpp"

#include <algorithm>

namespace wellstair::leadership {

namespace {
// Acknowledgements of older requests arrive too late to be useful.
constexpr std::size_t kMaxPendingRequests = 64;
}  // namespace

std::uint64_t CancellationReadBarrier::next_request(double nowS) {
    requests_.emplace_back(nextNumber_, nowS);
    if (requests_.size() > kMaxPendingRequests) requests_.pop_front();
    return nextNumber_++;
}

void CancellationReadBarrier::acknowledge(const std::string& member, std::uint64_t incarnation,
                                          std::uint64_t requestNumber) {
    auto it = std::find_if(requests_.begin(), requests_.end(),
                           [&](const auto& request) { return request.first == requestNumber; });
    if (it == requests_.end()) return;
    Acknowledgement& latest = acknowledgements_[member];
    if (latest.incarnation != incarnation) latest = {incarnation, it->second};
    latest.requestedS = std::max(latest.requestedS, it->second);
}

double CancellationReadBarrier::acknowledged_until(const std::map<std::string, std::uint64_t>& others) const {
    double until = std::numeric_limits<double>::infinity();
    for (const auto& [member, incarnation] : others) {
        auto it = acknowledgements_.find(member);
        if (it == acknowledgements_.end() || it->second.incarnation != incarnation)
            return -std::numeric_limits<double>::infinity();
        until = std::min(until, it->second.requestedS);
    }
    return others.empty() ? -std::numeric_limits<double>::infinity() : until;
}

}  // namespace wellstair::leadership
