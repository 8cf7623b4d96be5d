// Builds the status packets for the other controllers and processes theirs. Each packet also asks for an
// acknowledgement: once all other controllers have acknowledged it, the cancellations known here are complete up to the
// time of the request, without the state service.
// Owns the current status packet, the number of the newest request of each peer, and the acknowledgements of our own
// requests. One io_context thread. `peers/packet` encodes the packets, `peers/peer_network` transports them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/timestamp.hpp"
#include "leadership/cancellation_read_barrier.hpp"
#include "peers/packet.hpp"
#include "service/loop_context.hpp"
#include "store/client.hpp"

namespace wellstair::service {

class PeerStatusExchange {
  public:
    PeerStatusExchange(LoopContext context, const store::Client& store)
        : context_(context), store_(store), cancellationBarrier_(context.core.incarnation()) {}

    // The status packet for the member `receiver` at the present time.
    peers::PeerStatus own_status(const std::string& receiver);

    // Processes a status packet of another controller.
    void receive(const peers::PeerStatus& status);

    // Tells up to what time all cancellations confirmed by the other controllers are known here.
    const leadership::CancellationReadBarrier& cancellation_barrier() const { return cancellationBarrier_; }

  private:
    LoopContext context_;
    const store::Client& store_;
    leadership::CancellationReadBarrier cancellationBarrier_;
    std::map<std::string, std::uint64_t> newestRequests_;  // request numbers, by member
    peers::PeerStatus ownStatus_;
    double ownStatusBuiltS_ = kNeverS;  // steady clock
};

}  // namespace wellstair::service
