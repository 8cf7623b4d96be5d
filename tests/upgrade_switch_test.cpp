// The layout switch in an upgrade: it waits for all members, and old processes and late transactions cannot corrupt the
// state.
#include <gtest/gtest.h>

#include "production_data.hpp"
#include "upgrade_fixture.hpp"

using namespace wellstair;
using namespace wellstair::test;

namespace {

TEST(Upgrade, LayoutSwitchWaitsForAllMembers) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.run_rounds(20);
    EXPECT_EQ(a.state().layout_revision(), 0u) << "the layout was switched while b runs the version in production";
    EXPECT_GT(a.largest_value(), kAnnouncedLimits.value_bytes()) << "a shard was split before the layout switch";
    a.upgrade_peer();
    a.run_rounds(1);
    EXPECT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    a.run_rounds(60);
    EXPECT_LE(a.largest_value(), kAnnouncedLimits.value_bytes());
}

// Without announced limits (setting state.next) the layout is not switched, even when all members could.
TEST(Upgrade, NoLayoutSwitchWithoutAnnouncedLimits) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store, std::nullopt);
    a.upgrade_peer();
    a.run_rounds(40);
    EXPECT_EQ(a.state().layout_revision(), 0u);
    EXPECT_GT(a.largest_value(), kAnnouncedLimits.value_bytes());
    EXPECT_EQ(a.core().state_limits(), (config::StateLimits{8, 50, 16}));
}

// A process that restarts as the old version replaces its member record, so a layout switch planned before conflicts.
// Conversely, a transaction of an old process that arrives after the switch conflicts on that process's member record.
TEST(Upgrade, LayoutSwitchAndLateTransactionsConflict) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.upgrade_peer();
    wire::Json layoutSwitch = a.core().round(a.now()).build().body;
    ASSERT_EQ(layoutSwitch["apply"][0]["set"], "ws/layout");
    a.put("ws/members/b", state::MemberData{23, "b", 0}.encode());
    EXPECT_TRUE(store.commit(layoutSwitch).starts_with("conflict ws/members/b"));

    // The last transaction of b is in flight while b is replaced by a new process and the layout is switched.
    const std::uint64_t shardRevision = store.revision_of("ws/hosts/a/1");
    wire::Json lateTransaction;
    lateTransaction["when"] = {{{"path", "ws/members/b"}, {"stamp", store.revision_of("ws/members/b")}},
                               {{"path", "ws/hosts/a/1"}, {"stamp", shardRevision}}};
    lateTransaction["apply"] = {{{"set", "ws/hosts/a/1"}, {"data", store.keys().at("ws/hosts/a/1").first}}};
    a.upgrade_peer(24);
    a.run_rounds(3);
    ASSERT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    EXPECT_TRUE(store.commit(lateTransaction).starts_with("conflict ws/members/b"));
}

// A process without support for split shards and lowered limits starts after the layout switch. It is the present code
// without state.next, which like the version in production never splits. It must read all machines, take them over in
// their present shards, and have its large transactions rejected. A new process must then be able to continue.
TEST(Upgrade, OldProcessAfterLayoutSwitchKeepsAllMachines) {
    InMemoryStateStore store;
    load_production_state(store);
    {
        UpgradedController switching(store);
        switching.upgrade_peer();
        switching.run_rounds(80);
    }
    const std::size_t machines = machines_in(store).size();
    for (bool limitsLowered : {false, true}) {
        if (limitsLowered) store.enforce_limits(kAnnouncedLimits);
        UpgradedController old(store, std::nullopt, limitsLowered ? 61 : 60);
        old.put("ws/members/a", state::MemberData{limitsLowered ? 61u : 60u, "a", 0}.encode());
        old.run_rounds(80);
        EXPECT_EQ(machines_in(store).size(), machines);
        for (const auto& [name, host] : machines_in(store)) {
            EXPECT_EQ(old.state().host(name)->leader, host.leader) << name;
        }
        EXPECT_TRUE(store.revision_of("ws/layout")) << "the layout record was removed";
    }
    UpgradedController next(store, kAnnouncedLimits, 62);
    next.run_rounds(80);
    EXPECT_LE(next.largest_value(), kAnnouncedLimits.value_bytes());
    for (const auto& [name, host] : machines_in(store))
        if (host.returnState != state::ReturnState::gone) {
            EXPECT_EQ(host.incarnation, 62u) << name;
        }
}

}  // namespace
