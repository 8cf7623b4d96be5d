#include "front/server.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>

namespace wellstair::front {

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
constexpr auto kTransfer = std::chrono::seconds(10);
constexpr std::string_view kRuns = "/v2/runs";
}  // namespace

Server::Server(asio::io_context& io, const app::Endpoint& endpoint, std::size_t most, Handlers handlers)
    : io_(io), acceptor_(io), most_(most), handlers_(std::move(handlers)) {
    tcp::endpoint at(asio::ip::make_address_v4(endpoint.host), endpoint.port);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(512);
}

void Server::start() {
    asio::co_spawn(io_, accept(), asio::detached);
}

asio::awaitable<void> Server::accept() {
    for (;;) {
        auto [ec, socket] = co_await acceptor_.async_accept(kAwait);
        if (ec) {
            co_await net::sleep_for(io_, 0.05);
            continue;
        }
        // Beyond the limit a connection is closed at once: its caller goes elsewhere, and the sockets we need to reach
        // the state service and the workers stay free.
        if (open_ >= most_) continue;
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> Server::serve(tcp::socket socket) {
    struct Count {
        std::size_t& n;
        explicit Count(std::size_t& c) : n(c) { ++n; }
        ~Count() { --n; }
    } count(open_);
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(2 * wire::kBodyLimit);
    const auto& kHttpErrors = http::make_error_code(http::error::end_of_stream).category();
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(wire::kBodyLimit);
        stream.expires_after(kIdle);
        auto [re, rn] = co_await http::async_read(stream, buffer, parser, kAwait);
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
    if (path == "/checkin") {
        if (method != "POST") co_return wrong("POST");
        co_return co_await handlers_.checkin(std::move(body));
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
            co_return co_await handlers_.withdraw(std::move(id));
        }
    }
    co_return refusal(404, "no such path");
}

}  // namespace wellstair::front
