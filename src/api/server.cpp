#include "api/server.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
#include <optional>
#include <utility>

namespace wellstair::api {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

namespace {

// Built outside the coroutines: GCC 12 cannot compile such initialisers inside them.
Response refusal(int status, const char* why, const char* allow = "") {
    return {status, {{"error", why}}, 0, allow};
}

Response health(bool ok) {
    return {ok ? 200 : 503, {{"status", ok ? "ok" : "not ready"}}, 0, ""};
}

constexpr auto kIdle = std::chrono::seconds(120);
constexpr int kBacklog = 4096;  // all machines may come at once, after all controllers were down
constexpr auto kTransfer = std::chrono::seconds(10);
constexpr std::string_view kRuns = "/v2/runs", kHeartbeatPath = "/checkin";
}  // namespace

struct Server::Connection {
    explicit Connection(tcp::socket socket) : stream(std::move(socket)) {}
    beast::tcp_stream stream;
    Caller caller = Caller::user;
    bool counted = true;
    std::optional<std::list<Connection*>::iterator> place;  // in waiting_
};

Server::Server(asio::io_context& io, const config::Endpoint& endpoint, std::size_t most, double workerIdleS,
               Handlers handlers)
    : io_(io), acceptor_(io), workerIdleS_(workerIdleS), handlers_(std::move(handlers)), quota_(most) {
    tcp::endpoint at(asio::ip::make_address_v4(endpoint.host), endpoint.port);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(kBacklog);
}

void Server::start() {
    asio::co_spawn(io_, accept(), asio::detached);
}

void Server::begin_wait(Connection& c) {
    auto& list = waiting_[c.caller];
    c.place = list.insert(list.end(), &c);
}

void Server::end_wait(Connection& c) {
    if (c.place) waiting_[c.caller].erase(*c.place);
    c.place.reset();
}

void Server::release(Connection& c) {
    end_wait(c);
    if (std::exchange(c.counted, false)) quota_.release_one(c.caller);
}

asio::awaitable<void> Server::accept() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(kAwait);
        if (ec) {
            co_await net::sleep_for(io_, 0.05);
            continue;
        }
        // Beyond the limit the connection that has been idle for longest is closed, of workers or of users, whoever has
        // more than its part: with one controller left for all machines, they must not shut the users out, nor users
        // them, and the sockets that we need for the state service and for commands stay free.
        if (quota_.full()) {
            auto& idle = waiting_[quota_.over_quota()];
            if (idle.empty()) continue;  // all are busy: the new one is closed, and its caller goes elsewhere
            Connection& oldest = *idle.front();
            release(oldest);
            oldest.stream.close();
        }
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> Server::serve(tcp::socket socket) {
    Connection c(std::move(socket));
    beast::tcp_stream& stream = c.stream;
    quota_.acquire(c.caller);
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    beast::flat_buffer buffer(2 * wire::kBodyLimit);
    const auto& kHttpErrors = http::make_error_code(http::error::end_of_stream).category();
    while (c.counted) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::kBodyLimit);
        if (c.caller == Caller::worker)
            stream.expires_after(
                std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(workerIdleS_)));
        else
            stream.expires_after(kIdle);
        begin_wait(c);
        auto [re, rn] = co_await http::async_read(stream, buffer, parser, kAwait);
        end_wait(c);
        if (!c.counted) break;  // closed to make room
        Response response;
        bool keep = false;
        unsigned version = 11;
        if (re == http::error::body_limit) {
            response = refusal(413, "the limit for bodies is 64 KiB");
        } else if (re && re.category() == kHttpErrors && re != http::error::end_of_stream &&
                   re != http::error::partial_message) {
            response = refusal(400, "not a valid HTTP request");
        } else if (re) {
            break;
        } else {
            auto& req = parser.get();
            keep = req.keep_alive();
            version = req.version();
            Caller caller = req.target() == kHeartbeatPath ? Caller::worker : Caller::user;
            quota_.release_one(std::exchange(c.caller, caller));
            quota_.acquire(caller);
            response =
                co_await route(std::string(req.method_string()), std::string(req.target()), std::move(req.body()));
        }
        http::response<http::string_body> out(static_cast<http::status>(response.status), version);
        out.set(http::field::content_type, "application/msgpack");
        if (response.retryAfterS > 0)
            out.set(http::field::retry_after, std::to_string(static_cast<int>(std::ceil(response.retryAfterS))));
        if (!response.allow.empty()) out.set(http::field::allow, response.allow);
        out.keep_alive(keep);
        if (!response.body.is_null()) out.body() = wire::encode(response.body);
        out.prepare_payload();
        stream.expires_after(kTransfer);
        auto [we, wn] = co_await http::async_write(stream, out, kAwait);
        if (we || !keep) break;
    }
    release(c);
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<Response> Server::route(std::string method, std::string target, std::string body) {
    std::string_view path(target);
    path = path.substr(0, path.find('?'));
    auto wrong = [](const char* allow) { return refusal(405, "wrong method", allow); };
    if (path == "/healthz") {
        if (method != "GET") co_return wrong("GET");
        co_return health(handlers_.healthy());
    }
    if (path == kHeartbeatPath) {
        if (method != "POST") co_return wrong("POST");
        co_return co_await handlers_.heartbeat(std::move(body));
    }
    if (path == kRuns) {
        if (method != "POST") co_return wrong("POST");
        co_return co_await handlers_.submit(std::move(body));
    }
    if (path.starts_with(kRuns) && path.size() > kRuns.size() + 1 && path[kRuns.size()] == '/') {
        std::string_view rest = path.substr(kRuns.size() + 1);
        auto slash = rest.find('/');
        std::string id(rest.substr(0, slash));
        if (slash == std::string_view::npos) {
            if (method != "GET") co_return wrong("GET");
            co_return co_await handlers_.poll(std::move(id));
        }
        if (rest.substr(slash + 1) == "withdraw") {
            if (method != "POST") co_return wrong("POST");
            co_return co_await handlers_.cancel(std::move(id));
        }
    }
    co_return refusal(404, "no such path");
}

}  // namespace wellstair::api
