// A start that is held up on its way while its job is cancelled, and arrives at any later time. Guards against a task
// that starts, or still runs, after the time within which a cancellation must be carried out, whatever else happens
// meanwhile.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>

#include "site_settings.hpp"
#include "trace_runner.hpp"
#include "trace_worker.hpp"

namespace wellstair::test {
namespace {

constexpr double kStepS = 0.5, kHeartbeatIntervalS = 3, kRoundS = 0.2;  // a round advances the clock of the traces
constexpr double kLastArrivalS = 120;
constexpr double kHangEndS = 14;  // within the lease
constexpr int kExchangesUntilConfirmed = 16;

// What happens a second after the cancellation, or is under way then.
enum class Event {
    none,
    leader_changes,
    new_agent_epoch,
    machine_hangs,
    machine_deaf,
    machine_mute,
    outage,
    writes_refused
};

const std::map<Event, std::string> kEventNames = {{Event::none, "NothingElse"},
                                                  {Event::leader_changes, "LeaderChanges"},
                                                  {Event::machine_hangs, "MachineHangs"},
                                                  {Event::new_agent_epoch, "NewAgentEpoch"},
                                                  {Event::machine_deaf, "MachineDeaf"},
                                                  {Event::machine_mute, "MachineMute"},
                                                  {Event::outage, "Outage"},
                                                  {Event::writes_refused, "WritesRefused"}};

// Two controllers and one machine, on a clock that starts with the cancellation.
class HeldUpStart {
  public:
    explicit HeldUpStart(Event event) : event_(event) {
        for (const char* line : {"controllers a b", "join a", "join b", "sync a"}) run(line);
        for (int i = 0; i < kExchangesUntilConfirmed; ++i) exchange();
        run("submit a j-1");
        run("round a");
        const std::string target = run("target a n-1");
        start_ = make_trace_request(target, parse_trace_commands(run("command a n-1")));
        run("unanswered a n-1");
        run("sync b");
        run("cancel b j-1");
        leaseFromS_ -= nowS_;
        nextHeartbeatS_ -= nowS_;
        nowS_ = 0;
    }

    bool start_sent() const { return start_.commands.size() == 1 && start_.commands[0].verb == "start"; }

    // Whether the machine executed the start, and what was wrong; nothing if all was right.
    struct Outcome {
        bool executed = false;
        std::optional<std::string> wrong;
    };
    // Plays until the start arrives, and on until the cancellation must have been carried out.
    Outcome play(double arrivalS) {
        Outcome outcome;
        const double cancelS = site_settings().cancelS;
        for (bool arrived = false; nowS_ <= std::max(arrivalS, cancelS) + 2 * kStepS;) {
            if (!arrived && nowS_ >= arrivalS && !hung()) {
                arrived = true;
                outcome.executed = worker_.accepts(start_);
                if (outcome.executed) worker_.execute(start_.token, start_.commands);
                if (outcome.executed && nowS_ > cancelS) outcome.wrong = "starts";
            }
            if (nowS_ > cancelS && worker_.runs({"j-1", 1})) outcome.wrong = "runs";
            exchange();
        }
        return outcome;
    }
    const std::string& steps() const { return steps_; }

  private:
    std::string run(const std::string& line) {
        const std::string result = runner_.run(line);
        steps_ += line + "\n" + (result.empty() ? "" : "> " + result + "\n");
        return result;
    }
    bool during(double fromS, double untilS) const { return nowS_ >= fromS && nowS_ < untilS; }
    bool hung() const { return event_ == Event::machine_hangs && during(-1, kHangEndS); }
    // The machine first handles what has arrived while it hung.
    bool may_send_heartbeat() const { return event_ != Event::machine_hangs || !during(-1, kHangEndS + kStepS); }
    bool deaf() const { return event_ == Event::machine_deaf && during(-1, 40); }
    bool mute() const { return event_ == Event::machine_mute && during(-1, 40); }

    bool writes_refused() const { return event_ == Event::writes_refused && during(0, 70); }

    // Lets the machine and the controllers act for one step.
    void exchange() {
        run("wait " + std::to_string(kStepS - kRoundS));
        nowS_ += kStepS;
        begin_event();
        for (const char* line : {"ask a", "ask b", "update-availability a", "update-availability b"})
            if (runs(line)) run(line);
        if (nowS_ - leaseFromS_ > site_settings().leaseS) end_epoch();
        if (may_send_heartbeat() && nowS_ >= nextHeartbeatS_) send_heartbeat();
        run("sync " + leader());
        // A round that is built takes effect in no transaction.
        run((writes_refused() ? "build " : "round ") + leader());
        send_direct_commands();
    }
    bool runs(const std::string& line) const {
        return event_ != Event::leader_changes || nowS_ < 1 || line.back() != 'a';
    }
    std::string leader() const { return runs("a") ? "a" : "b"; }

    void begin_event() {
        const bool begins = nowS_ >= 1 && nowS_ < 1 + kStepS;
        if (begins && event_ == Event::leader_changes) run("expire a");
        if (begins && event_ == Event::new_agent_epoch) end_epoch();
        if (begins && event_ == Event::outage) run("outage");
        constexpr double kOutageEndS = 70;
        if (event_ == Event::outage && during(kOutageEndS, kOutageEndS + kStepS)) run("outage-over");
    }
    void end_epoch() {
        worker_.end_epoch();
        leaseFromS_ = nowS_;
    }

    void send_heartbeat() {
        const double sentS = nowS_;
        nextHeartbeatS_ = nowS_ + kHeartbeatIntervalS;
        const std::string status = worker_.status();
        if (mute()) return;
        const auto response = parse_trace_response(run("heartbeat " + leader() + " " + status));
        if (!response || deaf() || response->token < worker_.token()) return;
        if (response->token > worker_.token()) nextHeartbeatS_ = nowS_ + kStepS;
        leaseFromS_ = sentS;
        worker_.execute(response->token, response->commands);
    }

    void send_direct_commands() {
        const auto batches = parse_trace_batches(run("due " + leader()));
        if (batches.empty()) return;
        if (hung() || deaf()) {
            run("unanswered " + leader() + " n-1");
            return;
        }
        const TraceRequest request = make_trace_request(run("target " + leader() + " n-1"), batches[0].commands);
        if (worker_.accepts(request)) worker_.execute(request.token, request.commands);
        run("answered " + leader() + " " + worker_.status());
    }

    Event event_;
    TraceRunner runner_;
    std::string steps_;
    TraceWorker worker_{"n-1"};
    double nowS_ = -100, leaseFromS_ = -100, nextHeartbeatS_ = -100;
    TraceRequest start_;  // held up
};

class HeldUpStartOfACancelledJob : public testing::TestWithParam<Event> {};

TEST_P(HeldUpStartOfACancelledJob, NeitherStartsNorRunsAfterTheTimeOfTheCancellation) {
    int executed = 0;
    for (double arrivalS = kStepS; arrivalS <= kLastArrivalS; arrivalS += 2) {
        HeldUpStart cluster(GetParam());
        ASSERT_TRUE(cluster.start_sent());
        const HeldUpStart::Outcome outcome = cluster.play(arrivalS);
        executed += outcome.executed;
        ASSERT_FALSE(outcome.wrong) << "the task " << *outcome.wrong << ", its start arrived at " << arrivalS << " s:\n"
                                    << cluster.steps();
    }
    EXPECT_GT(executed, 0) << "no start was executed, so nothing was tested";
}

INSTANTIATE_TEST_SUITE_P(Events, HeldUpStartOfACancelledJob,
                         testing::Values(Event::none, Event::leader_changes, Event::new_agent_epoch,
                                         Event::machine_hangs, Event::machine_deaf, Event::machine_mute, Event::outage,
                                         Event::writes_refused),
                         [](const auto& info) { return kEventNames.at(info.param); });

}  // namespace
}  // namespace wellstair::test
