#include "leadership/cancellation_read_barrier.hpp"

#include <algorithm>

namespace wellstair::leadership {

namespace {
constexpr std::size_t kOpenRequests = 64;  // an answer to an older one would come too late to be of use
}

std::uint64_t CancellationReadBarrier::next_request(double nowS) {
    requests_.emplace_back(next_, nowS);
    if (requests_.size() > kOpenRequests) requests_.pop_front();
    return next_++;
}

void CancellationReadBarrier::acknowledge(const std::string& member, std::uint64_t incarnation,
                                          std::uint64_t requestNumber) {
    auto it = std::find_if(requests_.begin(), requests_.end(), [&](const auto& q) { return q.first == requestNumber; });
    if (it == requests_.end()) return;
    Answer& a = answers_[member];
    if (a.incarnation != incarnation) a = {incarnation, it->second};
    a.requestedS = std::max(a.requestedS, it->second);
}

double CancellationReadBarrier::acknowledged_until(const std::map<std::string, std::uint64_t>& others) const {
    double until = std::numeric_limits<double>::infinity();
    for (const auto& [member, incarnation] : others) {
        auto it = answers_.find(member);
        if (it == answers_.end() || it->second.incarnation != incarnation)
            return -std::numeric_limits<double>::infinity();
        until = std::min(until, it->second.requestedS);
    }
    return others.empty() ? -std::numeric_limits<double>::infinity() : until;
}

}  // namespace wellstair::leadership
