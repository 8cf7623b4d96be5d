// Model check of the worker's lease as measured by the worker and by its leader, over every order in which a few
// messages can be sent, delivered, copied or lost, and in which the worker restarts. Guards against a leader that takes
// the lease to have expired too early, and so starts a task again while the worker still runs it.
#include "workers/worker_lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "workers/host_tracker.hpp"

using namespace wellstair;
using workers::HeartbeatId;

namespace {

constexpr std::uint64_t kMaxEpoch = 3;

// A state of the model. Time advances in whole seconds. The two clocks agree; a separate test covers clock drift.
struct State {
    int now = 0;
    // The worker.
    std::uint64_t epoch = 1;
    int leaseFrom = 0;  // when the last heartbeat answered with 200 was sent, or the agent epoch began
    std::uint64_t nextSequence = 1;
    std::optional<std::pair<HeartbeatId, int>> heartbeat;        // in flight, and when it was sent
    std::optional<std::tuple<HeartbeatId, int, bool>> response;  // in flight: as above, and whether it is 200
    std::optional<HeartbeatId> awaited;                          // heartbeat whose response is awaited
    std::optional<HeartbeatId> copy;                             // delayed copy of a heartbeat, in flight
    std::optional<HeartbeatId> commandReply;                     // in flight to the leader
    // The leader.
    workers::HostTracker tracker;

    auto key() const {
        return std::tuple(now, epoch, leaseFrom, nextSequence, heartbeat, response, awaited, copy, commandReply,
                          tracker.agentEpoch, tracker.sequence, tracker.lease.last_answered(), tracker.lease.age(0));
    }
    HeartbeatId next_message() { return {epoch, nextSequence++}; }
};

wire::Heartbeat make_heartbeat(const HeartbeatId& id) {
    wire::Heartbeat heartbeat;
    heartbeat.host = "n-1";
    heartbeat.agentEpoch = id.agentEpoch;
    heartbeat.sequence = id.sequence;
    heartbeat.fencingToken = 1;
    return heartbeat;
}

// Handles a heartbeat as the leader does. Returns whether it is answered with 200.
bool handle_heartbeat(State& state, const HeartbeatId& id) {
    wire::Heartbeat heartbeat = make_heartbeat(id);
    if (!state.tracker.renew_lease(heartbeat, state.now)) return false;
    if (state.tracker.is_newer(heartbeat)) state.tracker.update(heartbeat, workers::StatusSource::heartbeat, state.now);
    return true;
}

// Collects the successors of a state.
class Successors {
  public:
    explicit Successors(const State& from) : from_(from) {}

    // Adds the state after `change`.
    template <class Change>
    void add(Change change) {
        State next = from_;
        change(next);
        states_.push_back(std::move(next));
    }
    const State& from() const { return from_; }
    std::vector<State> take() { return std::move(states_); }

  private:
    const State& from_;
    std::vector<State> states_;
};

// The worker sends a heartbeat, gives up waiting for the response to one that may still be in flight, or restarts.
void add_worker_steps(Successors& next) {
    if (!next.from().awaited)
        next.add([](State& state) {
            state.awaited = state.next_message();
            state.heartbeat = {*state.awaited, state.now};
        });
    if (next.from().awaited) next.add([](State& state) { state.awaited.reset(); });
    if (next.from().epoch < kMaxEpoch)
        next.add([](State& state) {
            ++state.epoch;
            state.leaseFrom = state.now;
            state.awaited.reset();
        });
}

// The heartbeat is copied in flight, or delivered; the response to it arrives; the copy is delivered.
void add_heartbeat_steps(Successors& next) {
    const State& from = next.from();
    if (from.heartbeat && !from.copy) next.add([](State& state) { state.copy = state.heartbeat->first; });
    if (from.heartbeat && !from.response)
        next.add([](State& state) {
            auto [id, sent] = *state.heartbeat;
            state.heartbeat.reset();
            state.response = {id, sent, handle_heartbeat(state, id)};
        });
    if (from.response)
        next.add([](State& state) {
            auto [id, sent, ok] = *state.response;
            state.response.reset();
            if (state.awaited != id) return;
            state.awaited.reset();
            if (ok) state.leaseFrom = sent;
        });
    if (from.copy)
        next.add([](State& state) {
            handle_heartbeat(state, *state.copy);  // the response is lost
            state.copy.reset();
        });
}

// The worker executes a command; its reply is delivered.
void add_command_steps(Successors& next) {
    if (!next.from().commandReply) next.add([](State& state) { state.commandReply = state.next_message(); });
    if (next.from().commandReply)
        next.add([](State& state) {
            wire::Heartbeat reply = make_heartbeat(*state.commandReply);
            if (state.tracker.is_newer(reply))
                state.tracker.update(reply, workers::StatusSource::command_reply, state.now);
            state.commandReply.reset();
        });
}

HeartbeatId newest_status(const workers::HostTracker& tracker) {
    return {tracker.agentEpoch, tracker.sequence};
}

// All states that can follow, including the passing of a second.
std::vector<State> successors(const State& from) {
    Successors next(from);
    add_worker_steps(next);
    add_heartbeat_steps(next);
    add_command_steps(next);
    next.add([](State& state) { ++state.now; });
    return next.take();
}

TEST(WorkerLease, NoMessageOrderExpiresTheLeaseBeforeTheWorkersOwn) {
    constexpr int kSteps = 10;
    State start;
    start.tracker.lease.begin(0);
    start.tracker.agentEpoch = 1;
    std::vector<State> frontier = {start};
    std::set<decltype(start.key())> known = {start.key()};
    std::size_t overtaken = 0, learnedFromReply = 0;
    for (int step = 0; step < kSteps; ++step) {
        std::vector<State> reached;
        for (const State& state : frontier)
            for (State& next : successors(state)) {
                if (!known.insert(next.key()).second) continue;
                // Whenever the leader knows the worker's agent epoch, in which alone it can start tasks, the lease as
                // it counts it is at most as old as the worker's own.
                const bool epochKnown = next.tracker.agentEpoch == next.epoch;
                ASSERT_TRUE(!epochKnown || next.tracker.lease.age(next.now) <= next.now - next.leaseFrom)
                    << "after " << step + 1 << " steps: the worker's lease runs from " << next.leaseFrom;
                overtaken += next.response && std::get<2>(*next.response) &&
                             std::get<0>(*next.response) < newest_status(next.tracker);
                learnedFromReply += epochKnown && next.tracker.lease.last_answered().agentEpoch < next.epoch;
                reached.push_back(std::move(next));
            }
        frontier = std::move(reached);
    }
    EXPECT_GT(overtaken, 100u) << "too few states in which a command reply overtook a heartbeat";
    EXPECT_GT(learnedFromReply, 100u) << "too few states in which no answered heartbeat has shown the agent epoch";
}

TEST(WorkerLease, OutlastsTheWorkersLeaseForAnyClockDrift) {
    constexpr double kLargestDrift = 0.0005;  // PROTOCOL
    for (double leaseS : {5.0, 20.0, 29.0, 300.0}) {
        workers::WorkerLease lease;
        ASSERT_TRUE(lease.renew({1, 1}, 0));
        // The worker's clock is slow by the largest drift, so by the leader's clock its lease ends later.
        const double workerExpiryS = leaseS * (1 + kLargestDrift);
        EXPECT_FALSE(lease.expired(workerExpiryS, leaseS)) << leaseS;
        EXPECT_TRUE(lease.expired(leaseS * 1.01 + 0.2, leaseS)) << leaseS << ": expiry is detected needlessly late";
    }
}

TEST(WorkerLease, OlderHeartbeatsAndEarlierAgentEpochsDoNotRenew) {
    workers::WorkerLease lease;
    EXPECT_TRUE(lease.renew({2, 10}, 100));
    EXPECT_FALSE(lease.renew({2, 10}, 110)) << "copy of the last heartbeat";
    EXPECT_FALSE(lease.renew({2, 9}, 110));
    EXPECT_FALSE(lease.renew({1, 50}, 110)) << "heartbeat of an earlier agent epoch";
    EXPECT_DOUBLE_EQ(lease.age(110), 10);
    EXPECT_TRUE(lease.renew({3, 1}, 120));
    EXPECT_DOUBLE_EQ(lease.age(125), 5);
}

}  // namespace
