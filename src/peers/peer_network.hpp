// The controllers' own network: each sends its peer status packets to every other at short intervals.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "net/http.hpp"
#include "peers/packet.hpp"

namespace wellstair::peers {

namespace asio = boost::asio;

class PeerNetwork {
  public:
    PeerNetwork(asio::io_context& io, const config::Settings& settings,
                std::function<PeerStatus(const std::string& to)> ownStatus,
                std::function<void(const PeerStatus&)> onStatus);
    void start();

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> receive(asio::ip::tcp::socket socket);
    asio::awaitable<void> send_to(std::string member, config::Endpoint to);

    asio::io_context& io_;
    const config::Settings& settings_;
    asio::ip::tcp::acceptor acceptor_;
    std::function<PeerStatus(const std::string& to)> ownStatus_;
    std::function<void(const PeerStatus&)> onStatus_;
    std::size_t open_ = 0;
};

}  // namespace wellstair::peers
