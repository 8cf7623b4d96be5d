// The controllers' own network (PROTOCOL, controllers): each sends its status packets to every other at short
// intervals, over a connection of its own. Packets are one way; there is no reply.
// Owns the listening socket and the connections. One io_context thread; each connection is a coroutine.
// Errors: the constructor throws when the address cannot be bound; a broken connection is made again after a pause, and
// one that sends anything but packets is closed.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "config/settings.hpp"
#include "peers/packet.hpp"

namespace wellstair::peers {

namespace asio = boost::asio;

class PeerNetwork {
  public:
    // The packet to be sent to a receiver now.
    using StatusProvider = std::function<PeerStatus(const std::string& receiver)>;
    // Takes in a packet that has come.
    using StatusHandler = std::function<void(const PeerStatus&)>;

    // Binds the internal address of the settings, which must outlive it.
    PeerNetwork(asio::io_context& io, const config::Settings& settings, StatusProvider ownStatus,
                StatusHandler onStatus);

    // Starts to receive, and to send to each of the other controllers.
    void start();

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> receive(asio::ip::tcp::socket socket);
    asio::awaitable<void> send_to(std::string member, config::Endpoint endpoint);
    std::size_t most_connections() const;

    asio::io_context& io_;
    const config::Settings& settings_;
    asio::ip::tcp::acceptor acceptor_;
    StatusProvider ownStatus_;
    StatusHandler onStatus_;
    std::size_t open_ = 0;  // connections of others to us
};

}  // namespace wellstair::peers
