// An HTTP server on the loopback interface for tests of HTTP clients. Records the requests that it receives; a handler
// returns the replies. Listens on an ephemeral port, and runs on the io_context and the thread of the test.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "wire/codec.hpp"

namespace wellstair::test {

namespace asio = boost::asio;

// A received request. `body` is the decoded MessagePack, null if the body was empty.
struct ReceivedRequest {
    std::string method, target;
    wire::Json body;

    // Method, target and body as one line such as "POST /commit {...}", to be compared in tests.
    std::string text() const { return method + " " + target + (body.is_null() ? "" : " " + body.dump()); }
};

// The reply that the handler returns.
struct StandInReply {
    int status = 200;
    wire::Json body = wire::Json::object();
};

// Records requests and replies through its handler. If the handler returns nothing, the connection stays open without a
// reply.
class LoopbackServer {
  public:
    using Handler = std::function<std::optional<StandInReply>(const ReceivedRequest&)>;

    LoopbackServer(asio::io_context& io, Handler handler)
        : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}), handler_(std::move(handler)) {
        asio::co_spawn(io_, accept(), asio::detached);
    }

    config::Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    const std::vector<ReceivedRequest>& requests() const { return requests_; }
    // The number of requests with this method and a target that begins with the prefix.
    std::size_t count(const std::string& method, const std::string& targetPrefix) const {
        std::size_t matches = 0;
        for (const auto& request : requests_)
            matches += request.method == method && request.target.starts_with(targetPrefix) ? 1 : 0;
        return matches;
    }

  private:
    static constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

    asio::awaitable<void> accept() {
        for (;;) {
            auto [error, socket] = co_await acceptor_.async_accept(kAwait);
            if (error) co_return;
            asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
        namespace http = boost::beast::http;
        boost::beast::tcp_stream stream(std::move(socket));
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            auto [readError, bytesRead] = co_await http::async_read(stream, buffer, request, kAwait);
            if (readError) co_return;
            std::optional<StandInReply> reply = handle(request);
            if (!reply) {
                asio::steady_timer never(io_, std::chrono::hours(1));
                co_await never.async_wait(kAwait);
                co_return;
            }
            http::response<http::string_body> response(static_cast<http::status>(reply->status), 11);
            response.body() = wire::encode(reply->body);
            response.prepare_payload();
            auto [writeError, bytesWritten] = co_await http::async_write(stream, response, kAwait);
            if (writeError) co_return;
        }
    }

    std::optional<StandInReply> handle(const boost::beast::http::request<boost::beast::http::string_body>& request) {
        ReceivedRequest received;
        received.method = std::string(request.method_string());
        received.target = std::string(request.target());
        if (!request.body().empty()) received.body = wire::decode(request.body()).value_or("not MessagePack");
        requests_.push_back(received);
        return handler_(received);
    }

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
    std::vector<ReceivedRequest> requests_;
};

// Runs the io_context until the condition holds. Returns false if that takes longer than `limit`.
inline bool run_until(asio::io_context& io, const std::function<bool()>& condition,
                      std::chrono::milliseconds limit = std::chrono::milliseconds(5000)) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) return false;
        io.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
}

// Runs a coroutine to completion and returns its result. Returns nothing if it throws, or takes longer than the default
// limit of `run_until`.
template <typename T>
std::optional<T> run_to_end(asio::io_context& io, asio::awaitable<T> work) {
    auto result = std::make_shared<std::optional<T>>();
    asio::co_spawn(io, std::move(work), [result](const std::exception_ptr& error, T value) {
        if (!error) *result = std::move(value);
    });
    run_until(io, [&] { return result->has_value(); });
    return *result;
}

}  // namespace wellstair::test
