// The switch of the layout in an upgrade: it waits for all members, and old processes and late transactions do no harm.
#include <gtest/gtest.h>

#include "production_data.hpp"
#include "upgrade_fixture.hpp"

using namespace wellstair;
using namespace wellstair::test;

namespace {

TEST(Upgrade, TheSwitchWaitsForAllMembers) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.run_rounds(20);
    EXPECT_EQ(a.state().layout_revision(), 0u) << "b still runs production";
    EXPECT_GT(a.largest_value(), kAnnouncedLimits.value_bytes()) << "no shard is split before the switch";
    a.upgrade_peer();
    a.run_rounds(1);
    EXPECT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    a.run_rounds(60);
    EXPECT_LE(a.largest_value(), kAnnouncedLimits.value_bytes());
}

// Without state.next nothing changes, whoever runs.
TEST(Upgrade, NoSwitchWithoutAnnouncedLimits) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store, std::nullopt);
    a.upgrade_peer();
    a.run_rounds(40);
    EXPECT_EQ(a.state().layout_revision(), 0u);
    EXPECT_GT(a.largest_value(), kAnnouncedLimits.value_bytes());
    EXPECT_EQ(a.core().state_limits(), (config::StateLimits{8, 50, 16}));
}

// A process that comes back old replaces its member record: the switch decided before does not apply. And what an old
// process sent before its end fails on its own member record.
TEST(Upgrade, TheSwitchAndLateTransactionsExcludeOneAnother) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    a.upgrade_peer();
    wire::Json decided = a.core().round(a.now()).build().body;
    ASSERT_EQ(decided["apply"][0]["set"], "ws/layout");
    a.put("ws/members/b", state::MemberData{23, "b", 0}.encode());
    EXPECT_TRUE(store.commit(decided).starts_with("conflict ws/members/b"));

    // b's last transaction, on its way while b is replaced by a new process and the switch is made.
    const std::uint64_t shard = store.revision_of("ws/hosts/a/1");
    wire::Json late;
    late["when"] = {{{"path", "ws/members/b"}, {"stamp", store.revision_of("ws/members/b")}},
                    {{"path", "ws/hosts/a/1"}, {"stamp", shard}}};
    late["apply"] = {{{"set", "ws/hosts/a/1"}, {"data", store.keys().at("ws/hosts/a/1").first}}};
    a.upgrade_peer(24);
    a.run_rounds(3);
    ASSERT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    EXPECT_TRUE(store.commit(late).starts_with("conflict ws/members/b"));
}

// A process that knows nothing of split shards and lower limits comes back after the switch (here the present code
// without state.next, which like production never splits). It reads every machine and takes them over where they stand,
// large transactions of its are refused, and a new process then goes on.
TEST(Upgrade, AnOldProcessAfterTheSwitchDoesNoHarm) {
    InMemoryStateStore store;
    load_production_state(store);
    {
        UpgradedController before(store);
        before.upgrade_peer();
        before.run_rounds(80);
    }
    const std::size_t machines = machines_in(store).size();
    for (bool fallen : {false, true}) {
        if (fallen) store.enforce_limits(kAnnouncedLimits);
        UpgradedController old(store, std::nullopt, fallen ? 61 : 60);
        old.put("ws/members/a", state::MemberData{fallen ? 61u : 60u, "a", 0}.encode());
        old.run_rounds(80);
        EXPECT_EQ(machines_in(store).size(), machines);
        for (const auto& [name, host] : machines_in(store)) {
            EXPECT_EQ(old.state().host(name)->leader, host.leader) << name;
        }
        EXPECT_TRUE(store.revision_of("ws/layout")) << "the switch stays";
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
