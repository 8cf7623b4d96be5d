#include "service/peer_status_exchange.hpp"

namespace wellstair::service {

namespace {
constexpr double kOwnStatusValidS = 0.3;  // shorter than the interval between packets, which go out twice a second
}  // namespace

peers::PeerStatus PeerStatusExchange::own_status(const std::string& receiver) {
    controller::Core& core = context_.core;
    // Shared by the packets to all receivers that are sent together, since building it iterates over all hosts.
    if (net::steady_now() - ownStatusBuiltS_ > kOwnStatusValidS) {
        ownStatusBuiltS_ = net::steady_now();
        ownStatus_ = core.own_peer_status(0, now());
        ownStatus_.requestNumber = cancellationBarrier_.next_request(net::steady_now());
    }
    ownStatus_.storeContactAgeS = net::steady_now() - store_.last_contact();
    ownStatus_.serving = core.availability() == state::Availability::serving;
    // The acknowledgement covers the cancellations in the same packet, so both are taken at the same time. Without a
    // loaded state nothing is acknowledged.
    ownStatus_.acknowledged = core.state_ready() ? newestRequests_[receiver] : 0;
    ownStatus_.cancelled = core.cancellations();
    return ownStatus_;
}

void PeerStatusExchange::receive(const peers::PeerStatus& status) {
    context_.core.record_cancellations(status.cancelled);
    newestRequests_[status.member] = status.requestNumber;
    cancellationBarrier_.acknowledge(status.member, status.incarnation, status.acknowledged);
    context_.core.set_peer_status(status, now());
}

}  // namespace wellstair::service
