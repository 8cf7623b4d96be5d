// HTTP for users, workers and health checks. Knows the requests' outer form; what they mean is asked of the handler.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "net/http.hpp"
#include "wire/codec.hpp"

namespace wellstair::front {

namespace asio = boost::asio;

struct Response {
    int status = 200;
    wire::Json body;
    double retryAfterS = 0;
    std::string allow;  // with 405
};

struct Handlers {
    std::function<asio::awaitable<Response>(std::string body)> submit, checkin;
    std::function<asio::awaitable<Response>(std::string id)> poll, withdraw;
    std::function<bool()> healthy;
};

class Server {
  public:
    Server(asio::io_context& io, const app::Endpoint& endpoint, std::size_t mostConnections, Handlers handlers);
    void start();

  private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<Response> route(std::string method, std::string target, std::string body);

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    std::size_t most_, open_ = 0;
    Handlers handlers_;
};

}  // namespace wellstair::front
