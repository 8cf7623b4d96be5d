// Copies of direct requests that were executed and answered: they reach the worker again, up to minutes later, and
// their answers go nowhere. Guards against a start that is executed again once the worker has forgotten the attempt.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "trace_runner.hpp"
#include "trace_worker.hpp"

namespace wellstair::test {
namespace {

// A leader and its workers, which exchange their messages without loss.
class CopiedCommands {
  public:
    CopiedCommands() {
        run("controllers a b");
        run("join a");
        run("join b");
        run("sync a");
    }

    void add_worker(const std::string& host) {
        workers_.emplace(host, TraceWorker(host));
        exchange_messages();
    }
    TraceWorker& worker(const std::string& host) { return workers_.at(host); }
    std::string run(const std::string& line) {
        std::string result = runner_.run(line);
        steps_ += line + "\n" + (result.empty() ? "" : "> " + result + "\n");
        return result;
    }

    // Lets all workers and the leader act for a few heartbeat intervals.
    void exchange_messages() {
        constexpr int kExchanges = 24;
        constexpr const char* kExchangeInterval = "0.5";
        for (int i = 0; i < kExchanges; ++i) {
            run(std::string("wait ") + kExchangeInterval);
            for (auto& [host, worker] : workers_) send_heartbeat(worker);
            run("round a");
            send_direct_commands();
        }
    }

    // Delivers a copy of each direct request that was executed on the host. Returns the attempts that they start.
    std::vector<TraceWorker::Attempt> deliver_copies(const std::string& host) {
        std::vector<TraceWorker::Attempt> started;
        for (const TraceRequest& copy : executed_[host]) {
            if (!worker(host).accepts(copy)) continue;
            const auto attempts = worker(host).execute(copy.token, copy.commands);
            started.insert(started.end(), attempts.begin(), attempts.end());
            worker(host).status();
        }
        return started;
    }
    // Whether the start of the attempt was sent directly, and the worker has forgotten the attempt since.
    bool started_and_forgotten(const std::string& host, const TraceWorker::Attempt& attempt) {
        const auto starts_attempt = [&](const TraceCommand& command) {
            return command.verb == "start" && TraceWorker::Attempt(command.job, command.attempt) == attempt;
        };
        const auto& requests = executed_[host];
        const bool started = std::any_of(requests.begin(), requests.end(), [&](const TraceRequest& request) {
            return std::any_of(request.commands.begin(), request.commands.end(), starts_attempt);
        });
        return started && !worker(host).tasks().count(attempt);
    }
    const std::string& steps() const { return steps_; }

  private:
    void send_heartbeat(TraceWorker& worker) {
        const auto response = parse_trace_response(run("heartbeat a " + worker.status()));
        if (response) worker.execute(response->token, response->commands);
    }

    void send_direct_commands() {
        for (const auto& [host, commands] : parse_trace_batches(run("due a"))) {
            const TraceRequest request = make_trace_request(run("target a " + host), commands);
            if (worker(host).accepts(request)) {
                worker(host).execute(request.token, request.commands);
                executed_[host].push_back(request);
            }
            run("answered a " + worker(host).status());
        }
    }

    TraceRunner runner_;
    std::map<std::string, TraceWorker> workers_;
    std::map<std::string, std::vector<TraceRequest>> executed_;  // direct requests, by host
    std::string steps_;
};

TEST(CopiedStart, IsNotExecutedWhileALaterAttemptRunsOnAnotherMachine) {
    CopiedCommands cluster;
    cluster.add_worker("n-1");
    cluster.run("submit a j-1");
    cluster.exchange_messages();
    cluster.add_worker("n-2");
    cluster.worker("n-1").tasks()[{"j-1", 1}] = "error";
    cluster.exchange_messages();
    ASSERT_TRUE(cluster.started_and_forgotten("n-1", {"j-1", 1})) << cluster.steps();
    ASSERT_TRUE(cluster.worker("n-2").runs({"j-1", 2})) << cluster.steps();
    EXPECT_TRUE(cluster.deliver_copies("n-1").empty()) << cluster.steps();
    EXPECT_FALSE(cluster.worker("n-1").runs({"j-1", 1}));
}

// What becomes of the task between the start and its copy.
enum class Fate { moved, cancelled, done, retried_on_the_same_machine };
// What happens as the copy arrives.
enum class Meeting { controller_back_at_once, new_agent_epoch };

class CopiedStartMeets : public testing::TestWithParam<std::tuple<Fate, Meeting>> {
  protected:
    // Starts the first attempt on n-1 and lets its task meet its fate. The worker has forgotten the attempt then.
    void start_and_end_task(Fate fate) {
        cluster_.add_worker("n-1");
        cluster_.run("submit a j-1");
        cluster_.exchange_messages();
        ASSERT_TRUE(cluster_.worker("n-1").runs(kFirst)) << cluster_.steps();
        if (fate == Fate::moved) cluster_.add_worker("n-2");
        if (fate == Fate::cancelled) cluster_.run("cancel a j-1");
        if (fate == Fate::moved) cluster_.worker("n-1").tasks()[kFirst] = "error";
        if (fate == Fate::retried_on_the_same_machine) cluster_.worker("n-1").tasks()[kFirst] = "stopped";
        if (fate == Fate::done) cluster_.worker("n-1").tasks()[kFirst] = "done";
        cluster_.exchange_messages();
        if (fate == Fate::moved) {
            ASSERT_TRUE(cluster_.worker("n-2").runs(kSecond)) << cluster_.steps();
        }
        if (fate == Fate::retried_on_the_same_machine) {
            ASSERT_TRUE(cluster_.worker("n-1").runs(kSecond)) << cluster_.steps();
            cluster_.worker("n-1").tasks()[kSecond] = "done";
            cluster_.exchange_messages();
            ASSERT_TRUE(cluster_.started_and_forgotten("n-1", kSecond)) << cluster_.steps();
        }
        ASSERT_TRUE(cluster_.started_and_forgotten("n-1", kFirst)) << cluster_.steps();
    }

    const TraceWorker::Attempt kFirst{"j-1", 1}, kSecond{"j-1", 2};
    CopiedCommands cluster_;
};

TEST_P(CopiedStartMeets, NothingIsStarted) {
    const auto [fate, meeting] = GetParam();
    ASSERT_NO_FATAL_FAILURE(start_and_end_task(fate));
    if (meeting == Meeting::controller_back_at_once) cluster_.run("join a");
    if (meeting == Meeting::new_agent_epoch) cluster_.worker("n-1").end_epoch();
    EXPECT_TRUE(cluster_.deliver_copies("n-1").empty()) << cluster_.steps();
    cluster_.exchange_messages();
    EXPECT_TRUE(cluster_.deliver_copies("n-1").empty()) << cluster_.steps();
}

std::string meeting_name(const testing::TestParamInfo<std::tuple<Fate, Meeting>>& info) {
    const std::map<Fate, std::string> fates = {{Fate::moved, "Moved"},
                                               {Fate::cancelled, "Cancelled"},
                                               {Fate::done, "Done"},
                                               {Fate::retried_on_the_same_machine, "RetriedOnTheSameMachine"}};
    const bool newEpoch = std::get<1>(info.param) == Meeting::new_agent_epoch;
    return fates.at(std::get<0>(info.param)) + (newEpoch ? "ThenNewAgentEpoch" : "ThenControllerBackAtOnce");
}

INSTANTIATE_TEST_SUITE_P(Fates, CopiedStartMeets,
                         testing::Combine(testing::Values(Fate::moved, Fate::cancelled, Fate::done,
                                                          Fate::retried_on_the_same_machine),
                                          testing::Values(Meeting::controller_back_at_once, Meeting::new_agent_epoch)),
                         meeting_name);

}  // namespace
}  // namespace wellstair::test
