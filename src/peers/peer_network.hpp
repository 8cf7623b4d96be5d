// Exchange of status packets between controllers (PROTOCOL, controllers): each controller sends its packets to every
// other one at short intervals, over a connection of its own. Packets are one-way; there is no reply.
// Owns the listening socket and the connections. One io_context thread; each connection is a coroutine.
// Errors: the constructor throws when the address cannot be bound; a broken connection is re-established after a pause,
// and one that delivers anything but valid packets is closed. An exception of the provider or the handler costs the
// connection that it came from.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "config/settings.hpp"
#include "net/slot_counter.hpp"
#include "peers/packet.hpp"

namespace wellstair::peers {

namespace asio = boost::asio;

class PeerNetwork {
  public:
    // Returns the status to send to a receiver now.
    using StatusProvider = std::function<PeerStatus(const std::string& receiver)>;
    // Processes a received status.
    using StatusHandler = std::function<void(const PeerStatus&)>;

    // Binds the internal address of the settings. The settings must outlive this object.
    PeerNetwork(asio::io_context& io, const config::Settings& settings, StatusProvider provideStatus,
                StatusHandler handleStatus);

    // The port on which the other controllers reach this one.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    // Starts receiving, and sending to each of the other controllers.
    void start();

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> receive(asio::ip::tcp::socket socket);
    asio::awaitable<bool> receive_status(boost::beast::tcp_stream& stream);
    asio::awaitable<void> send_to(std::string member, config::Endpoint endpoint);
    asio::awaitable<void> send_until_failure(std::string member, config::Endpoint endpoint);
    std::size_t max_connections() const;

    asio::io_context& io_;
    const config::Settings& settings_;
    asio::ip::tcp::acceptor acceptor_;
    StatusProvider provideStatus_;
    StatusHandler handleStatus_;
    net::SlotCounter connections_;  // incoming ones
};

}  // namespace wellstair::peers
