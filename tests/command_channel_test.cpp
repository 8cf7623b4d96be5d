// Direct commands over loopback: what each kind of reply tells about whether the commands may still be executed. Guards
// against a start that was executed, but whose reply could not be read, counting as one that was not.
#include "workers/command_channel.hpp"

#include <gtest/gtest.h>

#include "loopback_server.hpp"

namespace wellstair::test {
namespace {

using wire::Json;
using workers::CommandResult;

class CommandChannel : public testing::Test {
  protected:
    // Sends a start to the server, or to another address.
    CommandResult send(const std::string& address = "") {
        const std::string server = "127.0.0.1:" + std::to_string(worker_.endpoint().port);
        auto result = run_to_end(io_, channels_.send("n-1", address.empty() ? server : address, 7, 1,
                                                     {{wire::CommandType::start, "j-1", 0, 1, 0}}, 0.3));
        EXPECT_TRUE(result);
        return result.value_or(CommandResult{});
    }

    static Json status(const char* host) {
        return {{"host", host}, {"tenure", 1}, {"tick", 5}, {"baton", 7}, {"steps", Json::array()}};
    }

    boost::asio::io_context io_;
    std::optional<StandInReply> reply_;
    LoopbackServer worker_{io_, [this](const ReceivedRequest&) { return reply_; }};
    workers::CommandChannels channels_{io_, 2};
};

TEST_F(CommandChannel, ReadableStatusTellsTheOutcome) {
    for (int code : {200, 409}) {
        reply_ = StandInReply{code, status("n-1")};
        const CommandResult result = send();
        EXPECT_TRUE(result.answered) << code;
        ASSERT_TRUE(result.heartbeat) << code;
        EXPECT_EQ(result.heartbeat->sequence, 5u) << code;
    }
}

TEST_F(CommandChannel, RefusedCommandsAreNotExecutedLater) {
    for (int code : {400, 409}) {
        reply_ = StandInReply{code, "no status"};
        const CommandResult result = send();
        EXPECT_TRUE(result.answered) << code;
        EXPECT_FALSE(result.heartbeat) << code;
    }
}

TEST_F(CommandChannel, ReplyWithoutAUsableStatusLeavesTheOutcomeUnknown) {
    const Json unusable[] = {"no status", Json::object(), status("n-2")};
    for (const Json& body : unusable) {
        reply_ = StandInReply{200, body};
        const CommandResult result = send();
        EXPECT_FALSE(result.answered) << body;
        EXPECT_FALSE(result.heartbeat) << body;
    }
    reply_ = StandInReply{500, status("n-1")};
    EXPECT_FALSE(send().answered);
}

TEST_F(CommandChannel, NoReplyLeavesTheOutcomeUnknown) {
    reply_.reset();
    EXPECT_FALSE(send().answered);
    EXPECT_TRUE(channels_.make_ready("n-1"));
}

TEST_F(CommandChannel, CommandsThatWereNeverSentAreNotExecutedLater) {
    const std::string bad[] = {"10.1.0.1",
                               "10.1.0.1:",
                               "10.1.0.1:0",
                               "n-1:9000",
                               "10.1.0.1:70000",
                               "127.0.0.1:9000x",
                               std::string("127.0.0.1\0x:9000", 16),
                               ":9000",
                               "\xff:9000",
                               "10.1.0.1:9000:1x",
                               std::string(60000, '1') + ":9"};
    for (const std::string& address : bad) {
        EXPECT_TRUE(send(address).answered) << address.substr(0, 30);
        EXPECT_TRUE(channels_.make_ready("n-1")) << address.substr(0, 30);
    }
    EXPECT_EQ(worker_.requests().size(), 0u);
}

}  // namespace
}  // namespace wellstair::test
