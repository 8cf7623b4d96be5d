// The newest status received from each other controller. A hint only: safety never depends on it.
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
    double receivedAtS = kNeverS;  // steady time

    // In seconds.
    double age(Timestamp now) const { return now.steady - receivedAtS; }
};

class PeerTable {
  public:
    // Replaces the sender's previous status.
    void receive(const PeerStatus& status, Timestamp now) { statuses_[status.member] = {status, now.steady}; }
    // Null if no status of this member has ever been received.
    const ReceivedStatus* find(const std::string& member) const;
    // Whether a status of any other controller arrived recently.
    bool any_heard(Timestamp now) const;
    // Whether any other controller is serving and in contact with the state service.
    bool any_reaches_store(Timestamp now) const;

  private:
    std::map<std::string, ReceivedStatus> statuses_;
};

}  // namespace wellstair::peers
