// What production stored is read by the present code, and until the switch of the layout the present code writes the
// same bytes.
#include <gtest/gtest.h>

#include <algorithm>
#include <tuple>

#include "peers/packet.hpp"
#include "production_data.hpp"
#include "site_settings.hpp"
#include "stored_story.hpp"
#include "upgrade_fixture.hpp"

using namespace wellstair;
using namespace wellstair::test;

namespace {

TEST(Upgrade, WritesTheSameBytesAsProductionBeforeTheSwitch) {
    config::Settings settings = site_settings();
    settings.nextStateLimits = kAnnouncedLimits;
    StoredStory story(settings, [](const controller::Core& core, const config::Settings&) {
        wire::Json data = core.member_data().encode();
        EXPECT_EQ(data["v"], state::kLayoutWithSplitShards);
        data.erase("v");  // production ignores it, and members that do not have it keep the switch away
        return data;
    });
    auto now = story.tell();
    auto kept = production_state();
    ASSERT_EQ(now.size(), kept.size());
    // Within a transaction the order says nothing.
    auto earlier = [](const auto& a, const auto& b) {
        return std::tie(a.revision, a.path) < std::tie(b.revision, b.path);
    };
    std::sort(now.begin(), now.end(), earlier);
    std::sort(kept.begin(), kept.end(), earlier);
    for (std::size_t i = 0; i < kept.size(); ++i) {
        EXPECT_EQ(now[i].path, kept[i].path);
        EXPECT_EQ(now[i].revision, kept[i].revision) << kept[i].path;
        ASSERT_EQ(now[i].data.has_value(), kept[i].data.has_value()) << kept[i].path;
        if (kept[i].data) {
            EXPECT_EQ(now[i].data->dump(), kept[i].data->dump()) << kept[i].path;
        }
    }
}

TEST(Upgrade, ReadsAllThatProductionStored) {
    InMemoryStateStore store;
    load_production_state(store);
    UpgradedController a(store);
    state::StateCache& state = a.state();
    EXPECT_EQ(state.machine_types().size(), 2u);
    EXPECT_EQ(state.members().at("b").incarnation, 12u);
    EXPECT_EQ(state.members().at("b").layout, 0u);
    EXPECT_EQ(machines_in(store).size(), 400u);
    EXPECT_EQ(state.host("n-000400")->leader, "a");
    EXPECT_EQ(state.host("n-000400")->incarnation, 11u);
    EXPECT_EQ(state.host("n-000400")->fencingToken, 3u);
    EXPECT_EQ(state.host("n-000007")->returnState, state::ReturnState::marked);
    EXPECT_TRUE(state.host("n-000008")->gone());
    EXPECT_EQ(state.outcome("j-short")->state, state::JobState::done);
    EXPECT_EQ(state.job("j-batch")->done, 5u);
    EXPECT_EQ(state.job("j-batch")->placed, 25u);
    EXPECT_EQ(state.job("j-cancelled")->state, state::JobState::cancelled);
    EXPECT_EQ(state.job("j-gang")->stopAttempt, 1u);
    EXPECT_EQ(state.teams().at("red").total.cores, 16000);
    EXPECT_EQ(state.teams().at("red").shares.at("a").cores, 208000);
    EXPECT_EQ(state.cloud_role_holder(), "a");
    EXPECT_EQ(state.layout_revision(), 0u);
    // Each kind of record is written again as it was read.
    for (const auto& [key, value] : store.keys()) {
        const std::string bytes = value.first.dump();
        if (key.starts_with("ws/hosts/")) {
            auto hosts = state::decode_shard(value.first);
            EXPECT_EQ(state::encode_shard(hosts).dump(), bytes);
            state::ShardSize size;
            for (const auto& h : hosts) size.add(h);
            EXPECT_GE(size.bytes(), bytes.size()) << key;
            EXPECT_LE(size.bytes(), bytes.size() + hosts.size()) << key;
        } else if (key.starts_with("ws/steps/")) {
            auto chunk = state::ChunkRecord::decode(value.first);
            EXPECT_EQ(chunk.encode().dump(), bytes);
            EXPECT_GE(chunk.size_bound(), bytes.size()) << key;
        } else if (key.starts_with("ws/active/")) {
            EXPECT_EQ(state::ActiveRecord::decode(value.first).encode().dump(), bytes);
        } else if (key.starts_with("ws/teams/")) {
            EXPECT_EQ(state::encode_quota_shares(state::decode_quota_shares(value.first)).dump(), bytes);
        } else if (key == "ws/members/b") {
            EXPECT_EQ(state::MemberData::decode(value.first).encode().dump(), bytes);
        }
    }
}

TEST(Upgrade, PacketsStayAsTheyAre) {
    const std::string kept = production_packet();
    EXPECT_EQ(peers::pack(StoredStory::peerStatus()), kept);
    auto peerStatus = peers::unpack(kept);
    ASSERT_TRUE(peerStatus);
    EXPECT_EQ(peerStatus->member, "stairhost-1");
    EXPECT_EQ(peerStatus->cancelled.size(), 2u);
}

}  // namespace
