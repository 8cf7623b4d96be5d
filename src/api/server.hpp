// HTTP for users, workers and health checks. Knows the requests' outer form; what they mean is asked of the handler.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <map>

#include "api/connection_quota.hpp"
#include "net/http.hpp"
#include "wire/codec.hpp"

namespace wellstair::api {

namespace asio = boost::asio;

struct Response {
    int status = 200;
    wire::Json body;
    double retryAfterS = 0;
    std::string allow;  // with 405
};

struct Handlers {
    std::function<asio::awaitable<Response>(std::string body)> submit, heartbeat;
    std::function<asio::awaitable<Response>(std::string id)> poll, cancel;
    std::function<bool()> healthy;
};

class Server {
  public:
    // `workerIdleS`: a worker's connection that has been quiet for so long is dead.
    Server(asio::io_context& io, const config::Endpoint& endpoint, std::size_t mostConnections, double workerIdleS,
           Handlers handlers);
    void start();

  private:
    struct Connection;
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<Response> route(std::string method, std::string target, std::string body);
    void begin_wait(Connection& c);
    void end_wait(Connection& c);
    void release(Connection& c);

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    double workerIdleS_;
    Handlers handlers_;
    ConnectionQuota quota_;
    std::map<Caller, std::list<Connection*>> waiting_;  // for a request, longest first
};

}  // namespace wellstair::api
