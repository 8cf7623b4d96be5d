// The HTTP server for users, workers and health checks (PROTOCOL, users and workers). Parses and routes requests; the
// handlers interpret their bodies.
// Owns the listening socket, the connections and their quota. Runs on one io_context thread; each connection is a
// coroutine.
// Errors: the constructor throws if the address cannot be bound. A malformed request is answered with 4xx, one whose
// handler throws with 500; a broken connection is closed.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "api/connection_registry.hpp"
#include "config/settings.hpp"
#include "wire/codec.hpp"

namespace wellstair::api {

namespace asio = boost::asio;

// The response to a request.
struct Response {
    int status = 200;
    wire::Json body;
    double retryAfterS = 0;  // value of the header Retry-After, in seconds; 0: no header
    std::string allow;       // value of the header Allow, which a 405 must have; empty: no header
};

// The functions that answer requests. Each takes its argument by value because it may suspend.
struct Handlers {
    using Handler = std::function<asio::awaitable<Response>(std::string argument)>;

    Handler submit, heartbeat;      // argument: the request's body
    Handler poll, cancel;           // argument: the job's id
    std::function<bool()> healthy;  // whether health checks are to succeed
};

// Seconds after which a connection is closed on which no complete request has arrived, however slowly its bytes come.
struct IdleLimits {
    double userS = 120;  // also before the first request, which shows what the client is
    double workerS = 120;
};

class Server {
  public:
    // Binds the endpoint and listens.
    Server(asio::io_context& io, const config::Endpoint& endpoint, std::size_t maxConnections, IdleLimits idleLimits,
           Handlers handlers);

    // Starts accepting connections.
    void start();

    // Returns the port that the server listens on.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  private:
    struct Connection;
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<bool> serve_request(Connection& connection);
    asio::awaitable<Response> handle(std::string method, std::string target, std::string body);
    asio::awaitable<Response> route(std::string method, std::string target, std::string body);
    asio::awaitable<Response> route_job(std::string method, std::string path);
    std::chrono::milliseconds idle_limit(const Connection& connection) const;

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    IdleLimits idleLimits_;
    Handlers handlers_;
    std::shared_ptr<ConnectionRegistry> connections_;  // shared with the connections, which may end later
};

}  // namespace wellstair::api
