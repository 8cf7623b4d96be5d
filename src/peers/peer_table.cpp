#include "peers/peer_table.hpp"

#include <algorithm>

namespace wellstair::peers {

namespace {

// Statuses are sent every 0.5 s.
constexpr double kHeardWithinS = 1.5;
constexpr double kStoreContactWithinS = 0.75;

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
    // The age includes the time since the status was received. When an outage begins, the last statuses of the others
    // still report contact with the state service; becoming isolated on that account would leave every host without a
    // leader.
    return std::any_of(statuses_.begin(), statuses_.end(), [&](const auto& entry) {
        const ReceivedStatus& received = entry.second;
        return received.status.serving && received.status.storeContactAgeS + received.age(now) < kStoreContactWithinS;
    });
}

}  // namespace wellstair::peers
