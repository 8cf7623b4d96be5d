#include "peers/peer_table.hpp"

#include <algorithm>

namespace wellstair::peers {

namespace {

// Statuses are sent twice a second.
constexpr double kHeardWithinS = 1.5;
constexpr double kStateServiceWithinS = 0.75;

}  // namespace

const ReceivedStatus* PeerTable::find(const std::string& member) const {
    auto it = statuses_.find(member);
    return it == statuses_.end() ? nullptr : &it->second;
}

bool PeerTable::any_heard(Timestamp now) const {
    return std::any_of(statuses_.begin(), statuses_.end(),
                       [&](const auto& entry) { return entry.second.age(now) < kHeardWithinS; });
}

bool PeerTable::any_reaches_store(Timestamp now) const {
    // Counted up to now, not up to when it was said: when an outage begins, the others' last statuses still tell of a
    // state service that answers, and to become isolated for that would leave every host without a leader.
    return std::any_of(statuses_.begin(), statuses_.end(), [&](const auto& entry) {
        const ReceivedStatus& received = entry.second;
        return received.status.serving && received.status.storeContactAgeS + received.age(now) < kStateServiceWithinS;
    });
}

}  // namespace wellstair::peers
