// The controllers' own network: each sends its hints to every other at short intervals.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "net/http.hpp"
#include "peers/packet.hpp"

namespace wellstair::peers {

namespace asio = boost::asio;

class Mesh {
  public:
    Mesh(asio::io_context& io, const app::Settings& settings, std::function<Hint(const std::string& to)> own,
         std::function<void(const Hint&)> heard);
    void start();

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> hear(asio::ip::tcp::socket socket);
    asio::awaitable<void> tell(std::string member, app::Endpoint to);

    asio::io_context& io_;
    const app::Settings& settings_;
    asio::ip::tcp::acceptor acceptor_;
    std::function<Hint(const std::string& to)> own_;
    std::function<void(const Hint&)> heard_;
    std::size_t open_ = 0;
};

}  // namespace wellstair::peers
