#include "api/server.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <utility>

#include "net/spawn.hpp"
#include "net/time.hpp"

namespace wellstair::api {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// Completion token with which errors are returned, not thrown.
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kWriteTimeout = std::chrono::seconds(10);
constexpr double kAcceptRetryS = 0.05;
constexpr int kListenBacklog = 4096;   // all machines may connect at once after an outage of all controllers
constexpr unsigned kHttpVersion = 11;  // HTTP/1.1, as Beast encodes it
constexpr std::string_view kHealthPath = "/healthz", kJobsPath = "/v2/runs", kHeartbeatPath = "/checkin",
                           kCancelPath = "withdraw";
constexpr const char* kNoSuchPath =
    "no such path; expected /v2/runs, /v2/runs/ID, /v2/runs/ID/withdraw, /checkin or /healthz";

// Responses are built outside the coroutines because GCC 12 cannot compile such initializers inside them.
Response error_response(int status, const char* message) {
    return {status, {{"error", message}}, 0, ""};
}

Response method_not_allowed(const char* allow) {
    return {405, {{"error", std::string("method not allowed; use ") + allow}}, 0, allow};
}

Response health(bool ok) {
    return {ok ? 200 : 503, {{"status", ok ? "ok" : "not ready"}}, 0, ""};
}

// Returns the response to a request that could not be read; nullopt if the connection is closed.
std::optional<Response> response_to(const beast::error_code& error) {
    static const auto& kHttpErrors = http::make_error_code(http::error::end_of_stream).category();
    if (error == http::error::body_limit) return error_response(413, "request body exceeds the limit of 64 KiB");
    if (error.category() != kHttpErrors) return std::nullopt;
    if (error == http::error::end_of_stream || error == http::error::partial_message) return std::nullopt;
    return error_response(400, "malformed HTTP request");
}

http::response<http::string_body> to_http(const Response& response, unsigned version, bool keepAlive) {
    http::response<http::string_body> out(static_cast<http::status>(response.status), version);
    out.set(http::field::content_type, "application/msgpack");
    if (response.retryAfterS > 0)
        out.set(http::field::retry_after, std::to_string(static_cast<int>(std::ceil(response.retryAfterS))));
    if (!response.allow.empty()) out.set(http::field::allow, response.allow);
    out.keep_alive(keepAlive);
    if (!response.body.is_null()) out.body() = wire::encode(response.body);
    out.prepare_payload();
    return out;
}

}  // namespace

struct Server::Connection {
    Connection(tcp::socket socket, std::shared_ptr<ConnectionRegistry> registry)
        : stream(std::move(socket)), slot(std::move(registry), [this] { stream.close(); }) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{2 * wire::kMaxBodyBytes};
    ConnectionSlot slot;
};

Server::Server(asio::io_context& io, const config::Endpoint& endpoint, std::size_t maxConnections,
               IdleLimits idleLimits, Handlers handlers)
    : io_(io),
      acceptor_(io),
      idleLimits_(idleLimits),
      handlers_(std::move(handlers)),
      connections_(std::make_shared<ConnectionRegistry>(maxConnections)) {
    tcp::endpoint local(asio::ip::make_address_v4(endpoint.host), endpoint.port);
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen(kListenBacklog);
}

void Server::start() {
    net::spawn(io_, accept());
}

// An exception costs one connection, not the loop.
asio::awaitable<void> Server::accept() {
    for (;;) {
        bool accepted = false;
        try {
            auto [error, socket] = co_await acceptor_.async_accept(kAwait);
            accepted = !error;
            // Without room the new connection is closed, and its client tries another controller.
            if (accepted && connections_->make_room()) net::spawn(io_, serve(std::move(socket)));
        } catch (const std::exception& e) {
            spdlog::error("cannot accept a connection: {}", e.what());
        }
        if (!accepted) co_await net::sleep_for(io_, kAcceptRetryS);
    }
}

asio::awaitable<void> Server::serve(tcp::socket socket) {
    try {
        Connection connection(std::move(socket), connections_);
        beast::error_code ignored;
        connection.stream.socket().set_option(tcp::no_delay(true), ignored);
        bool keepAlive = true;
        while (keepAlive) keepAlive = co_await serve_request(connection);
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    } catch (const std::exception& e) {
        spdlog::error("a connection is closed after an unexpected exception: {}", e.what());
    }
}

// Reads and answers one request. Returns whether the connection can be used for another.
asio::awaitable<bool> Server::serve_request(Connection& connection) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(wire::kMaxBodyBytes);
    connection.stream.expires_after(idle_limit(connection));
    connection.slot.begin_idle();
    auto [readError, bytesRead] = co_await http::async_read(connection.stream, connection.buffer, parser, kAwait);
    connection.slot.end_idle();
    if (connection.slot.evicted()) co_return false;
    std::optional<Response> response;
    bool keepAlive = false;
    unsigned version = kHttpVersion;
    if (readError) {
        response = response_to(readError);
        if (!response) co_return false;
    } else {
        auto& request = parser.get();
        keepAlive = request.keep_alive();
        version = request.version();
        connection.slot.set_caller(request.target() == kHeartbeatPath ? Caller::worker : Caller::user);
        std::string method(request.method_string());
        std::string target(request.target());
        response = co_await handle(std::move(method), std::move(target), std::move(request.body()));
    }
    auto out = to_http(*response, version, keepAlive);
    connection.stream.expires_after(kWriteTimeout);
    auto [writeError, bytesWritten] = co_await http::async_write(connection.stream, out, kAwait);
    co_return !writeError && keepAlive;
}

std::chrono::milliseconds Server::idle_limit(const Connection& connection) const {
    const double limitS = connection.slot.caller() == Caller::user ? idleLimits_.userS : idleLimits_.workerS;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(limitS));
}

// Answers a request, with 500 if its handler throws.
asio::awaitable<Response> Server::handle(std::string method, std::string target, std::string body) {
    try {
        co_return co_await route(std::move(method), std::move(target), std::move(body));
    } catch (const std::exception& e) {
        spdlog::error("a request is answered with 500 after an unexpected exception: {}", e.what());
    }
    co_return error_response(500, "internal error");
}

asio::awaitable<Response> Server::route(std::string method, std::string target, std::string body) {
    const std::string path = target.substr(0, target.find('?'));
    if (path == kHealthPath) {
        if (method != "GET") co_return method_not_allowed("GET");
        co_return health(handlers_.healthy());
    }
    if (path == kHeartbeatPath) {
        if (method != "POST") co_return method_not_allowed("POST");
        co_return co_await handlers_.heartbeat(std::move(body));
    }
    if (path == kJobsPath) {
        if (method != "POST") co_return method_not_allowed("POST");
        co_return co_await handlers_.submit(std::move(body));
    }
    const std::string jobPrefix = std::string(kJobsPath) + "/";
    if (path.starts_with(jobPrefix) && path.size() > jobPrefix.size())
        co_return co_await route_job(std::move(method), path.substr(jobPrefix.size()));
    co_return error_response(404, kNoSuchPath);
}

// Routes a request about one job. `path` is the job's id, or its id, a slash and an action.
asio::awaitable<Response> Server::route_job(std::string method, std::string path) {
    const auto slash = path.find('/');
    std::string id = path.substr(0, slash);
    if (slash == std::string::npos) {
        if (method != "GET") co_return method_not_allowed("GET");
        co_return co_await handlers_.poll(std::move(id));
    }
    if (path.substr(slash + 1) != kCancelPath) co_return error_response(404, kNoSuchPath);
    if (method != "POST") co_return method_not_allowed("POST");
    co_return co_await handlers_.cancel(std::move(id));
}

}  // namespace wellstair::api
