// A job of 100,000 tasks within the state service's limits: every transaction small enough, and done as ranges.
#include <gtest/gtest.h>

#include "controller/core.hpp"
#include "in_memory_state_store.hpp"

using namespace wellstair;

namespace {

TEST(Scale, AJobOfAHundredThousandTasks) {
    config::Settings settings;
    settings.member = "a", settings.location = "a";
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.heartbeatIntervalS = 3, settings.leaseS = 20, settings.cancelS = 45;
    settings.valueKb = 8, settings.transactionOperations = 16;
    controller::Core core(settings, {}, 1);
    test::InMemoryStateStore store;
    double wall = 1'000'000;
    auto sync = [&] {
        for (const auto& c : store.log)
            if (c.revision > core.state().revision())
                core.state().apply(c.path, c.data ? &*c.data : nullptr, c.revision, wall);
        core.state().advance(store.revision);
        store.log.clear();
    };
    std::size_t largestTransaction = 0, largestValue = 0;
    auto commit = [&](const state::TransactionBuilder& builder) {
        auto transaction = builder.build();
        largestTransaction = std::max(largestTransaction, transaction.body.dump().size());
        int writes = 0;
        for (const auto& op : transaction.body["apply"]) {
            ++writes;
            if (op.contains("data")) largestValue = std::max(largestValue, op["data"].dump().size());
        }
        EXPECT_EQ(writes, transaction.writes);
        EXPECT_LE(writes, settings.transactionOperations);
        EXPECT_LE(transaction.body["when"].size(), 4u * settings.transactionOperations);
        ASSERT_TRUE(store.commit(transaction.body).starts_with("ok"));
        sync();
    };
    auto put = [&](const std::string& path, wire::Json data) {
        wire::Json set;
        set["set"] = path;
        set["data"] = std::move(data);
        wire::Json transaction;
        transaction["when"] = wire::Json::array();
        transaction["apply"].push_back(std::move(set));
        ASSERT_TRUE(store.commit(transaction).starts_with("ok"));
    };
    wire::Json type = {{"sku", "big"},     {"cores", 200}, {"gpus", 0},      {"ramGb", 400},  {"cacheGb", 50},
                       {"fetchGbPerS", 1}, {"rate", 1},    {"startupS", 20}, {"halls", {"a"}}};
    wire::Json types;
    types["builds"].push_back(type);
    put("ws/types", types);
    put("ws/members/a", {{"inc", 1}});
    state::HostEntry entry;
    entry.name = "n-1", entry.leader = "a", entry.incarnation = 1, entry.fencingToken = 3, entry.machineType = "big";
    put(core.state().shard_of("n-1", "a").key, state::encode_shard({entry}));
    sync();
    core.set_state_ready(true);
    core.set_availability(state::Availability::serving, {});

    wire::JobSpec spec;
    spec.id = "j-1", spec.jobClass = "work", spec.team = "blue", spec.image = "img";
    spec.taskCount = 100000, spec.cores = 1, spec.ramGb = 1, spec.estimatedDurationS = 10;
    auto builder = core.new_transaction();
    ASSERT_TRUE(builder.submit(spec, "a", 1'000'000));
    commit(builder);
    auto* job = core.state().job("j-1");
    ASSERT_TRUE(job);

    // All tasks run to their end, a transaction's worth at a time, on one machine. The next round's placements are
    // taken back by hand-made ends, as a leader would after its proofs.
    auto* host = core.state().host("n-1");
    std::uint32_t next = 0;
    while (job->done < spec.taskCount) {
        auto place = core.new_transaction();
        std::uint32_t first = next;
        while (next < spec.taskCount && next - first < 400 && place.place(*job, {{next, host}}, 1, 1'000'000)) ++next;
        ASSERT_GT(next, first);
        commit(place);
        while (job->placed > 0) {
            auto clear = core.new_transaction();
            auto placed = host->placed;
            bool any = false;
            for (const auto& ref : placed) {
                if (!clear.release_task(*job, ref.index, state::TaskState::done)) break;
                any = true;
            }
            ASSERT_TRUE(any);
            commit(clear);
        }
    }
    EXPECT_LE(largestTransaction, 64u * 1024);
    EXPECT_LE(largestValue, 8u * 1024);

    // Its end is one transaction; the chunks left behind are swept in later ones.
    auto finish = core.new_transaction();
    ASSERT_TRUE(finish.finish(*job, state::JobState::done));
    commit(finish);
    ASSERT_TRUE(core.state().final("j-1"));
    EXPECT_EQ(core.state().orphaned_chunks().size(), 4000u);
    while (!core.state().orphaned_chunks().empty()) {
        auto garbage_collect = core.new_transaction();
        for (const auto& [path, revision] : core.state().orphaned_chunks())
            if (!garbage_collect.garbage_collect(path, revision)) break;
        commit(garbage_collect);
    }
    EXPECT_EQ(store.revision_of("ws/steps/j-1/0"), 0u);
    EXPECT_EQ(core.state().teams().at("blue").total.cores, 0);
}

// A user's repeats in one batch, or two reasons to return one machine, must not write a key twice in a transaction:
// what the state service makes of that is not said.
TEST(Scale, AKeyIsWrittenOnceInATransaction) {
    config::Settings settings;
    settings.member = "a";
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.heartbeatIntervalS = 3, settings.leaseS = 20, settings.valueKb = 8, settings.transactionOperations = 16;
    controller::Core core(settings, {}, 1);
    wire::JobSpec spec;
    spec.id = "j-1", spec.jobClass = "work", spec.team = "blue", spec.image = "img", spec.taskCount = 1;
    wire::Heartbeat heartbeat;
    heartbeat.host = "n-1";
    auto builder = core.new_transaction();
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(builder.submit(spec, "a", 0));
        EXPECT_TRUE(builder.acquire(heartbeat, "a", 1));
        EXPECT_TRUE(builder.mark_for_return("n-2", "a", 0, false, "surplus"));
    }
    EXPECT_EQ(builder.writes(), 4);
    std::set<std::string> paths;
    auto transaction = builder.build();
    for (const auto& op : transaction.body["apply"]) EXPECT_TRUE(paths.insert(op["set"]).second) << op["set"];
}

// Many teams in one transaction, each of which deals its parts of the limit anew with its second job: the keys that
// this writes count, too. Left out, the state service refused such a transaction as too large, again and again.
TEST(Scale, DealingTeamLimitsAnewFitsTheTransaction) {
    config::Settings settings;
    settings.member = "a", settings.location = "a";
    settings.members = {{"b", "a", {}}};
    settings.heartbeatIntervalS = 5, settings.leaseS = 29, settings.cancelS = 54;
    settings.valueKb = 8, settings.transactionOperations = 16;
    const int teams = 10;
    for (int i = 0; i < teams; ++i) settings.teams.push_back({"team-" + std::to_string(i), 0, 100, 0, 0});
    controller::Core core(settings, {}, 1);
    std::uint64_t revision = 0;
    auto apply = [&](const std::string& path, const wire::Json& data) {
        core.state().apply(path, &data, ++revision, 0);
        core.state().advance(revision);
    };
    state::HostEntry host;
    host.name = "n-1", host.leader = "a", host.incarnation = 1, host.fencingToken = 1, host.machineType = "big";
    apply(core.state().shard_of("n-1", "a").key, state::encode_shard({host}));
    wire::JobSpec spec;
    spec.jobClass = "work", spec.image = "img", spec.taskCount = 1, spec.cores = 10, spec.estimatedDurationS = 10;
    for (int i = 0; i < 2 * teams; ++i) {
        spec.id = "j-" + std::to_string(i), spec.team = "team-" + std::to_string(i % teams);
        apply("ws/jobs/" + spec.id, {{"s", to_json(spec)}, {"at", 0}});
        apply("ws/active/" + spec.id, {{"o", "a"}});
    }
    // Room for one job in the part of each team.
    for (int i = 0; i < teams; ++i)
        apply("ws/teams/team-" + std::to_string(i),
              {{"a", wire::Json::array({10000, 0})}, {"b", wire::Json::array({0, 0})}});
    auto builder = core.new_transaction();
    int placed = 0;
    for (int i = 0; i < 2 * teams; ++i)
        placed += builder.place(*core.state().job("j-" + std::to_string(i)), {{0, core.state().host("n-1")}}, 1, 0);
    EXPECT_GT(placed, teams);
    EXPECT_LE(builder.build().body["apply"].size(), static_cast<std::size_t>(settings.transactionOperations));
}

}  // namespace
