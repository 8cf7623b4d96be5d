// Controllers keep working under the lowered limits of the state service, even if these are enforced before any shard
// has been split.
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

// The limits are enforced before any split, while one member cannot switch the layout. Returning a machine to the cloud
// and any other change of a machine in an oversized shard must still be committed.
TEST(Upgrade, WorksWhenLimitsAreEnforcedBeforeAnySplit) {
    InMemoryStateStore store;
    load_production_state(store);
    store.enforce_limits(kAnnouncedLimits);
    UpgradedController a(store);
    a.put("ws/members/b", state::MemberData{12, "b", 0}.encode());
    a.run_rounds(200);
    EXPECT_EQ(store.refusedAsMalformed, 1) << "a rejected oversized write must not be repeated";
    EXPECT_EQ(a.state().layout_revision(), 0u) << "the layout switch must wait for member b";
    for (const auto& [name, host] : machines_in(store))
        if (host.returnState != state::ReturnState::gone) {
            EXPECT_EQ(host.incarnation, 21u) << name << " was not acquired";
        }
    auto builder = a.core().new_transaction();
    ASSERT_TRUE(builder.mark_for_return("n-000100", "a", 1'000'300, false, "test"));
    EXPECT_TRUE(a.commit(builder).starts_with("ok"));
    auto gone = a.core().new_transaction();
    ASSERT_TRUE(gone.mark_for_return("n-000100", "a", 1'000'300, true, "test"));
    EXPECT_TRUE(a.commit(gone).starts_with("ok"));
    EXPECT_TRUE(a.state().host("n-000100")->gone());
}

// When all machines report to a process that leads none of them, a transaction acquires whole shards instead of one
// machine per operation: with one machine per write, the take-over used minutes of the state service's write rate.
TEST(Upgrade, TakeOverByHeartbeatsTakesWholeShards) {
    InMemoryStateStore store;
    load_production_state(store);
    {
        UpgradedController before(store);
        before.upgrade_peer();
        before.run_rounds(80);
    }
    store.enforce_limits(kAnnouncedLimits);
    UpgradedController a(store, kAnnouncedLimits, 50);
    std::size_t shards = 0;
    for (const auto& [key, value] : store.keys()) shards += key.starts_with("ws/hosts/");
    // Fifteen machines report at a time, each from another shard than the one before: more shards than fit into two
    // transactions.
    const std::size_t writes = store.log.size();
    int reported = 0;
    for (const auto& [name, host] : machines_in(store)) {
        auto* record = a.state().host(name);
        if (record->incarnation == 50) continue;  // already acquired with its shard
        wire::Heartbeat heartbeat;
        heartbeat.host = name, heartbeat.address = host.address, heartbeat.machineType = host.machineType,
        heartbeat.zone = "a";
        heartbeat.fencingToken = host.fencingToken;
        a.core().request_acquisition(heartbeat);
        if (++reported % 15 == 0) a.run_rounds(2);
    }
    auto all_acquired = [&] {
        const auto machines = machines_in(store);
        return std::all_of(machines.begin(), machines.end(), [](const auto& machine) {
            return machine.second.returnState == state::ReturnState::gone || machine.second.incarnation == 50;
        });
    };
    for (int i = 0; i < 20 && !all_acquired(); ++i) a.round();
    EXPECT_TRUE(all_acquired());
    std::size_t shardWrites = 0;
    for (std::size_t i = writes; i < store.log.size(); ++i) shardWrites += store.log[i].path.starts_with("ws/hosts/");
    EXPECT_LE(shardWrites, shards);
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

    // Up to kTasks idle machines of distinct shards, each with the index of the task to place there.
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

// A gang of 16 tasks on 16 shards has more keys to compare than the 20 conditions (16 with four operations) allowed.
TEST_P(WideGangs, StartUnderLowLimits) {
    InMemoryStateStore store;
    load_production_state(store);
    config::StateLimits next = kAnnouncedLimits;
    next.transactionOperations = GetParam();
    UpgradedController a(store, next);
    a.upgrade_peer();
    a.round();
    ASSERT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    add_small_shards(a);
    store.enforce_limits(next);
    a.run_rounds(200);
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

    // The record of a machine is removed only long after the machine is gone, so its removal in the meantime proves
    // that the task placed there is terminated.
    const std::string lost = tasks[3].second->name;
    auto remove = a.core().new_transaction();
    ASSERT_TRUE(remove.remove_host(*tasks[3].second));
    ASSERT_TRUE(a.commit(remove).starts_with("ok"));
    EXPECT_TRUE(a.state().host(lost)->removed());
    a.run_rounds(20);
    EXPECT_EQ(job->task(3, a.state().chunk_size()).state, state::TaskState::open);
}

INSTANTIATE_TEST_SUITE_P(TransactionOperations, WideGangs, testing::Values(5, 4));

// If a write is rejected although it is within the announced limits, its key is skipped for a while and other changes
// continue.
TEST(Upgrade, RejectedKeyDoesNotBlockOtherChanges) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.upgrade_peer();
    a.run_rounds(80);
    a.core().handle_rejected_transaction({"ws/hosts/a/1"}, a.now());
    auto builder = a.core().new_transaction();
    ASSERT_TRUE(builder.mark_for_return("n-000001", "a", 1'000'300, false, "test"));
    EXPECT_TRUE(builder.empty()) << "the rejected key must be skipped";
    ASSERT_TRUE(builder.mark_for_return("n-000003", "a", 1'000'300, false, "test"));
    EXPECT_FALSE(builder.empty());
}

}  // namespace
