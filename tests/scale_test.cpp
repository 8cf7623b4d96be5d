// Jobs and teams at the limits of the state service: every transaction stays within the limits and writes each key
// once.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "controller/core.hpp"
#include "in_memory_state_store.hpp"

using namespace wellstair;

namespace {

constexpr std::uint32_t kTasks = 100000;
constexpr std::size_t kTransactionBytes = 64 * 1024;
constexpr std::size_t kValueBytes = 8 * 1024;

config::Settings scale_settings() {
    config::Settings settings;
    settings.member = "a";
    settings.location = "a";
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.heartbeatIntervalS = 3;
    settings.leaseS = 20;
    settings.cancelS = 45;
    settings.valueKb = 8;
    settings.transactionOperations = 16;
    return settings;
}

// One controller with one machine of 200 cores; records the largest transaction and value that it commits.
class LargeJobRun {
  public:
    void start() {
        wire::Json type = {{"sku", "big"},     {"cores", 200}, {"gpus", 0},      {"ramGb", 400},  {"cacheGb", 50},
                           {"fetchGbPerS", 1}, {"rate", 1},    {"startupS", 20}, {"halls", {"a"}}};
        wire::Json types;
        types["builds"].push_back(type);
        put("ws/types", types);
        put("ws/members/a", {{"inc", 1}});
        state::HostEntry entry;
        entry.name = "n-1", entry.leader = "a", entry.incarnation = 1, entry.fencingToken = 3,
        entry.machineType = "big";
        put(core.state().shard_of("n-1", "a").key, state::encode_shard({entry}));
        sync();
        core.set_state_ready(true);
        core.set_availability(state::Availability::serving, {});
    }

    // Reads all changes and drops them from the log to save memory.
    void sync() {
        constexpr double kWallS = 1'000'000;
        test::read_changes(store, core.state(), kWallS);
        store.log.clear();
    }

    // Checks that the transaction is within the limits and commits it.
    void commit(const state::TransactionBuilder& builder) {
        auto transaction = builder.build();
        largestTransaction = std::max(largestTransaction, transaction.body.dump().size());
        int writes = 0;
        for (const auto& operation : transaction.body["apply"]) {
            ++writes;
            if (operation.contains("data")) largestValue = std::max(largestValue, operation["data"].dump().size());
        }
        EXPECT_EQ(writes, transaction.writes);
        EXPECT_LE(writes, settings.transactionOperations);
        EXPECT_LE(transaction.body["when"].size(), 4u * settings.transactionOperations);
        ASSERT_TRUE(store.commit(transaction.body).starts_with("ok"));
        sync();
    }

    void put(const std::string& path, wire::Json data) {
        wire::Json set;
        set["set"] = path;
        set["data"] = std::move(data);
        wire::Json transaction;
        transaction["when"] = wire::Json::array();
        transaction["apply"].push_back(std::move(set));
        ASSERT_TRUE(store.commit(transaction).starts_with("ok"));
    }

    void submit_job() {
        wire::JobSpec spec;
        spec.id = "j-1", spec.jobClass = "work", spec.team = "blue", spec.image = "img";
        spec.taskCount = kTasks, spec.cores = 1, spec.ramGb = 1, spec.estimatedDurationS = 10;
        auto builder = core.new_transaction();
        ASSERT_TRUE(builder.submit(spec, "a", 1'000'000));
        commit(builder);
    }

    // Places the next tasks on the machine, as many as fit into one transaction.
    void place_tasks(state::Job& job, std::uint32_t& next) {
        constexpr std::uint32_t kMaxTasksAtOnce = 400;
        auto* host = core.state().host("n-1");
        auto place = core.new_transaction();
        const std::uint32_t first = next;
        while (next < kTasks && next - first < kMaxTasksAtOnce && place.place(job, {{next, host}}, 1, 1'000'000))
            ++next;
        ASSERT_GT(next, first);
        commit(place);
    }

    // Marks all placed tasks as done, as a leader does once it has proof that they have ended.
    void complete_placed_tasks(state::Job& job) {
        auto* host = core.state().host("n-1");
        while (job.placed > 0) {
            auto release = core.new_transaction();
            const auto placed = host->placed;
            bool released = false;
            for (const auto& ref : placed) {
                if (!release.release_task(job, ref.index, state::TaskState::done)) break;
                released = true;
            }
            ASSERT_TRUE(released);
            commit(release);
        }
    }

    void collect_orphaned_chunks() {
        while (!core.state().orphaned_chunks().empty()) {
            auto collect = core.new_transaction();
            for (const auto& [path, revision] : core.state().orphaned_chunks())
                if (!collect.garbage_collect(path, revision)) break;
            commit(collect);
        }
    }

    const config::Settings settings = scale_settings();
    controller::Core core{settings, {}, 1};
    test::InMemoryStateStore store;
    std::size_t largestTransaction = 0;  // bytes
    std::size_t largestValue = 0;        // bytes
};

TEST(Scale, JobWithHundredThousandTasks) {
    LargeJobRun run;
    run.start();
    run.submit_job();
    controller::Core& core = run.core;
    auto* job = core.state().job("j-1");
    ASSERT_TRUE(job);
    std::uint32_t next = 0;
    while (job->done < kTasks && !testing::Test::HasFatalFailure()) {
        run.place_tasks(*job, next);
        run.complete_placed_tasks(*job);
    }
    EXPECT_LE(run.largestTransaction, kTransactionBytes);
    EXPECT_LE(run.largestValue, kValueBytes);

    // The job finishes in one transaction; its orphaned chunks are removed in later ones.
    auto finish = core.new_transaction();
    ASSERT_TRUE(finish.finish(*job, state::JobState::done));
    run.commit(finish);
    ASSERT_TRUE(core.state().outcome("j-1"));
    EXPECT_EQ(core.state().orphaned_chunks().size(), 4000u);
    run.collect_orphaned_chunks();
    EXPECT_EQ(run.store.revision_of("ws/steps/j-1/0"), 0u);
    EXPECT_EQ(core.state().teams().at("blue").total.cores, 0);
}

// Repeated submissions of a job in one batch, or two reasons to return the same machine, must not write a key twice in
// a transaction: the protocol does not define how the state service handles that.
TEST(Scale, KeyIsWrittenOnceInATransaction) {
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
    for (const auto& operation : transaction.body["apply"])
        EXPECT_TRUE(paths.insert(operation["set"]).second) << operation["set"];
}

// A transaction with jobs of many teams, where the second job of each team reassigns the team's quota shares. The keys
// written for the shares must count towards the limit; when they did not, the state service rejected the transaction as
// too large on every retry.
TEST(Scale, ReassigningQuotaSharesFitsTheTransaction) {
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
    // The share of each team has capacity for one job.
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
