// Compatibility with the version in production: the present code reads what production stored, and until the layout
// switch it writes the same bytes, but for the values of fencing tokens.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "peers/packet.hpp"
#include "production_data.hpp"
#include "site_settings.hpp"
#include "state/fencing_tokens.hpp"
#include "stored_story.hpp"
#include "upgrade_fixture.hpp"

using namespace wellstair;
using namespace wellstair::test;

namespace {

// Replaces the fencing tokens by those that production wrote in the same places, which they must exceed. Each token of
// production must stand for one of ours.
class TokenSubstitution {
  public:
    void substitute(const std::string& path, wire::Json& written, const wire::Json& stored) {
        constexpr std::size_t kTokenInHost = 2, kHostInTask = 2, kTokenInTask = 3;
        if (path.starts_with("ws/hosts/"))
            for (std::size_t i = 0; i < written["h"].size(); ++i)
                replace(written["h"][i][0], written["h"][i][kTokenInHost], stored["h"].at(i)[kTokenInHost]);
        if (path.starts_with("ws/steps/"))
            for (std::size_t i = 0; i < written["e"].size(); ++i)
                if (written["e"][i].size() > kTokenInTask)
                    replace(written["e"][i][kHostInTask], written["e"][i][kTokenInTask],
                            stored["e"].at(i).at(kTokenInTask));
    }

  private:
    void replace(const std::string& host, wire::Json& written, const wire::Json& stored) {
        const auto ours = written.get<std::uint64_t>(), theirs = stored.get<std::uint64_t>();
        EXPECT_EQ(ours > 0, theirs > 0) << host;
        if (theirs > 0) {
            EXPECT_GT(ours, theirs) << host;
            EXPECT_EQ(ours % state::kTokensPerRegistration, 0u) << host;
        }
        EXPECT_EQ(ours_.try_emplace({host, theirs}, ours).first->second, ours) << host;
        written = stored;
    }

    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> ours_;  // by host and production's token
};

TEST(Upgrade, WritesTheSameBytesAsProductionButForFencingTokensBeforeLayoutSwitch) {
    config::Settings settings = site_settings();
    settings.nextStateLimits = kAnnouncedLimits;
    StoredStory story(settings, [](const controller::Core& core, const config::Settings&) {
        wire::Json data = core.member_data().encode();
        EXPECT_EQ(data["v"], state::kLayoutWithSplitShards);
        data.erase("v");  // production ignores this field, and a member record without it prevents the layout switch
        return data;
    });
    auto written = story.tell();
    auto stored = production_state();
    ASSERT_EQ(written.size(), stored.size());
    // The order within a transaction is not significant.
    auto byRevisionAndPath = [](const auto& a, const auto& b) {
        return std::tie(a.revision, a.path) < std::tie(b.revision, b.path);
    };
    std::sort(written.begin(), written.end(), byRevisionAndPath);
    std::sort(stored.begin(), stored.end(), byRevisionAndPath);
    TokenSubstitution tokens;
    for (std::size_t i = 0; i < stored.size(); ++i) {
        EXPECT_EQ(written[i].path, stored[i].path);
        EXPECT_EQ(written[i].revision, stored[i].revision) << stored[i].path;
        ASSERT_EQ(written[i].data.has_value(), stored[i].data.has_value()) << stored[i].path;
        if (stored[i].data) {
            tokens.substitute(stored[i].path, *written[i].data, *stored[i].data);
            EXPECT_EQ(written[i].data->dump(), stored[i].data->dump()) << stored[i].path;
        }
    }
}

TEST(Upgrade, ReadsProductionState) {
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
    // Every kind of record encodes to the bytes that it was decoded from.
    for (const auto& [key, value] : store.keys()) {
        const std::string bytes = value.first.dump();
        if (key.starts_with("ws/hosts/")) {
            auto hosts = state::decode_shard(value.first);
            EXPECT_EQ(state::encode_shard(hosts).dump(), bytes);
            state::ShardSize size;
            for (const auto& host : hosts) size.add(host);
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

TEST(Upgrade, PeerPacketMatchesProduction) {
    const std::string stored = production_packet();
    EXPECT_EQ(peers::pack(StoredStory::peerStatus()), stored);
    auto peerStatus = peers::unpack(stored);
    ASSERT_TRUE(peerStatus);
    EXPECT_EQ(peerStatus->member, "stairhost-1");
    EXPECT_EQ(peerStatus->cancelled.size(), 2u);
}

}  // namespace
