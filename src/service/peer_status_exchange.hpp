// What this controller tells the others in its status packets, and takes from theirs. Also asks the others what they
// have confirmed: the answers of all of them vouch for the cancellations known here without the state service.
// Owns the own packet of the moment, the newest question of each other controller, and the answers to our questions.
// One io_context thread. The packets' bytes are `peers/packet`, their transport `peers/peer_network`.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "leadership/cancellation_read_barrier.hpp"
#include "peers/packet.hpp"
#include "service/loop_context.hpp"
#include "store/client.hpp"

namespace wellstair::service {

class PeerStatusExchange {
  public:
    PeerStatusExchange(LoopContext context, const store::Client& store)
        : context_(context), store_(store), cancellationBarrier_(context.core.incarnation()) {}

    // The packet for one of the other controllers, as of now.
    peers::PeerStatus own_status(const std::string& receiver);

    // Takes in a packet of another controller.
    void receive(const peers::PeerStatus& status);

    // Up to when the others have told every cancellation that they confirmed.
    const leadership::CancellationReadBarrier& cancellation_barrier() const { return cancellationBarrier_; }

  private:
    LoopContext context_;
    const store::Client& store_;
    leadership::CancellationReadBarrier cancellationBarrier_;
    std::map<std::string, std::uint64_t> newestRequests_;  // of each other controller
    peers::PeerStatus ownStatus_;
    double ownStatusBuiltS_ = -1e9;
};

}  // namespace wellstair::service
