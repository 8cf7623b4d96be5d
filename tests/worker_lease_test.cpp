// The lease of a worker, counted by itself and by its leader, over every order in which a few messages can be sent, be
// delivered or be lost: the leader's count may never end before the worker's.
#include "workers/worker_lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "workers/host_tracker.hpp"

using namespace wellstair;

namespace {

constexpr double kLeaseS = 20;

// One moment of the model. Time passes by whole seconds; the two clocks agree, since the drift has a test of its own.
struct State {
    int now = 0;
    // The worker.
    int renewedFrom = 0;  // when the last answered heartbeat was sent
    std::uint64_t number = 1;
    std::optional<std::pair<std::uint64_t, int>> heartbeat;      // on its way: number, when it was sent
    std::optional<std::tuple<std::uint64_t, int, bool>> answer;  // on its way: number, sending of the heartbeat, 200
    std::uint64_t awaited = 0;                                   // the heartbeat that it waits for; 0: none
    std::optional<std::uint64_t> copy;                           // of some heartbeat, held back
    std::optional<std::uint64_t> commandReply;                   // on its way to the leader
    // The leader.
    workers::HostTracker tracker;

    auto key() const {
        return std::tuple(now, renewedFrom, number, heartbeat, answer, awaited, copy, commandReply, tracker.sequence,
                          tracker.lease.sequence(), tracker.lease.age(0));
    }
};

wire::Heartbeat numbered(std::uint64_t number) {
    wire::Heartbeat heartbeat;
    heartbeat.host = "n-1";
    heartbeat.agentEpoch = 1;
    heartbeat.sequence = number;
    heartbeat.fencingToken = 1;
    return heartbeat;
}

// What the leader does with a heartbeat of a machine that it leads.
bool answered(State& s, std::uint64_t number) {
    wire::Heartbeat heartbeat = numbered(number);
    if (!s.tracker.lease.renew(heartbeat.agentEpoch, heartbeat.sequence, s.now)) return false;
    if (s.tracker.is_newer(heartbeat)) s.tracker.update(heartbeat, workers::StatusSource::heartbeat, s.now);
    return true;
}

// Collects the states that follow one.
class Successors {
  public:
    explicit Successors(const State& from) : from_(from) {}

    // The state after `change`.
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

// The worker sends a heartbeat, or gives up on one that may still be on its way.
void add_worker_steps(Successors& next) {
    if (!next.from().awaited)
        next.add([](State& n) {
            n.heartbeat = {n.number, n.now};
            n.awaited = n.number++;
        });
    if (next.from().awaited) next.add([](State& n) { n.awaited = 0; });
}

// The heartbeat is copied on its way, or delivered; its answer arrives.
void add_heartbeat_steps(Successors& next) {
    const State& from = next.from();
    if (from.heartbeat && !from.copy) next.add([](State& n) { n.copy = n.heartbeat->first; });
    if (from.heartbeat && !from.answer)
        next.add([](State& n) {
            auto [number, sent] = *n.heartbeat;
            n.heartbeat.reset();
            n.answer = {number, sent, answered(n, number)};
        });
    if (from.answer)
        next.add([](State& n) {
            auto [number, sent, ok] = *n.answer;
            n.answer.reset();
            if (n.awaited != number) return;
            n.awaited = 0;
            if (ok) n.renewedFrom = sent;
        });
    if (from.copy)
        next.add([](State& n) {
            answered(n, *n.copy);  // nobody receives the answer
            n.copy.reset();
        });
}

// A command is executed; the reply to it is delivered.
void add_command_steps(Successors& next) {
    if (!next.from().commandReply) next.add([](State& n) { n.commandReply = n.number++; });
    if (next.from().commandReply)
        next.add([](State& n) {
            wire::Heartbeat reply = numbered(*n.commandReply);
            if (n.tracker.is_newer(reply)) n.tracker.update(reply, workers::StatusSource::command_reply, n.now);
            n.commandReply.reset();
        });
}

// All that can happen next.
std::vector<State> successors(const State& from) {
    Successors next(from);
    add_worker_steps(next);
    add_heartbeat_steps(next);
    add_command_steps(next);
    next.add([](State& n) { ++n.now; });
    return next.take();
}

TEST(WorkerLease, NoOrderOfMessagesEndsTheCountBeforeTheWorkersLease) {
    constexpr int kSteps = 10;
    State start;
    start.tracker.lease.begin(0);
    start.tracker.agentEpoch = 1;
    std::vector<State> frontier = {start};
    std::set<decltype(start.key())> known = {start.key()};
    std::size_t overtaken = 0;
    for (int step = 0; step < kSteps; ++step) {
        std::vector<State> reached;
        for (const State& s : frontier)
            for (State& n : successors(s)) {
                if (!known.insert(n.key()).second) continue;
                // Whatever comes later: the count must reach at least as far as the lease that the worker has.
                ASSERT_LE(n.tracker.lease.age(n.now), n.now - n.renewedFrom)
                    << "after " << step + 1 << " steps: the worker's lease runs from " << n.renewedFrom;
                overtaken += n.answer && std::get<0>(*n.answer) < n.tracker.sequence && std::get<2>(*n.answer);
                reached.push_back(std::move(n));
            }
        frontier = std::move(reached);
    }
    EXPECT_GT(overtaken, 100u) << "hardly an order in which a reply overtook a heartbeat";
}

TEST(WorkerLease, TheCountOutlastsTheWorkersWhateverTheDriftOfTheClocks) {
    constexpr double kLargestDrift = 0.0005;  // PROTOCOL
    for (double leaseS : {5.0, 20.0, 29.0, 300.0}) {
        workers::WorkerLease lease;
        ASSERT_TRUE(lease.renew(1, 1, 0));
        // The worker's clock is slow by the whole drift: its lease ends so late by ours.
        const double endsS = leaseS * (1 + kLargestDrift);
        EXPECT_FALSE(lease.expired(endsS, leaseS)) << leaseS;
        EXPECT_TRUE(lease.expired(leaseS * 1.01 + 0.2, leaseS)) << leaseS << ": the tasks wait for nothing";
    }
}

TEST(WorkerLease, OlderHeartbeatsAndThoseOfEarlierSessionsRenewNothing) {
    workers::WorkerLease lease;
    EXPECT_TRUE(lease.renew(2, 10, 100));
    EXPECT_FALSE(lease.renew(2, 10, 110)) << "a copy of the last one";
    EXPECT_FALSE(lease.renew(2, 9, 110));
    EXPECT_FALSE(lease.renew(1, 50, 110)) << "of an earlier session";
    EXPECT_DOUBLE_EQ(lease.age(110), 10);
    EXPECT_TRUE(lease.renew(3, 1, 120));
    EXPECT_DOUBLE_EQ(lease.age(125), 5);
}

}  // namespace
