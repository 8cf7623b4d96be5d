#include "peers/peer_network.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "net/spawn.hpp"
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
    net::spawn(io_, accept());
    for (const auto& member : settings_.members) net::spawn(io_, send_to(member.name, member.peer));
}

std::size_t PeerNetwork::max_connections() const {
    return kConnectionsPerMember * settings_.members.size() + kExtraConnections;
}

// An exception costs one connection, not the loop.
asio::awaitable<void> PeerNetwork::accept() {
    for (;;) {
        bool accepted = false;
        try {
            auto [error, socket] = co_await acceptor_.async_accept(kAwait);
            accepted = !error;
            if (accepted && connections_.used() < max_connections()) net::spawn(io_, receive(std::move(socket)));
        } catch (const std::exception& e) {
            spdlog::error("cannot accept a connection of another controller: {}", e.what());
        }
        if (!accepted) co_await net::sleep_for(io_, kIntervalS);
    }
}

asio::awaitable<void> PeerNetwork::receive(tcp::socket socket) {
    try {
        const net::SlotCounter::Slot slot = connections_.acquire();
        boost::beast::tcp_stream stream(std::move(socket));
        bool received = true;
        while (received) received = co_await receive_status(stream);
    } catch (const std::exception& e) {
        spdlog::error("a connection of another controller is closed after an unexpected exception: {}", e.what());
    }
}

// Returns false if the connection ends or delivers anything but a packet.
asio::awaitable<bool> PeerNetwork::receive_status(boost::beast::tcp_stream& stream) {
    std::string bytes(sizeof(PacketHeader), '\0');
    stream.expires_after(kReceiveTimeout);
    auto [headerError, headerBytes] = co_await asio::async_read(stream, asio::buffer(bytes), kAwait);
    if (headerError) co_return false;
    auto size = packed_size(bytes);
    if (!size) co_return false;
    bytes.resize(*size);
    auto rest = asio::buffer(bytes.data() + sizeof(PacketHeader), *size - sizeof(PacketHeader));
    auto [restError, restBytes] = co_await asio::async_read(stream, rest, kAwait);
    if (restError) co_return false;
    if (auto status = unpack(bytes)) handleStatus_(*status);
    co_return true;
}

asio::awaitable<void> PeerNetwork::send_to(std::string member, config::Endpoint endpoint) {
    for (;;) {
        try {
            co_await send_until_failure(member, endpoint);
        } catch (const std::exception& e) {
            spdlog::error("no status is sent to {} after an unexpected exception: {}", member, e.what());
        }
        co_await net::sleep_for(io_, net::jitter(kIntervalS));
    }
}

// Connects, and sends a status at each interval until the connection fails.
asio::awaitable<void> PeerNetwork::send_until_failure(std::string member, config::Endpoint endpoint) {
    boost::beast::tcp_stream stream(io_);
    stream.expires_after(kSendTimeout);
    tcp::endpoint peer(asio::ip::make_address_v4(endpoint.host), endpoint.port);
    auto [connectError] = co_await stream.async_connect(peer, kAwait);
    if (connectError) co_return;
    for (;;) {
        std::string bytes = pack(provideStatus_(member));
        stream.expires_after(kSendTimeout);
        auto [writeError, bytesWritten] = co_await asio::async_write(stream, asio::buffer(bytes), kAwait);
        if (writeError) co_return;
        co_await net::sleep_for(io_, kIntervalS);
    }
}

}  // namespace wellstair::peers
