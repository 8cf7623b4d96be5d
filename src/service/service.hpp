// Composition root of a controller: constructs, connects and starts the core, the loops and the request handlers.
// Owns all of them. Everything runs on the one thread of the io_context.
// Errors: the constructor throws if an address cannot be bound; an exception in a loop terminates the process.
#pragma once

#include <cstdint>

#include "api/server.hpp"
#include "cloud/client.hpp"
#include "controller/core.hpp"
#include "peers/peer_network.hpp"
#include "service/availability_monitor.hpp"
#include "service/cloud_loop.hpp"
#include "service/command_sender.hpp"
#include "service/committer.hpp"
#include "service/heartbeat_api.hpp"
#include "service/loop_context.hpp"
#include "service/membership_loop.hpp"
#include "service/peer_status_exchange.hpp"
#include "service/periodic_checks.hpp"
#include "service/read_barrier.hpp"
#include "service/round_loop.hpp"
#include "service/state_reader.hpp"
#include "service/user_api.hpp"
#include "service/user_request_queue.hpp"
#include "store/client.hpp"
#include "workers/command_channel.hpp"

namespace wellstair::service {

class Service {
  public:
    // Binds the public and the internal address of the settings, which must outlive the service.
    Service(asio::io_context& io, const config::Settings& settings, controller::Tunables tunables);

    // Starts the servers and all loops, which run as long as the io_context does.
    void start();

    // The port on which users and workers reach this controller.
    std::uint16_t port() const { return server_.port(); }

  private:
    api::Handlers handlers();

    asio::io_context& io_;
    controller::Core core_;
    Signals signals_;
    LoopContext context_;
    store::Client store_;
    cloud::Client cloud_;
    workers::CommandChannels channels_;

    StateReader stateReader_;
    ReadBarrier readBarrier_;
    PeerStatusExchange peerStatus_;
    AvailabilityMonitor availability_;
    Committer committer_;
    MembershipLoop membership_;
    CommandSender commandSender_;
    RoundLoop rounds_;
    UserRequestQueue userRequests_;
    CloudLoop cloudLoop_;
    PeriodicChecks periodicChecks_;

    UserApi userApi_;
    HeartbeatApi heartbeatApi_;
    api::Server server_;
    peers::PeerNetwork peerNetwork_;
};

}  // namespace wellstair::service
