// Random walks over the orders in which the messages between one worker and its leader can be sent, delivered, delayed,
// lost or, for direct requests that were executed, delivered again. The worker's machine restarts, and its heartbeats
// and the direct requests to it are cut off, each without the other or both. Guards against a command that is still
// executed after its record was given up: a start that executes although its task was released, or a release of a task
// that still runs. A failed walk prints its steps as a trace.
#include <gtest/gtest.h>

#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "trace_runner.hpp"
#include "trace_worker.hpp"

namespace wellstair::test {
namespace {

constexpr double kLeaseS = 20, kHeartbeatTimeoutS = 4, kCommandTimeoutS = 1.8;  // as the settings of the traces imply
constexpr double kRoundS = 0.2;  // by which a round of the trace runner advances the clock
constexpr double kMaxCutS = 45;  // of heartbeats or direct requests
constexpr int kSteps = 800, kMaxJobs = 40, kLongJobEvery = 2;
constexpr const char* kHost = "n-1";

struct Response {
    std::uint64_t sequence;
    TraceResponse content;
};

struct DirectRequest {
    TraceRequest content;
    double sentS;
    bool executed = false;
    std::string reply;  // the status after the commands; empty: not executed
};

// Whether direct requests that were executed can be delivered again.
enum class Copies { none, of_executed_requests };

class Walk {
  public:
    Walk(unsigned seed, Copies copies) : random_(seed), copies_(copies) {
        run("controllers a b");
        run("join a");
        run("join b");
        run("sync a");
    }

    // Takes the steps of one walk and returns the first violation; nothing if there is none.
    std::optional<std::string> take() {
        for (int i = 0; i < kSteps && !violation_; ++i) {
            pass_time();
            step();
        }
        return violation_;
    }

    std::string trace() const {
        std::string out;
        for (const std::string& line : lines_) out += line + "\n";
        return out;
    }

  private:
    std::string run(const std::string& line) {
        std::string result = runner_.run(line);
        lines_.push_back(line);
        if (!result.empty()) lines_.push_back("> " + result);
        return result;
    }
    int below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }

    void pass_time() {
        if (below(6)) return;
        const double seconds = 0.25 * (1 + below(2));
        run("wait " + std::to_string(seconds));
        advance_worker_clock(seconds);
    }

    void advance_worker_clock(double seconds) {
        nowS_ += seconds;
        if (nowS_ - leaseFromS_ > kLeaseS) end_session();
    }

    void end_session() {
        worker_.end_epoch();
        awaited_.reset();
        leaseFromS_ = nowS_;
    }

    void step() {
        if (copies_ != Copies::none && !below(8)) return deliver_copy();
        if (!below(60)) return inject_fault();
        switch (below(16)) {
            case 0:
            case 1:
                return send_heartbeat();
            case 2:
                return deliver_heartbeat();
            case 3:
                return below(3) ? void() : deliver_response();  // responses are the slowest messages
            case 4:
            case 5:
            case 6:
                return send_direct();
            case 7:
            case 8:
                return execute_direct();
            case 9:
            case 10:
                return finish_direct();
            case 11:
                return execute_late();
            case 12:
                return below(5) ? submit() : cancel();
            case 13:
                return end_task();
            default:
                return round();
        }
    }

    // --- faults

    // A machine that restarts is back at once, in a new session.
    void inject_fault() {
        const int kind = below(4);
        if (kind != 0) heartbeatsCutUntilS_ = nowS_ + below(static_cast<int>(kMaxCutS));
        if (kind == 0 || kind == 1) end_session();
        if (kind == 2) directCutUntilS_ = nowS_ + below(static_cast<int>(kMaxCutS));
    }
    bool heartbeats_cut() const { return nowS_ < heartbeatsCutUntilS_; }
    bool direct_requests_cut() const { return nowS_ < directCutUntilS_; }

    // --- the worker

    void send_heartbeat() {
        if (awaited_ && nowS_ - heartbeatSentS_ < kHeartbeatTimeoutS) return;
        heartbeat_ = worker_.status();
        awaited_ = worker_.sequence();
        heartbeatSentS_ = nowS_;
    }

    void execute(std::uint64_t token, const std::vector<TraceCommand>& commands) {
        for (const auto& [job, attempt] : worker_.execute(token, commands)) {
            const auto placed = placed_.find(job);
            if (placed == placed_.end() || placed->second != attempt)
                violation_ = "started " + job + "#" + std::to_string(attempt) + ", which is not placed";
        }
    }

    // Some jobs have tasks that run until they are stopped, so that tasks outlast a lease.
    void end_task() {
        for (auto& [key, phase] : worker_.tasks()) {
            const bool longRunning = std::stoi(key.first.substr(2)) % kLongJobEvery == 0;
            if (phase == "running" && !longRunning && below(2)) phase = below(4) ? "done" : "stopped";
        }
    }

    // --- messages

    void deliver_heartbeat() {
        if (!heartbeat_ || heartbeats_cut()) return;
        const std::uint64_t sequence = sequence_of(*heartbeat_);
        const std::string result = run("heartbeat a " + *heartbeat_);
        heartbeat_.reset();
        if (auto response = parse_trace_response(result)) {
            response_ = {sequence, std::move(*response)};
        } else if (awaited_ == sequence) {
            awaited_.reset();
        }
    }

    static std::uint64_t sequence_of(const std::string& status) {
        std::istringstream words(status);
        std::string host;
        std::uint64_t epoch = 0, sequence = 0;
        words >> host >> epoch >> sequence;
        return sequence;
    }

    void deliver_response() {
        if (!response_ || heartbeats_cut()) return;
        const Response response = *response_;
        response_.reset();
        const bool waiting = awaited_ == response.sequence && nowS_ - heartbeatSentS_ < kHeartbeatTimeoutS;
        if (!waiting || response.content.token < worker_.token()) return;
        leaseFromS_ = heartbeatSentS_;
        awaited_.reset();
        execute(response.content.token, response.content.commands);
    }

    void send_direct() {
        if (direct_) return;
        auto batches = parse_trace_batches(run("due a"));
        if (batches.empty()) return;
        direct_ = {make_trace_request(run("target a n-1"), std::move(batches[0].commands)), nowS_, false, ""};
    }

    void execute(const DirectRequest& request) {
        if (!worker_.accepts(request.content)) return;
        execute(request.content.token, request.content.commands);
        if (copies_ != Copies::none) executed_.push_back(request);
    }

    void execute_direct() {
        if (!direct_ || direct_->executed || direct_requests_cut()) return;
        direct_->executed = true;
        execute(*direct_);
        direct_->reply = worker_.status();
    }

    void finish_direct() {
        if (!direct_) return;
        if (nowS_ - direct_->sentS > kCommandTimeoutS) {
            run("unanswered a n-1 " + std::to_string(direct_->content.token));
            if (!direct_->executed) late_.push_back(*direct_);
        } else if (direct_->executed) {
            run("answered a " + direct_->reply);
        } else {
            return;
        }
        direct_.reset();
    }

    void execute_late() {
        if (late_.empty() || direct_requests_cut()) return;
        const DirectRequest request = late_.front();
        late_.erase(late_.begin());
        execute(request);
    }

    // Nobody waits for the answer, which has a sequence number all the same.
    void deliver_copy() {
        if (executed_.empty()) return;
        const DirectRequest copy = executed_[below(static_cast<int>(executed_.size()))];
        if (worker_.accepts(copy.content)) execute(copy.content.token, copy.content.commands);
        worker_.status();
    }

    // --- users and the leader

    void submit() {
        if (jobs_ < kMaxJobs) run("submit a j-" + std::to_string(++jobs_));
    }

    void cancel() {
        if (placed_.empty()) return;
        auto job = placed_.begin();
        std::advance(job, below(static_cast<int>(placed_.size())));
        run("cancel a " + job->first);
    }

    void round() {
        advance_worker_clock(kRoundS);
        const std::string result = run("round a");
        if (result.ends_with("applied")) apply(result);
    }

    void apply(const std::string& result) {
        std::istringstream changes(result);
        for (std::string change; std::getline(changes, change, ';');) {
            std::istringstream words(change);
            std::string verb, task;
            words >> verb >> task;
            const std::string job = task.substr(0, task.find('/'));
            if (verb == "place") placed_[job] = ++attempts_[job];
            if (verb == "release") check_release(job);
        }
    }

    void check_release(const std::string& job) {
        if (worker_.runs({job, placed_.at(job)})) violation_ = "released " + job + ", which runs";
        placed_.erase(job);
    }

    TraceRunner runner_;
    std::vector<std::string> lines_;
    std::mt19937 random_;
    Copies copies_;
    std::optional<std::string> violation_;
    double nowS_ = 0;

    TraceWorker worker_{kHost};
    double leaseFromS_ = 0, heartbeatSentS_ = 0;
    double heartbeatsCutUntilS_ = 0, directCutUntilS_ = 0;
    std::optional<std::uint64_t> awaited_;  // sequence number of the heartbeat without a response yet

    // In flight.
    std::optional<std::string> heartbeat_;
    std::optional<Response> response_;
    std::optional<DirectRequest> direct_;
    std::vector<DirectRequest> late_;      // without a reply in time, still to be executed
    std::vector<DirectRequest> executed_;  // may be delivered again, however late

    // What the state service holds.
    int jobs_ = 0;
    std::map<std::string, int> attempts_;  // by job
    std::map<std::string, int> placed_;    // the attempt of each placed job's task
};

class CommandDelivery : public testing::TestWithParam<unsigned> {};

void take_walks(unsigned seed, Copies copies) {
    constexpr unsigned kWalks = 150;
    for (unsigned i = 0; i < kWalks; ++i) {
        Walk walk(seed * kWalks + i, copies);
        const auto violation = walk.take();
        ASSERT_FALSE(violation) << *violation << ", walk " << i << " of seed " << seed << ":\n" << walk.trace();
    }
}

TEST_P(CommandDelivery, NoCommandOutlivesItsRecord) {
    take_walks(GetParam(), Copies::none);
}

TEST_P(CommandDelivery, NoCopyOfAnExecutedRequestStartsATask) {
    take_walks(GetParam(), Copies::of_executed_requests);
}

INSTANTIATE_TEST_SUITE_P(Seeds, CommandDelivery, testing::Range(1u, 7u));

}  // namespace
}  // namespace wellstair::test
