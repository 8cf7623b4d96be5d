// Shards that exceed the announced limits are split. No machine or task may be lost, whenever a process crashes and
// whatever other processes read or register during the split.
#include <gtest/gtest.h>

#include <algorithm>

#include "production_data.hpp"
#include "site_settings.hpp"
#include "upgrade_fixture.hpp"

using namespace wellstair;
using namespace wellstair::test;

namespace {

TEST(Upgrade, SplitShardsKeepEveryMachineAndTask) {
    InMemoryStateStore store;
    load_production_state(store);
    const auto before = machines_in(store);
    UpgradedController a(store);
    const std::size_t tasks = placed_tasks(a.state());
    a.upgrade_peer();
    ASSERT_TRUE(a.round().starts_with("ok"));
    ASSERT_EQ(a.core().state_limits(), kAnnouncedLimits);
    // Splits without running rounds, which would also re-register the machines of the process that has ended.
    while (state::HostShard* large = oversized_shard(a.state())) {
        state::TransactionBuilder builder = a.core().new_transaction();
        ASSERT_TRUE(builder.split(*large)) << large->key;
        ASSERT_TRUE(a.commit(builder).starts_with("ok")) << large->key;
    }
    EXPECT_LE(a.largest_value(), kAnnouncedLimits.value_bytes());
    EXPECT_EQ(machines_in(store), before);
    EXPECT_EQ(placed_tasks(a.state()), tasks);
}

// A process may crash after any transaction; its successor continues from the store alone.
TEST(Upgrade, SplittingContinuesAfterACrashAtEachTransaction) {
    InMemoryStateStore store;
    load_production_state(store);
    const std::size_t machines = machines_in(store).size();
    std::size_t tasks = 0;
    {
        UpgradedController before(store);
        // n-000008 was returned to the cloud, so its tasks end.
        tasks = placed_tasks(before.state()) - before.state().host("n-000008")->placed.size();
    }
    std::uint64_t incarnation = 30;
    for (int transactions = 0; transactions < 60; ++transactions) {
        UpgradedController a(store, kAnnouncedLimits, ++incarnation);
        if (transactions == 0) a.upgrade_peer();
        a.run_rounds(1);  // then it crashes
        EXPECT_EQ(machines_in(store).size(), machines) << "after transaction " << transactions;
    }
    UpgradedController a(store, kAnnouncedLimits, ++incarnation);
    a.run_rounds(60);
    EXPECT_LE(a.largest_value(), kAnnouncedLimits.value_bytes());
    EXPECT_EQ(placed_tasks(a.state()), tasks);
    for (const auto& [name, host] : machines_in(store))
        if (host.returnState != state::ReturnState::gone) {
            EXPECT_EQ(host.incarnation, incarnation) << name;
        }
}

// A shard that the version in production has filled up to its size limit is split by its first change, in one
// transaction.
TEST(Upgrade, TheLargestShardIsSplitByItsFirstChange) {
    InMemoryStateStore store;
    std::vector<state::HostEntry> hosts;
    while (state::encode_shard(hosts).dump().size() < 8 * 1024 - 80) {
        state::HostEntry host;
        host.name = "n-" + std::to_string(1'000'000 + hosts.size());
        host.leader = "stairhost-" + std::to_string(hosts.size() % 5), host.incarnation = 0xfffffffffffff;
        host.fencingToken = 1'000'000, host.address = "10.100.100.100:10000", host.machineType = "c8";
        hosts.push_back(host);
    }
    UpgradedController setup(store);
    setup.put("ws/types", machine_types());
    setup.put("ws/hosts/a/3", state::encode_shard(hosts));
    setup.upgrade_peer();
    setup.round();
    store.enforce_limits(kAnnouncedLimits);
    auto builder = setup.core().new_transaction();
    ASSERT_TRUE(builder.mark_for_return(hosts[50].name, "a", 1'000'300, false, "test"));
    EXPECT_EQ(setup.commit(builder).substr(0, 2), "ok");
    EXPECT_EQ(machines_in(store).size(), hosts.size());
    EXPECT_EQ(machines_in(store).at(hosts[50].name).returnState, state::ReturnState::marked);
}

// After a split, new machines are still registered in the original shard. Two processes that register the same machine
// therefore write the same key and conflict, and the machine cannot end up in two shards.
TEST(Upgrade, ConcurrentRegistrationsOfAMachineConflict) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.upgrade_peer();
    a.run_rounds(80);
    wire::Heartbeat heartbeat;
    heartbeat.host = "n-000403", heartbeat.address = "10.1.1.1:9000", heartbeat.machineType = "c8",
    heartbeat.zone = "a";
    auto first = a.core().new_transaction(), second = a.core().new_transaction();
    ASSERT_TRUE(first.acquire(heartbeat, "a", 21));
    ASSERT_TRUE(second.acquire(heartbeat, "b", 22));
    EXPECT_TRUE(store.commit(first.build().body).starts_with("ok"));
    EXPECT_TRUE(store.commit(second.build().body).starts_with("conflict ws/hosts/a/1"));
    machines_in(store);
}

// A reader that starts during a split may read the shard before the split and its parts after it, and then receives the
// split again from the watch.
TEST(Upgrade, ReaderThatStartsDuringASplitIsConsistent) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.upgrade_peer();
    a.round();
    const auto before = store.keys();
    const std::uint64_t revision = store.revision;
    state::HostShard* large = oversized_shard(a.state());
    ASSERT_TRUE(large);
    const std::string shard = large->key;
    auto builder = a.core().new_transaction();
    ASSERT_TRUE(builder.split(*large));
    ASSERT_TRUE(a.commit(builder).starts_with("ok"));

    const state::LayoutRecord layout = a.core().own_layout();
    for (bool shardFirst : {true, false}) {
        state::StateCache reader(layout.chunkSize, layout.shardWidth);
        auto read = [&](const auto& keys, const std::string& key) {
            reader.apply(key, &keys.at(key).first, keys.at(key).second, 0);
        };
        for (const auto& [key, value] : store.keys()) read(key == shard ? before : store.keys(), key);
        reader.advance(revision);
        std::vector<InMemoryStateStore::Change> changes;
        for (const auto& change : store.log)
            if (change.revision > revision) changes.push_back(change);
        if (!shardFirst) std::reverse(changes.begin(), changes.end());
        for (const auto& change : changes)
            reader.apply(change.path, change.data ? &*change.data : nullptr, change.revision, 0);
        reader.advance(store.revision);
        for (const auto& [name, host] : machines_in(store)) {
            auto* record = reader.host(name);
            ASSERT_TRUE(record && record->shard) << name;
            EXPECT_EQ(static_cast<state::HostEntry&>(*record), host) << name;
        }
    }
}

// Moving a machine to another shard is not a new registration: its observed state and its tasks are kept.
TEST(Upgrade, MovedMachineKeepsItsRegistration) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.upgrade_peer();
    a.round();
    int registered = 0, removed = 0;
    auto onRegistered = a.state().onRegistered;
    a.state().onRegistered = [&](state::HostRecord& host) { ++registered, onRegistered(host); };
    a.state().onRemoved = [&](state::HostRecord&) { ++removed; };
    const double registeredS = a.state().host("n-000400")->registeredS;
    while (state::HostShard* large = oversized_shard(a.state())) {
        auto builder = a.core().new_transaction();
        ASSERT_TRUE(builder.split(*large));
        a.commit(builder);
    }
    EXPECT_EQ(registered, 0);
    EXPECT_EQ(removed, 0);
    EXPECT_EQ(a.state().host("n-000400")->registeredS, registeredS);
    EXPECT_NE(a.state().host("n-000400")->shard->part, 0u);
}

}  // namespace
