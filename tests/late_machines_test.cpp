// Machines whose rental or return is carried out late, after the controller that asked has ended or was refused, and
// machines that are back at once in a new session. Guards against a machine that nobody uses or returns, and against a
// task that no controller knows of: each machine is used or returned within the bound of docs/design.md, and each task
// on it is placed there or ends.
#include <gtest/gtest.h>

#include <map>
#include <sstream>
#include <string>

#include "site_settings.hpp"
#include "trace_runner.hpp"
#include "trace_worker.hpp"

namespace wellstair::test {
namespace {

constexpr double kStepS = 0.5, kHeartbeatIntervalS = 3;
constexpr double kBootS = 20;      // of the machine types of the test site
constexpr double kReactionS = 10;  // for a report, a round and a call to the cloud

class LateMachines : public testing::Test {
  protected:
    void SetUp() override {
        for (const char* line : {"controllers a b", "join a", "join b", "sync a", "role a", "sync b"}) run(line);
    }

    std::string run(const std::string& line) {
        const std::string result = runner.run(line);
        steps += line + "\n" + (result.empty() ? "" : "> " + result + "\n");
        return result;
    }
    TraceWorker& add_worker(const std::string& host) { return workers.emplace(host, TraceWorker(host)).first->second; }

    // Lets the cloud carry out what the leader asks for, the machines and the leader act for some seconds.
    void play(double seconds) {
        for (const double untilS = nowS + seconds; nowS < untilS; nowS += kStepS) {
            run("wait 0.3");
            if (listed) run("machines " + leader + " " + listed_machines());
            for (auto& [host, worker] : workers)
                if (nowS - lastHeartbeatS[host] >= kHeartbeatIntervalS || nowS < kStepS) send_heartbeat(host, worker);
            run("plan-scale-out " + leader);
            run("round " + leader);
            send_direct_commands();
            return_machines();
        }
    }
    // Seconds until the condition holds; -1 if it does not within the limit.
    template <typename Condition>
    double seconds_until(Condition condition, double limitS) {
        for (const double startS = nowS; nowS - startS <= limitS;) {
            if (condition()) return nowS - startS;
            play(kStepS);
        }
        return -1;
    }
    bool returned(const std::string& host) const { return returnedAtS.count(host) > 0; }

    // Whether the machine runs nothing but the attempt that is placed on it.
    void expect_only_known_tasks(const std::string& host) {
        for (const auto& [attempt, phase] : workers.at(host).tasks()) {
            const auto placed = placedAttempts.find(attempt.first);
            EXPECT_TRUE(phase != "running" || (placed != placedAttempts.end() && placed->second == attempt.second))
                << attempt.first << "#" << attempt.second << " runs on " << host << "\n"
                << steps;
        }
    }

    std::string listed_machines() const {
        std::string list;
        for (const auto& [host, rentedAtS] : *listed)
            if (!returned(host)) list += host + "=running:" + std::to_string(nowS - rentedAtS) + " ";
        return list;
    }

    void send_heartbeat(const std::string& host, TraceWorker& worker) {
        lastHeartbeatS[host] = nowS;
        const auto response = parse_trace_response(run("heartbeat " + leader + " " + worker.status()));
        if (response) worker.execute(response->token, response->commands);
    }
    void send_direct_commands() {
        for (const auto& [host, commands] : parse_trace_batches(run("due " + leader))) {
            const TraceRequest request = make_trace_request(run("target " + leader + " " + host), commands);
            TraceWorker& worker = workers.at(host);
            for (const TraceCommand& command : commands)
                if (command.verb == "start") placedAttempts[command.job] = command.attempt;
            if (worker.accepts(request)) worker.execute(request.token, request.commands);
            run("answered " + leader + " " + worker.status());
        }
    }
    void return_machines() {
        std::istringstream due(run("due-returns " + leader));
        for (std::string host; due >> host && host != "nothing";) {
            ++returnCalls[host];
            if (returnsRefused) continue;
            returnedAtS[host] = nowS;
            workers.erase(host);
            run("gone " + leader + " " + host);
        }
    }

    TraceRunner runner;
    std::string steps, leader = "a";
    std::map<std::string, TraceWorker> workers;
    std::map<std::string, double> lastHeartbeatS, returnedAtS;
    std::map<std::string, int> returnCalls, placedAttempts;
    std::optional<std::map<std::string, double>> listed;  // the cloud's list: when each machine was rented
    bool returnsRefused = false;
    double nowS = 0;
    const double leaseS = site_settings().leaseS;
    // docs/design.md, "Machines that come or go late".
    const double kReturnedIfUnusedS = std::max(6 * leaseS, 3 * kBootS) + kReactionS;
    const double kReturnedIfSilentS = 6 * kBootS + 3 * leaseS + kReactionS;
};

TEST_F(LateMachines, ARentalThatNobodyKnowsIsUsedWhenThereIsWork) {
    run("submit a j-1");
    play(10);
    TraceWorker& worker = add_worker("n-7");
    EXPECT_GE(seconds_until([&] { return worker.runs({"j-1", 1}); }, kReactionS), 0) << steps;
    play(2 * leaseS);
    EXPECT_TRUE(worker.runs({"j-1", 1}));
    expect_only_known_tasks("n-7");
}

TEST_F(LateMachines, ARentalThatNobodyKnowsIsReturnedWhenThereIsNoWork) {
    add_worker("n-7");
    EXPECT_GE(seconds_until([&] { return returned("n-7"); }, kReturnedIfUnusedS), 0) << steps;
}

TEST_F(LateMachines, ARentalOfAControllerThatHasEndedIsReturnedByTheNextOne) {
    add_worker("n-7");
    play(leaseS);
    run("expire a");
    leader = "b";
    for (const char* line : {"sync b", "role b"}) run(line);
    EXPECT_GE(seconds_until([&] { return returned("n-7"); }, leaseS + kReturnedIfUnusedS), 0) << steps;
}

TEST_F(LateMachines, ARentalThatNeverReportsIsReturned) {
    listed = {{"n-7", nowS}};
    EXPECT_GE(seconds_until([&] { return returned("n-7"); }, kReturnedIfSilentS), 0) << steps;
}

TEST_F(LateMachines, AReturnThatIsRefusedIsRepeatedByTheNextControllerAndNothingStartsMeanwhile) {
    add_worker("n-7");
    returnsRefused = true;
    ASSERT_GE(seconds_until([&] { return returnCalls["n-7"] > 0; }, kReturnedIfUnusedS), 0) << steps;
    run("submit a j-1");
    play(leaseS);
    EXPECT_TRUE(workers.at("n-7").tasks().empty()) << steps;
    run("expire a");
    leader = "b";
    for (const char* line : {"sync b", "role b"}) run(line);
    const int callsBefore = returnCalls["n-7"];
    play(kReactionS);
    EXPECT_GT(returnCalls["n-7"], callsBefore) << steps;
    EXPECT_TRUE(workers.at("n-7").tasks().empty());
    returnsRefused = false;
    EXPECT_GE(seconds_until([&] { return returned("n-7"); }, kReactionS), 0) << steps;
    // Its last heartbeat arrives late.
    EXPECT_EQ(run("heartbeat b n-7 1 9999 0"), "503");
}

TEST_F(LateMachines, AMachineThatIsBackAtOnceRunsOnlyWhatIsPlacedOnIt) {
    TraceWorker& worker = add_worker("n-7");
    run("submit a j-1");
    ASSERT_GE(seconds_until([&] { return worker.runs({"j-1", 1}); }, kReactionS), 0) << steps;
    for (int restarts = 1; restarts <= 5; ++restarts) {
        worker.end_epoch();
        EXPECT_GE(seconds_until([&] { return worker.runs({"j-1", restarts + 1}); }, leaseS), 0) << steps;
        expect_only_known_tasks("n-7");
    }
}

}  // namespace
}  // namespace wellstair::test
