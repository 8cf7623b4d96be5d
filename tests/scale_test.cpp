// A job of 100,000 tasks within the state service's limits: every transaction small enough, and done as ranges.
#include <gtest/gtest.h>

#include "controller/core.hpp"
#include "world.hpp"

using namespace wellstair;

namespace {

TEST(Scale, AJobOfAHundredThousandTasks) {
    app::Settings settings;
    settings.member = "a", settings.location = "a";
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.reportS = 3, settings.leaseS = 20, settings.cancelS = 45;
    settings.valueKb = 8, settings.txnOps = 16;
    controller::Core core(settings, {}, 1);
    test::Store store;
    double wall = 1'000'000;
    auto sync = [&] {
        for (const auto& c : store.log)
            if (c.stamp > core.view().epoch()) core.view().apply(c.path, c.data ? &*c.data : nullptr, c.stamp, wall);
        core.view().advance(store.epoch);
        store.log.clear();
    };
    std::size_t largestTxn = 0, largestValue = 0;
    auto commit = [&](const controller::Draft& draft) {
        auto txn = draft.build();
        largestTxn = std::max(largestTxn, txn.body.dump().size());
        int writes = 0;
        for (const auto& op : txn.body["apply"]) {
            ++writes;
            if (op.contains("data")) largestValue = std::max(largestValue, op["data"].dump().size());
        }
        EXPECT_EQ(writes, txn.writes);
        EXPECT_LE(writes, settings.txnOps);
        EXPECT_LE(txn.body["when"].size(), 4u * settings.txnOps);
        ASSERT_TRUE(store.commit(txn.body).starts_with("ok"));
        sync();
    };
    auto put = [&](const std::string& path, wire::Json data) {
        wire::Json set;
        set["set"] = path;
        set["data"] = std::move(data);
        wire::Json txn;
        txn["when"] = wire::Json::array();
        txn["apply"].push_back(std::move(set));
        ASSERT_TRUE(store.commit(txn).starts_with("ok"));
    };
    wire::Json type = {{"sku", "big"},     {"cores", 200}, {"gpus", 0},      {"ramGb", 400},  {"cacheGb", 50},
                       {"fetchGbPerS", 1}, {"rate", 1},    {"startupS", 20}, {"halls", {"a"}}};
    wire::Json types;
    types["builds"].push_back(type);
    put("ws/types", types);
    put("ws/members/a", {{"inc", 1}});
    model::HostEntry entry;
    entry.name = "n-1", entry.keeper = "a", entry.incarnation = 1, entry.baton = 3, entry.build = "big";
    put(core.view().range_of("n-1", "a").key, model::encode_range({entry}));
    sync();
    core.set_view_ready(true);
    core.set_member_state(model::MemberState::live, {});

    wire::JobSpec spec;
    spec.ref = "j-1", spec.lane = "work", spec.crew = "blue", spec.bundle = "img";
    spec.steps = 100000, spec.cores = 1, spec.ramGb = 1, spec.expectS = 10;
    auto draft = core.new_draft();
    ASSERT_TRUE(draft.submit(spec, "a", 1'000'000));
    commit(draft);
    auto* job = core.view().job("j-1");
    ASSERT_TRUE(job);

    // All tasks run to their end, a transaction's worth at a time, on one machine. The next round's placements are
    // taken back by hand-made ends, as a keeper would after its proofs.
    auto* host = core.view().host("n-1");
    std::uint32_t next = 0;
    while (job->done < spec.steps) {
        auto place = core.new_draft();
        std::uint32_t first = next;
        while (next < spec.steps && next - first < 400 && place.place(*job, {{next, host}}, 1, 1'000'000)) ++next;
        ASSERT_GT(next, first);
        commit(place);
        while (job->placed > 0) {
            auto clear = core.new_draft();
            auto placed = host->placed;
            bool any = false;
            for (const auto& ref : placed) {
                if (!clear.clear(*job, ref.index, model::StepState::done)) break;
                any = true;
            }
            ASSERT_TRUE(any);
            commit(clear);
        }
    }
    EXPECT_LE(largestTxn, 64u * 1024);
    EXPECT_LE(largestValue, 8u * 1024);

    // Its end is one transaction; the chunks left behind are swept in later ones.
    auto finish = core.new_draft();
    ASSERT_TRUE(finish.finish(*job, model::JobState::done));
    commit(finish);
    ASSERT_TRUE(core.view().final("j-1"));
    EXPECT_EQ(core.view().leftovers().size(), 4000u);
    while (!core.view().leftovers().empty()) {
        auto sweep = core.new_draft();
        for (const auto& [path, stamp] : core.view().leftovers())
            if (!sweep.sweep(path, stamp)) break;
        commit(sweep);
    }
    EXPECT_EQ(store.stamp("ws/steps/j-1/0"), 0u);
    EXPECT_EQ(core.view().teams().at("blue").total.cores, 0);
}

// A user's repeats in one batch, or two reasons to return one machine, must not write a key twice in a transaction:
// what the state service makes of that is not said.
TEST(Scale, AKeyIsWrittenOnceInATransaction) {
    app::Settings settings;
    settings.member = "a";
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.reportS = 3, settings.leaseS = 20, settings.valueKb = 8, settings.txnOps = 16;
    controller::Core core(settings, {}, 1);
    wire::JobSpec spec;
    spec.ref = "j-1", spec.lane = "work", spec.crew = "blue", spec.bundle = "img", spec.steps = 1;
    wire::Report report;
    report.host = "n-1";
    auto draft = core.new_draft();
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(draft.submit(spec, "a", 0));
        EXPECT_TRUE(draft.claim(report, "a", 1));
        EXPECT_TRUE(draft.mark_return("n-2", "a", 0, false, "surplus"));
    }
    EXPECT_EQ(draft.writes(), 4);
    std::set<std::string> paths;
    auto txn = draft.build();
    for (const auto& op : txn.body["apply"]) EXPECT_TRUE(paths.insert(op["set"]).second) << op["set"];
}

// Many teams in one transaction, each of which deals its parts of the limit anew with its second job: the keys that
// this writes count, too. Left out, the state service refused such a transaction as too large, again and again.
TEST(Scale, DealingTeamLimitsAnewFitsTheTransaction) {
    app::Settings settings;
    settings.member = "a", settings.location = "a";
    settings.members = {{"b", "a", {}}};
    settings.reportS = 5, settings.leaseS = 29, settings.cancelS = 54;
    settings.valueKb = 8, settings.txnOps = 16;
    const int teams = 10;
    for (int i = 0; i < teams; ++i) settings.teams.push_back({"team-" + std::to_string(i), 0, 100, 0, 0});
    controller::Core core(settings, {}, 1);
    std::uint64_t epoch = 0;
    auto apply = [&](const std::string& path, const wire::Json& data) {
        core.view().apply(path, &data, ++epoch, 0);
        core.view().advance(epoch);
    };
    model::HostEntry host;
    host.name = "n-1", host.keeper = "a", host.incarnation = 1, host.baton = 1, host.build = "big";
    apply(core.view().range_of("n-1", "a").key, model::encode_range({host}));
    wire::JobSpec spec;
    spec.lane = "work", spec.bundle = "img", spec.steps = 1, spec.cores = 10, spec.expectS = 10;
    for (int i = 0; i < 2 * teams; ++i) {
        spec.ref = "j-" + std::to_string(i), spec.crew = "team-" + std::to_string(i % teams);
        apply("ws/jobs/" + spec.ref, {{"s", to_json(spec)}, {"at", 0}});
        apply("ws/active/" + spec.ref, {{"o", "a"}});
    }
    // Room for one job in the part of each team.
    for (int i = 0; i < teams; ++i)
        apply("ws/teams/team-" + std::to_string(i),
              {{"a", wire::Json::array({10000, 0})}, {"b", wire::Json::array({0, 0})}});
    auto draft = core.new_draft();
    int placed = 0;
    for (int i = 0; i < 2 * teams; ++i)
        placed += draft.place(*core.view().job("j-" + std::to_string(i)), {{0, core.view().host("n-1")}}, 1, 0);
    EXPECT_GT(placed, teams);
    EXPECT_LE(draft.build().body["apply"].size(), static_cast<std::size_t>(settings.txnOps));
}

}  // namespace
