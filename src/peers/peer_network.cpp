#include "peers/peer_network.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <utility>

#include "net/time.hpp"

namespace wellstair::peers {

using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Between status packets, and before a failed connect or accept is repeated.
constexpr double kIntervalS = 0.5;
constexpr auto kSendTimeout = std::chrono::milliseconds(1500);
constexpr auto kReceiveTimeout = std::chrono::seconds(10);
constexpr int kBacklog = 32;
// Limits on incoming connections. A member may have several: processes that have ended leave connections behind.
constexpr std::size_t kConnectionsPerMember = 8, kExtraConnections = 8;

}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& io, const config::Settings& settings, StatusProvider provideStatus,
                         StatusHandler handleStatus)
    : io_(io),
      settings_(settings),
      acceptor_(io),
      provideStatus_(std::move(provideStatus)),
      handleStatus_(std::move(handleStatus)) {
    tcp::endpoint endpoint(asio::ip::make_address_v4(settings.internalEndpoint.host), settings.internalEndpoint.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(kBacklog);
}

void PeerNetwork::start() {
    asio::co_spawn(io_, accept(), asio::detached);
    for (const auto& member : settings_.members) asio::co_spawn(io_, send_to(member.name, member.peer), asio::detached);
}

std::size_t PeerNetwork::max_connections() const {
    return kConnectionsPerMember * settings_.members.size() + kExtraConnections;
}

asio::awaitable<void> PeerNetwork::accept() {
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(kAwait);
        if (error)
            co_await net::sleep_for(io_, kIntervalS);
        else if (openConnections_ < max_connections())
            asio::co_spawn(io_, receive(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> PeerNetwork::receive(tcp::socket socket) {
    ++openConnections_;
    boost::beast::tcp_stream stream(std::move(socket));
    for (;;) {
        std::string bytes(sizeof(PacketHeader), '\0');
        stream.expires_after(kReceiveTimeout);
        auto [headerError, headerBytes] = co_await asio::async_read(stream, asio::buffer(bytes), kAwait);
        if (headerError) break;
        auto size = packed_size(bytes);
        if (!size) break;
        bytes.resize(*size);
        auto rest = asio::buffer(bytes.data() + sizeof(PacketHeader), *size - sizeof(PacketHeader));
        auto [restError, restBytes] = co_await asio::async_read(stream, rest, kAwait);
        if (restError) break;
        if (auto status = unpack(bytes)) handleStatus_(*status);
    }
    --openConnections_;
}

asio::awaitable<void> PeerNetwork::send_to(std::string member, config::Endpoint endpoint) {
    for (;;) {
        boost::beast::tcp_stream stream(io_);
        stream.expires_after(kSendTimeout);
        tcp::endpoint peer(asio::ip::make_address_v4(endpoint.host), endpoint.port);
        auto [connectError] = co_await stream.async_connect(peer, kAwait);
        while (!connectError) {
            std::string bytes = pack(provideStatus_(member));
            stream.expires_after(kSendTimeout);
            auto [writeError, bytesWritten] = co_await asio::async_write(stream, asio::buffer(bytes), kAwait);
            if (writeError) break;
            co_await net::sleep_for(io_, kIntervalS);
        }
        co_await net::sleep_for(io_, net::jitter(kIntervalS));
    }
}

}  // namespace wellstair::peers
