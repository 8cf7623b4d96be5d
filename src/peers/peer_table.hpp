// The newest status of each other controller, as received. Advice only: safety never depends on it.
//
// Owns the statuses. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <string>

#include "common/timestamp.hpp"
#include "peers/packet.hpp"

namespace wellstair::peers {

struct ReceivedStatus {
    PeerStatus status;
    double receivedAtS = -1e9;  // steady time

    double age(Timestamp now) const { return now.steady - receivedAtS; }
};

class PeerTable {
  public:
    void receive(const PeerStatus& status, Timestamp now) { statuses_[status.member] = {status, now.steady}; }
    // Nothing if no status of this member has ever been received.
    const ReceivedStatus* find(const std::string& member) const;
    // Whether some other controller has been heard a moment ago.
    bool any_heard(Timestamp now) const;
    // Whether the state service answers some other controller.
    bool any_reaches_store(Timestamp now) const;

  private:
    std::map<std::string, ReceivedStatus> statuses_;
};

}  // namespace wellstair::peers
