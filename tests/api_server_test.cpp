// The HTTP server over the loopback interface: routing by path and method, response headers, the body limit, and the
// connections of requests whose handler throws.
#include <gtest/gtest.h>

#include "api/server.hpp"
#include "loopback_server.hpp"

namespace wellstair::test {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Request = http::request<http::string_body>;
using Reply = http::response<http::string_body>;

api::Response echo(const std::string& what, const std::string& argument) {
    return {200, {{what, argument}}, 0, ""};
}

class ApiServer : public testing::Test {
  protected:
    asio::awaitable<api::Response> answer(api::Response response) {
        if (handlersThrow) throw std::runtime_error("thrown by the test");
        co_return response;
    }

    api::Handlers handlers() {
        api::Handlers handlers;
        handlers.submit = [this](const std::string& body) {
            return answer(submitted ? *submitted : echo("submit", body));
        };
        handlers.heartbeat = [this](const std::string& body) { return answer(echo("heartbeat", body)); };
        handlers.poll = [this](const std::string& id) { return answer(echo("poll", id)); };
        handlers.cancel = [this](const std::string& id) { return answer(echo("cancel", id)); };
        handlers.healthy = [this] {
            if (handlersThrow) throw std::runtime_error("thrown by the test");
            return healthy;
        };
        return handlers;
    }

    void SetUp() override { server.start(); }

    // Sends one request over a new connection and returns the reply.
    Reply send(http::verb method, const std::string& target, const std::string& body = "") {
        Request request(method, target, 11);
        request.body() = body;
        request.prepare_payload();
        auto reply = run_to_end(io, exchange(request));
        EXPECT_TRUE(reply);
        return reply.value_or(Reply());
    }

    asio::awaitable<Reply> exchange(Request request) {
        beast::tcp_stream stream(io);
        asio::ip::tcp::endpoint remote(asio::ip::address_v4::loopback(), server.port());
        co_await stream.async_connect(remote, asio::use_awaitable);
        co_await http::async_write(stream, request, asio::use_awaitable);
        beast::flat_buffer buffer;
        Reply reply;
        co_await http::async_read(stream, buffer, reply, asio::use_awaitable);
        co_return reply;
    }

    static wire::Json body(const Reply& reply) { return wire::decode(reply.body()).value_or("not MessagePack"); }

    asio::io_context io{1};
    static constexpr std::size_t kMaxConnections = 10;
    bool healthy = true;
    bool handlersThrow = false;
    std::optional<api::Response> submitted;
    api::Server server{io, {"127.0.0.1", 0}, kMaxConnections, {.workerS = 20}, handlers()};
};

TEST_F(ApiServer, RoutesByPathAndMethod) {
    using http::verb;
    EXPECT_EQ(body(send(verb::post, "/v2/runs", "B"))["submit"], "B");
    EXPECT_EQ(body(send(verb::post, "/checkin", "B"))["heartbeat"], "B");
    EXPECT_EQ(body(send(verb::get, "/v2/runs/j-1"))["poll"], "j-1");
    EXPECT_EQ(body(send(verb::get, "/v2/runs/j-1?x=y"))["poll"], "j-1");
    EXPECT_EQ(body(send(verb::post, "/v2/runs/j-1/withdraw"))["cancel"], "j-1");
    for (const char* target : {"/", "/v2/runs/", "/v2/runsx", "/v2/runs/j-1/other", "/v2/runs/j-1/withdraw/x"})
        EXPECT_EQ(send(verb::get, target).result_int(), 404u) << target;
}

TEST_F(ApiServer, ReportsAllowedMethodWith405) {
    using http::verb;
    const std::pair<const char*, const char*> postOnly[] = {
        {"/v2/runs", "POST"}, {"/checkin", "POST"}, {"/v2/runs/j-1/withdraw", "POST"}};
    for (const auto& [target, allowed] : postOnly) {
        const Reply reply = send(verb::get, target);
        EXPECT_EQ(reply.result_int(), 405u) << target;
        EXPECT_EQ(reply[http::field::allow], allowed) << target;
    }
    for (const char* target : {"/v2/runs/j-1", "/healthz"}) {
        const Reply reply = send(verb::post, target);
        EXPECT_EQ(reply.result_int(), 405u) << target;
        EXPECT_EQ(reply[http::field::allow], "GET") << target;
    }
}

TEST_F(ApiServer, SetsRetryAfterRoundedUpToSeconds) {
    submitted = api::Response{503, {{"error", "not now"}}, 0.2, ""};
    const Reply reply = send(http::verb::post, "/v2/runs", "B");
    EXPECT_EQ(reply.result_int(), 503u);
    EXPECT_EQ(reply[http::field::retry_after], "1");
    EXPECT_EQ(reply[http::field::content_type], "application/msgpack");
}

TEST_F(ApiServer, AnswersHealthChecks) {
    EXPECT_EQ(send(http::verb::get, "/healthz").result_int(), 200u);
    healthy = false;
    EXPECT_EQ(send(http::verb::get, "/healthz").result_int(), 503u);
}

// Guards against connections that stay counted after an exception, until the server closes every new one.
TEST_F(ApiServer, ExceptionOfAHandlerIsAnsweredAndGivesTheConnectionBack) {
    using http::verb;
    const std::pair<verb, const char*> requests[] = {{verb::post, "/v2/runs"},
                                                     {verb::post, "/checkin"},
                                                     {verb::get, "/v2/runs/j-1"},
                                                     {verb::post, "/v2/runs/j-1/withdraw"},
                                                     {verb::get, "/healthz"}};
    handlersThrow = true;
    for (const auto& [method, target] : requests)
        for (std::size_t i = 0; i < kMaxConnections; ++i)
            EXPECT_EQ(send(method, target, method == verb::post ? "B" : "").result_int(), 500u) << target;
    handlersThrow = false;
    for (std::size_t i = 0; i < kMaxConnections; ++i) EXPECT_EQ(send(verb::get, "/healthz").result_int(), 200u);
}

TEST_F(ApiServer, RejectsBodyAboveLimit) {
    EXPECT_EQ(send(http::verb::post, "/v2/runs", std::string(wire::kMaxBodyBytes + 1, 'x')).result_int(), 413u);
}

}  // namespace
}  // namespace wellstair::test
