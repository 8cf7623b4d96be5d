// The HTTP server for users, workers and health checks (PROTOCOL, users and workers). Knows the requests' outer form;
// what they mean is asked of the handlers.
// Owns the listening socket, the connections and their quota. One io_context thread; each connection is a coroutine.
// Errors: the constructor throws when the address cannot be bound; a malformed request is answered with 4xx, a broken
// connection is closed.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "api/connection_quota.hpp"
#include "config/settings.hpp"
#include "wire/codec.hpp"

namespace wellstair::api {

namespace asio = boost::asio;

// The answer to a request.
struct Response {
    int status = 200;
    wire::Json body;
    double retryAfterS = 0;  // of the header Retry-After; 0: none
    std::string allow;       // of the header Allow, with 405
};

// What answers the requests. Each owns its argument: it may suspend.
struct Handlers {
    using Handler = std::function<asio::awaitable<Response>(std::string argument)>;

    Handler submit, heartbeat;  // with the request's body
    Handler poll, cancel;       // with the job's id
    std::function<bool()> healthy;
};

class Server {
  public:
    // Binds the endpoint and listens. A worker's connection that has been quiet for `workerIdleS` seconds is dead.
    Server(asio::io_context& io, const config::Endpoint& endpoint, std::size_t maxConnections, double workerIdleS,
           Handlers handlers);

    // Starts to accept connections.
    void start();

    // The port that it listens on.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    struct Connection;
    asio::awaitable<void> accept();
    bool make_room();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<bool> serve_request(Connection& connection);
    asio::awaitable<Response> route(std::string method, std::string target, std::string body);
    asio::awaitable<Response> route_job(std::string method, std::string path);
    std::chrono::milliseconds idle_limit(const Connection& connection) const;
    void set_caller(Connection& connection, std::string_view target);
    void begin_wait(Connection& connection);
    void end_wait(Connection& connection);
    void release(Connection& connection);

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    double workerIdleS_;
    Handlers handlers_;
    ConnectionQuota quota_;
    std::map<Caller, std::list<Connection*>> waiting_;  // for a request, longest first
};

}  // namespace wellstair::api
