#include "net/http.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <random>

namespace wellstair::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

namespace {

auto duration(double seconds) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

double steady_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double wall_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

double jitter(double seconds) {
    static std::minstd_rand random(std::random_device{}());
    return seconds * std::uniform_real_distribution<double>(0.75, 1.25)(random);
}

void Signal::notify() {
    for (auto& timer : waiters_) timer.cancel();
}

asio::awaitable<void> Signal::wait(double seconds) {
    auto mine = waiters_.emplace(waiters_.end(), io_, duration(seconds));
    co_await mine->async_wait(kAwait);
    waiters_.erase(mine);
}

asio::awaitable<void> sleep_for(asio::io_context& io, double seconds) {
    asio::steady_timer timer(io, duration(seconds));
    co_await timer.async_wait(kAwait);
}

asio::awaitable<Reply> HttpClient::request(verb method, std::string target, std::string body, double timeoutS) {
    Reply reply;
    auto deadline = std::chrono::steady_clock::now() + duration(timeoutS);
    std::unique_ptr<Stream> stream;
    if (!idle_.empty()) {
        stream = std::move(idle_.back());
        idle_.pop_back();
    } else {
        stream = std::make_unique<Stream>(io_);
        stream->expires_at(deadline);
        tcp::endpoint to(asio::ip::make_address_v4(endpoint_.host), endpoint_.port);
        auto [ec] = co_await stream->async_connect(to, kAwait);
        if (ec) {
            reply.outcome = Reply::not_sent;
            co_return reply;
        }
        beast::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    stream->expires_at(deadline);
    http::request<http::string_body> req(method, target, 11);
    req.set(http::field::host, endpoint_.host);
    if (!body.empty() || method == verb::post) {
        req.set(http::field::content_type, "application/msgpack");
        req.body() = std::move(body);
        req.prepare_payload();
    }
    auto [we, wn] = co_await http::async_write(*stream, req, kAwait);
    if (we) co_return reply;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    auto [re, rn] = co_await http::async_read(*stream, buffer, parser, kAwait);
    if (re) co_return reply;
    reply.outcome = Reply::answered;
    reply.status = parser.get().result_int();
    bool keep = parser.get().keep_alive();
    reply.body = std::move(parser.get().body());
    stream->expires_never();
    if (keep && idle_.size() < 4) idle_.push_back(std::move(stream));
    co_return reply;
}

}  // namespace wellstair::net
