#include "net/http.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "net/time.hpp"

namespace wellstair::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

// Completion token with which errors are returned, not thrown.
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxIdleConnections = 4;  // per endpoint
constexpr unsigned kHttpVersion = 11;           // HTTP/1.1, as Beast encodes it

http::request<http::string_body> make_request(verb method, const std::string& target, const std::string& host,
                                              std::string body) {
    http::request<http::string_body> request(method, target, kHttpVersion);
    request.set(http::field::host, host);
    if (!body.empty() || method == verb::post) {
        request.set(http::field::content_type, "application/msgpack");
        request.body() = std::move(body);
        request.prepare_payload();
    }
    return request;
}

}  // namespace

const char* to_string(Reply::Outcome outcome) {
    switch (outcome) {
        case Reply::Outcome::answered:
            return "answered";
        case Reply::Outcome::not_sent:
            return "not sent";
        case Reply::Outcome::lost:
            return "lost";
    }
    return "";
}

HttpClient::StreamPtr HttpClient::take_idle() {
    if (idle_.empty()) return nullptr;
    StreamPtr stream = std::move(idle_.back());
    idle_.pop_back();
    return stream;
}

void HttpClient::put_idle(StreamPtr stream) {
    stream->expires_never();
    if (idle_.size() < kMaxIdleConnections) idle_.push_back(std::move(stream));
}

// Opens a connection. Returns null if that fails or the deadline passes.
asio::awaitable<HttpClient::StreamPtr> HttpClient::connect(std::chrono::steady_clock::time_point deadline) {
    auto stream = std::make_unique<Stream>(io_);
    stream->expires_at(deadline);
    tcp::endpoint remote(asio::ip::make_address_v4(endpoint_.host), endpoint_.port);
    auto [error] = co_await stream->async_connect(remote, kAwait);
    if (error) co_return nullptr;
    beast::error_code ignored;
    stream->socket().set_option(tcp::no_delay(true), ignored);
    co_return stream;
}

asio::awaitable<Reply> HttpClient::request(verb method, std::string target, std::string body, double timeoutS) {
    Reply reply;
    const auto deadline = std::chrono::steady_clock::now() + to_duration(timeoutS);
    StreamPtr stream = take_idle();
    if (!stream) stream = co_await connect(deadline);
    if (!stream) {
        reply.outcome = Reply::Outcome::not_sent;
        co_return reply;
    }
    stream->expires_at(deadline);
    const auto request = make_request(method, target, endpoint_.host, std::move(body));
    auto [writeError, bytesWritten] = co_await http::async_write(*stream, request, kAwait);
    if (writeError) co_return reply;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    auto [readError, bytesRead] = co_await http::async_read(*stream, buffer, parser, kAwait);
    if (readError) co_return reply;
    reply.outcome = Reply::Outcome::answered;
    reply.status = static_cast<int>(parser.get().result_int());
    const bool keepAlive = parser.get().keep_alive();
    reply.body = std::move(parser.get().body());
    if (keepAlive) put_idle(std::move(stream));
    co_return reply;
}

}  // namespace wellstair::net
