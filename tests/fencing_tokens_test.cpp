// The fencing tokens that registrations grant, also of hosts that the version in production has registered.
#include "state/fencing_tokens.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "commands/host_commands.hpp"
#include "production_data.hpp"
#include "upgrade_fixture.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::test {
namespace {

using state::granted_tokens;
using state::kTokensPerRegistration;
using state::next_registration_token;

TEST(FencingTokens, RangesOfAHostRiseWhicheverVersionRegistersIt) {
    std::mt19937 random(1);
    const auto below = [&](std::uint64_t bound) { return random() % bound; };
    std::uint64_t revision = 1, stored = 0, highestUsed = 0;
    for (int i = 0; i < 100'000; ++i) {
        revision += below(4) ? below(20) : below(3 * kTokensPerRegistration);
        const std::uint64_t highest = std::max(revision, stored);
        const bool production = below(2);
        stored = production ? highest + 1 : next_registration_token(highest);
        revision += 1 + below(50);  // other changes come between the read and the registration
        const auto granted = granted_tokens(stored, revision);
        ASSERT_GT(granted.first, highestUsed);
        ASSERT_EQ(granted.last, stored);
        if (production) {
            ASSERT_EQ(granted.first, stored);
        } else {
            ASSERT_EQ(granted.last - granted.first + 1, kTokensPerRegistration);
        }
        highestUsed = granted.last;
    }
}

TEST(FencingTokens, AMultipleOfTheRangeThatFollowsARevisionGrantsItselfAlone) {
    const std::uint64_t revision = 3 * kTokensPerRegistration - 1;
    EXPECT_EQ(granted_tokens(revision + 1, revision + 1).first, revision + 1);
}

TEST(FencingTokens, AreRaisedWithinTheRangeOnly) {
    workers::HostTracker tracker;
    tracker.begin_leadership({5, 6}, 0);
    EXPECT_EQ(tracker.fencingToken, 5u);
    EXPECT_TRUE(tracker.raise_fencing_token());
    EXPECT_EQ(tracker.fencingToken, 6u);
    EXPECT_FALSE(tracker.raise_fencing_token());
    EXPECT_EQ(tracker.fencingToken, 6u);
}

TEST(FencingTokens, AreNotRaisedWhileADirectRequestIsInFlight) {
    workers::HostTracker tracker;
    tracker.begin_leadership({5, 9}, 0);
    tracker.directRequestsInFlight = 1;
    EXPECT_FALSE(tracker.raise_fencing_token());
    tracker.directRequestsInFlight = 0;
    EXPECT_TRUE(tracker.raise_fencing_token());
}

// One machine that the version in production has transferred to the upgraded controller `a`, with a single token.
class TransferredByProduction : public testing::Test {
  protected:
    static constexpr const char* kHost = "n-000900";
    static constexpr std::uint64_t kToken = 7, kIncarnation = 21;

    TransferredByProduction() {
        load_production_state(store_);
        a_.emplace(store_, kAnnouncedLimits, kIncarnation);
        state::HostEntry host;
        host.name = kHost;
        host.leader = "a";
        host.incarnation = kIncarnation;
        host.fencingToken = kToken;
        host.address = "10.1.3.132:9000";
        host.machineType = "c8";
        a_->put("ws/hosts/a/9", state::encode_shard({host}));
    }

    controller::HeartbeatResponse send_heartbeat(std::uint64_t token, std::vector<wire::TaskStatus> tasks = {}) {
        wire::Heartbeat heartbeat;
        heartbeat.host = kHost;
        heartbeat.zone = "a";
        heartbeat.machineType = "c8";
        heartbeat.address = "10.1.3.132:9000";
        heartbeat.agentEpoch = 1;
        heartbeat.sequence = ++sequence_;
        heartbeat.fencingToken = token;
        heartbeat.tasks = std::move(tasks);
        return a_->core().handle_heartbeat(heartbeat, a_->now());
    }

    InMemoryStateStore store_;
    std::optional<UpgradedController> a_;
    std::uint64_t sequence_ = 0;
};

TEST_F(TransferredByProduction, MachineIsRegisteredAgainBeforeADirectlyStartedAttemptIsAcknowledged) {
    EXPECT_EQ(send_heartbeat(0).token, kToken);
    send_heartbeat(kToken);
    workers::HostTracker& tracker = *a_->core().tracker(kHost);
    const workers::TaskAttempt attempt{{"j-9", 0}, 1};
    tracker.record_direct_start(attempt, a_->now().steady);
    tracker.record_direct_outcome(attempt, true, kToken);
    wire::TaskStatus ended;
    ended.job = attempt.task.first;
    ended.attempt = attempt.attempt;
    ended.phase = wire::TaskPhase::ended;
    EXPECT_TRUE(send_heartbeat(kToken, {ended}).commands.empty());
    a_->run_rounds(8);
    const auto response = send_heartbeat(kToken, {ended});
    EXPECT_GT(response.token, kToken);
    ASSERT_EQ(response.commands.size(), 1u);
    EXPECT_EQ(response.commands.front().type, wire::CommandType::acknowledge);
}

}  // namespace
}  // namespace wellstair::test
