// Work goes on under the lowered limits of the state service, also when they are enforced before any shard was split.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "production_data.hpp"
#include "upgrade_fixture.hpp"

using namespace wellstair;
using namespace wellstair::test;

namespace {

// The limits are in force before anything was split, with one member away: its return to the cloud, and every other
// change of a machine in a shard that is too large, goes through all the same.
TEST(Upgrade, WorksWhenTheLimitsFallFirst) {
    InMemoryStateStore store;
    load_production_state(store);
    store.enforce_limits(kNextLimits);
    UpgradedController a(store);
    a.put("ws/members/b", state::MemberData{12, "b", 0}.encode());
    a.rounds(200);
    EXPECT_EQ(store.refusedAsMalformed, 1) << "a refusal for size is not repeated";
    EXPECT_EQ(a.state().layout_revision(), 0u) << "the switch still waits for b";
    for (const auto& [name, host] : machines_of(store))
        if (host.returnState != state::ReturnState::gone) {
            EXPECT_EQ(host.incarnation, 21u) << name << " was not taken over";
        }
    auto builder = a.core().new_transaction();
    ASSERT_TRUE(builder.mark_for_return("n-000100", "a", 1'000'300, false, "test"));
    EXPECT_TRUE(a.commit(builder).starts_with("ok"));
    auto gone = a.core().new_transaction();
    ASSERT_TRUE(gone.mark_for_return("n-000100", "a", 1'000'300, true, "test"));
    EXPECT_TRUE(a.commit(gone).starts_with("ok"));
    EXPECT_TRUE(a.state().host("n-000100")->gone());
}

// All machines come to a process that keeps none of them: a small transaction takes whole shards, not as many
// single machines as it has operations. One machine a write took minutes of the state service's rate.
TEST(Upgrade, TakeOverByHeartbeatsTakesWholeShards) {
    InMemoryStateStore store;
    load_production_state(store);
    {
        UpgradedController before(store);
        before.other_is_new();
        before.rounds(80);
    }
    store.enforce_limits(kNextLimits);
    UpgradedController a(store, kNextLimits, 50);
    std::size_t shards = 0;
    for (const auto& [key, value] : store.keys()) shards += key.starts_with("ws/hosts/");
    // They come fifteen at a time, each of another shard than the one before: more shards than two transactions take.
    const std::size_t writes = store.log.size();
    int reported = 0;
    for (const auto& [name, host] : machines_of(store)) {
        auto* record = a.state().host(name);
        if (record->incarnation == 50) continue;  // taken over with others
        wire::Heartbeat heartbeat;
        heartbeat.host = name, heartbeat.address = host.address, heartbeat.machineType = host.machineType,
        heartbeat.zone = "a";
        heartbeat.fencingToken = host.fencingToken;
        a.core().request_acquisition(heartbeat);
        if (++reported % 15 == 0) a.rounds(2);
    }
    auto all_taken = [&] {
        const auto machines = machines_of(store);
        return std::all_of(machines.begin(), machines.end(), [](const auto& m) {
            return m.second.returnState == state::ReturnState::gone || m.second.incarnation == 50;
        });
    };
    for (int i = 0; i < 20 && !all_taken(); ++i) a.round();
    EXPECT_TRUE(all_taken());
    std::size_t claims = 0;
    for (std::size_t i = writes; i < store.log.size(); ++i) claims += store.log[i].path.starts_with("ws/hosts/");
    EXPECT_LE(claims, shards);
}

class WideGangs : public testing::TestWithParam<int> {
  protected:
    static constexpr std::uint32_t kTasks = 16;
    using PlacedTasks = std::vector<std::pair<std::uint32_t, state::HostRecord*>>;

    // Adds kTasks shards with one machine each.
    static void add_small_shards(UpgradedController& a) {
        for (std::uint32_t i = 0; i < kTasks; ++i) {
            state::HostEntry host;
            host.name = "n-00100" + std::to_string(i);
            host.leader = "a";
            host.incarnation = 21;
            host.fencingToken = 5;
            host.address = "10.1.0.1:9000";
            host.machineType = "c8";
            a.put("ws/hosts/a/" + std::to_string(100 + i), state::encode_shard({host}));
        }
    }

    // Up to kTasks idle machines, each of another shard, with the index of the task that each takes.
    static PlacedTasks idle_machines_of_distinct_shards(UpgradedController& a) {
        PlacedTasks tasks;
        std::set<state::HostShard*> shards;
        for (const auto& [name, host] : a.state().hosts()) {
            const bool idle = host->shard && !host->returning() && host->placed.empty();
            if (tasks.size() < kTasks && idle && shards.insert(host->shard).second)
                tasks.emplace_back(static_cast<std::uint32_t>(tasks.size()), host.get());
        }
        return tasks;
    }

    static wire::JobSpec wide_gang() {
        wire::JobSpec spec;
        spec.id = "j-wide";
        spec.jobClass = "work";
        spec.team = "red";
        spec.image = "img";
        spec.kind = wire::JobKind::gang;
        spec.taskCount = kTasks;
        spec.cores = 4;
        spec.coLocated = true;
        spec.estimatedDurationS = 100;
        return spec;
    }
};

// A gang of 16 on machines of 16 shards has more keys to compare than 20 (or, with four operations, 16) conditions.
TEST_P(WideGangs, StartUnderLowLimits) {
    InMemoryStateStore store;
    load_production_state(store);
    config::StateLimits next = kNextLimits;
    next.transactionOperations = GetParam();
    UpgradedController a(store, next);
    a.other_is_new();
    a.round();
    ASSERT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    add_small_shards(a);
    store.enforce_limits(next);
    a.rounds(200);
    const PlacedTasks tasks = idle_machines_of_distinct_shards(a);
    ASSERT_EQ(tasks.size(), kTasks);
    auto submit = a.core().new_transaction();
    ASSERT_TRUE(submit.submit(wide_gang(), "a", 1'000'300));
    ASSERT_TRUE(a.commit(submit).starts_with("ok"));
    state::Job* job = a.state().job("j-wide");
    auto place = a.core().new_transaction();
    ASSERT_TRUE(place.place(*job, tasks, 1, 1'000'300));
    EXPECT_TRUE(a.commit(place).starts_with("ok"));
    EXPECT_EQ(job->placed, kTasks);
    EXPECT_EQ(store.refusedAsMalformed, 0);

    // A machine whose record was removed meanwhile: it had been gone for long, and the task that names it is gone too.
    const std::string lost = tasks[3].second->name;
    auto forget = a.core().new_transaction();
    ASSERT_TRUE(forget.remove_host(*tasks[3].second));
    ASSERT_TRUE(a.commit(forget).starts_with("ok"));
    EXPECT_TRUE(a.state().host(lost)->removed());
    a.rounds(20);
    EXPECT_EQ(job->task(3, a.state().chunk_size()).state, state::TaskState::open);
}

INSTANTIATE_TEST_SUITE_P(TransactionOperations, WideGangs, testing::Values(5, 4));

// A refusal that the announced limits do not explain: the key is left out for a while, and other work goes on.
TEST(Upgrade, ARefusedKeyDoesNotStopOtherWork) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.other_is_new();
    a.rounds(80);
    a.core().handle_rejected_transaction({"ws/hosts/a/1"}, a.now());
    auto builder = a.core().new_transaction();
    ASSERT_TRUE(builder.mark_for_return("n-000001", "a", 1'000'300, false, "test"));
    EXPECT_TRUE(builder.empty()) << "the refused key is left out";
    ASSERT_TRUE(builder.mark_for_return("n-000003", "a", 1'000'300, false, "test"));
    EXPECT_FALSE(builder.empty());
}

}  // namespace
