#include "service/service.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <utility>

namespace wellstair::service {

namespace {

// Shares of `max_sockets`; the rest is for the state service, the cloud and the other controllers.
constexpr double kServerSocketShare = 0.92, kCommandSocketShare = 0.05;

std::uint64_t random_incarnation() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 20) ^ device();
}

std::size_t sockets(const config::Settings& settings, double share) {
    return static_cast<std::size_t>(share * settings.maxSockets);
}

}  // namespace

Service::Service(asio::io_context& io, const config::Settings& settings, controller::Tunables tunables)
    : io_(io),
      core_(settings, tunables, random_incarnation()),
      signals_(io),
      context_{io, settings, core_, signals_},
      store_(io, settings),
      cloud_(io, settings),
      channels_(io, std::max<std::size_t>(1, sockets(settings, kCommandSocketShare))),
      stateReader_(context_, store_),
      readBarrier_(context_, store_, stateReader_),
      peerStatus_(context_, store_),
      availability_(context_, store_, stateReader_, readBarrier_, peerStatus_),
      committer_(context_, store_),
      membership_(context_, store_, readBarrier_, availability_),
      commandSender_(context_, channels_),
      rounds_(context_, store_, stateReader_, readBarrier_, committer_, commandSender_),
      userRequests_(context_, stateReader_, readBarrier_, committer_),
      cloudLoop_(context_, cloud_, membership_, availability_, readBarrier_, committer_),
      periodicChecks_(context_, availability_, committer_, channels_),
      userApi_(context_, availability_, readBarrier_, userRequests_),
      heartbeatApi_(context_, availability_),
      server_(io, settings.publicEndpoint, sockets(settings, kServerSocketShare), {.workerS = settings.leaseS},
              handlers()),
      peerNetwork_(
          io, settings, [this](const std::string& receiver) { return peerStatus_.own_status(receiver); },
          [this](const peers::PeerStatus& status) { peerStatus_.receive(status); }) {}

api::Handlers Service::handlers() {
    api::Handlers out;
    out.submit = [this](std::string body) { return userApi_.submit(std::move(body)); };
    out.heartbeat = [this](std::string body) { return heartbeatApi_.heartbeat(std::move(body)); };
    out.poll = [this](std::string id) { return userApi_.poll(std::move(id)); };
    out.cancel = [this](std::string id) { return userApi_.cancel(std::move(id)); };
    out.healthy = [this] { return availability_.healthy(); };
    return out;
}

void Service::start() {
    server_.start();
    peerNetwork_.start();
    spawn(io_, stateReader_.run());
    spawn(io_, membership_.run());
    spawn(io_, readBarrier_.run());
    spawn(io_, rounds_.run());
    spawn(io_, userRequests_.run());
    spawn(io_, cloudLoop_.run());
    spawn(io_, periodicChecks_.run());
}

}  // namespace wellstair::service
