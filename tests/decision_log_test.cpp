// The log lines and counts of decisions: one line for each release and each stop, although both are proposed or sent
// again until they take effect, and the counts by which a lease that is counted too short shows itself.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

#include "trace_runner.hpp"

namespace wellstair::test {
namespace {

// Keeps the lines that are logged while it exists.
class LogCapture {
  public:
    LogCapture() : before_(spdlog::default_logger()) {
        auto logger =
            std::make_shared<spdlog::logger>("captured", std::make_shared<spdlog::sinks::ostream_sink_mt>(lines_));
        logger->set_level(spdlog::level::info);
        spdlog::set_default_logger(std::move(logger));
    }
    ~LogCapture() { spdlog::set_default_logger(before_); }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;

    // The number of lines that contain the text.
    int count(const std::string& text) const {
        std::istringstream lines(lines_.str());
        int matches = 0;
        for (std::string line; std::getline(lines, line);) matches += line.find(text) != std::string::npos;
        return matches;
    }

  private:
    std::shared_ptr<spdlog::logger> before_;
    std::ostringstream lines_;
};

class DecisionLog : public testing::Test {
  protected:
    // A leader with one host that has confirmed its fencing token.
    void SetUp() override {
        for (const char* line : {"controllers a", "join a", "heartbeat a n-1 1 1 0", "round a"}) runner.run(line);
        runner.run("heartbeat a n-1 1 2 100001");
    }
    void run(std::initializer_list<const char*> lines) {
        for (const char* line : lines) runner.run(line);
    }

    LogCapture log;
    TraceRunner runner;
};

TEST_F(DecisionLog, AReleaseThatIsProposedAgainIsLoggedAndCountedOnce) {
    run({"submit a j-1", "round a", "command a n-1", "answered a n-1 1 3 100001 j-1/0#1=done"});
    run({"build a", "build a", "round a"});
    EXPECT_EQ(log.count("releasing task j-1/0 attempt 1"), 1);
    EXPECT_EQ(
        runner.run("decisions a"),
        "decisions: 1 starts sent, 0 of them in an agent epoch without an answered heartbeat; 1 releases: reported "
        "as done");
}

TEST_F(DecisionLog, ALaterAttemptOfTheSameTaskIsLoggedAgain) {
    run({"submit a j-1", "round a", "command a n-1", "answered a n-1 1 3 100001 j-1/0#1=stopped", "round a",
         "round a"});
    run({"heartbeat a n-1 1 4 100001 j-1/0#1=stopped", "heartbeat a n-1 1 5 100002", "round a"});
    run({"command a n-1", "answered a n-1 1 6 100002 j-1/0#2=done", "round a"});
    EXPECT_EQ(log.count("releasing task j-1/0 attempt 1"), 1);
    EXPECT_EQ(log.count("releasing task j-1/0 attempt 2"), 1);
}

TEST_F(DecisionLog, AStopThatIsRepeatedIsLoggedOnce) {
    run({"heartbeat a n-1 1 3 100001 j-9/0#1=running", "heartbeat a n-1 1 4 100001 j-9/0#1=running"});
    run({"due a", "answered a n-1 1 5 100001 j-9/0#1=running", "wait 4", "due a"});
    run({"heartbeat a n-1 1 6 100001 j-9/0#1=running"});
    EXPECT_EQ(log.count("stop of task j-9/0 attempt 1"), 1);
    // The host lists another attempt, which has to stop as well.
    run({"heartbeat a n-1 1 7 100001 j-9/0#2=running", "heartbeat a n-1 1 8 100001 j-9/0#2=running"});
    EXPECT_EQ(log.count("stop of task j-9/0 attempt 2"), 1);
}

TEST_F(DecisionLog, AnAgentEpochFirstSeenInACommandReplyIsLoggedAndItsStartsAreCounted) {
    run({"submit a j-1", "round a", "command a n-1", "answered a n-1 2 3 100001", "round a", "round a"});
    run({"command a n-1", "answered a n-1 2 4 100001 j-1/0#2=running"});
    EXPECT_EQ(log.count("host n-1 has begun agent epoch 2 after 1, first seen in the reply to a command"), 1);
    EXPECT_EQ(log.count("agent epoch 2 (no heartbeat of it answered)"), 1);
    EXPECT_EQ(
        runner.run("decisions a"),
        "decisions: 2 starts sent, 1 of them in an agent epoch without an answered heartbeat; 1 releases: its start "
        "was sent in an earlier agent epoch");
}

}  // namespace
}  // namespace wellstair::test
