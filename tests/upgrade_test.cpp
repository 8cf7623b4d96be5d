// Old and new versions on the same data: what production stored is read, before the switch the same bytes are written,
// the switch waits for all members, and what production stored stays movable whenever the limits fall.
#include <gtest/gtest.h>

#include <algorithm>
#include <tuple>

#include "peers/packet.hpp"
#include "production_data.hpp"
#include "stored_story.hpp"

using namespace wellstair;

namespace {

constexpr config::StateLimits kNext{2, 15, 5};

// A controller on production's data. Time passes by a quarter of a second a round.
class Upgraded {
  public:
    explicit Upgraded(test::InMemoryStateStore& store, std::optional<config::StateLimits> next = kNext,
                      std::uint64_t incarnation = 21)
        : store_(store) {
        settings_ = test::site_settings();
        settings_.member = "a", settings_.location = "a", settings_.members = {{"b", "b", {}}};
        settings_.teams = {{"red", 16, 400, 0, 0}, {"blue", 8, 0, 0, 0}};
        settings_.nextState = next;
        core_ = std::make_unique<controller::Core>(settings_, controller::Tunables{}, incarnation);
        sync();
        put("ws/members/a", core_->member_data().encode());
        core_->set_state_ready(true);
        core_->set_availability(state::Availability::serving, now());
    }

    controller::Core& core() { return *core_; }
    state::StateCache& state() { return core_->state(); }
    controller::Timestamp now() const { return {time_, 1'000'200 + time_}; }

    void put(const std::string& path, const wire::Json& data) {
        const auto limits = std::exchange(store_.limits, std::nullopt);  // another process's write
        wire::Json transaction;
        transaction["when"] = wire::Json::array();
        transaction["apply"] = wire::Json::array({{{"set", path}, {"data", data}}});
        store_.commit(transaction);
        store_.limits = limits;
        sync();
    }
    void other_is_new(std::uint64_t incarnation = 22) {
        put("ws/members/b", state::MemberData{incarnation, "b", state::kLayoutWithSplitShards}.encode());
    }

    void sync() {
        test::read_changes(store_, state(), now().wall);
        core_->request_replan();
    }

    // As the service does: a refusal for size is told to the core, anything else is read back and tried again.
    std::string commit(const state::TransactionBuilder& builder) {
        if (builder.empty()) return "nothing";
        auto transaction = builder.build();
        std::string result = store_.commit(transaction.body);
        if (result.starts_with("malformed"))
            core_->handle_rejected_transaction(test::written_keys(transaction.body), now());
        sync();
        return result;
    }

    std::string round() {
        time_ += 0.25;
        store_.set_time(time_);
        core_->advance_time(now());
        return commit(core_->round(now()));
    }
    void rounds(int n) {
        for (int i = 0; i < n; ++i) round();
    }

    std::size_t largest_value() const {
        std::size_t size = 0;
        for (const auto& [key, value] : store_.keys()) size = std::max(size, value.first.dump().size());
        return size;
    }

  private:
    test::InMemoryStateStore& store_;
    config::Settings settings_;
    std::unique_ptr<controller::Core> core_;
    double time_ = 200;
};

// Every machine of the story with its leader, fencing token, address and mark, in exactly one range.
std::map<std::string, state::HostEntry> machines_of(const test::InMemoryStateStore& store) {
    std::map<std::string, state::HostEntry> out;
    for (const auto& [key, value] : store.keys()) {
        if (!key.starts_with("ws/hosts/")) continue;
        for (const auto& host : state::decode_shard(value.first)) {
            EXPECT_TRUE(out.emplace(host.name, host).second) << host.name << " stands in two ranges";
        }
    }
    return out;
}

// Some range or part whose value is larger than the lower limit allows.
state::HostShard* largest_shard(state::StateCache& state) {
    for (const auto& [key, shard] : state.shards())
        if (shard->size.bytes() > kNext.value_bytes()) return shard.get();
    return nullptr;
}

std::size_t placed_tasks(state::StateCache& state) {
    std::size_t n = 0;
    for (const auto& [order, job] : state.queue()) n += job->placed;
    return n;
}

TEST(Upgrade, WritesTheSameBytesAsProductionBeforeTheSwitch) {
    config::Settings settings = test::site_settings();
    settings.nextState = kNext;
    test::StoredStory story(settings, [](const controller::Core& core, const config::Settings&) {
        wire::Json data = core.member_data().encode();
        EXPECT_EQ(data["v"], state::kLayoutWithSplitShards);
        data.erase("v");  // production ignores it, and members that do not have it keep the switch away
        return data;
    });
    auto now = story.tell();
    auto kept = test::production_state();
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
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store);
    state::StateCache& state = a.state();
    EXPECT_EQ(state.types().size(), 2u);
    EXPECT_EQ(state.members().at("b").incarnation, 12u);
    EXPECT_EQ(state.members().at("b").layout, 0u);
    EXPECT_EQ(machines_of(store).size(), 400u);
    EXPECT_EQ(state.host("n-000400")->leader, "a");
    EXPECT_EQ(state.host("n-000400")->incarnation, 11u);
    EXPECT_EQ(state.host("n-000400")->fencingToken, 3u);
    EXPECT_EQ(state.host("n-000007")->leaving, state::Leaving::marked);
    EXPECT_TRUE(state.host("n-000008")->gone());
    EXPECT_EQ(state.final("j-short")->state, state::JobState::done);
    EXPECT_EQ(state.job("j-batch")->done, 5u);
    EXPECT_EQ(state.job("j-batch")->placed, 25u);
    EXPECT_EQ(state.job("j-cancelled")->state, state::JobState::cancelled);
    EXPECT_EQ(state.job("j-gang")->stopAttempt, 1u);
    EXPECT_EQ(state.teams().at("red").total.cores, 16000);
    EXPECT_EQ(state.teams().at("red").shares.at("a").cores, 208000);
    EXPECT_EQ(state.cloud_role(), "a");
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
    const std::string kept = test::production_packet();
    EXPECT_EQ(peers::pack(test::StoredStory::peerStatus()), kept);
    auto peerStatus = peers::unpack(kept);
    ASSERT_TRUE(peerStatus);
    EXPECT_EQ(peerStatus->member, "stairhost-1");
    EXPECT_EQ(peerStatus->cancelled.size(), 2u);
}

TEST(Upgrade, TheSwitchWaitsForAllMembers) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store);
    a.rounds(20);
    EXPECT_EQ(a.state().layout_revision(), 0u) << "b still runs production";
    EXPECT_GT(a.largest_value(), kNext.value_bytes()) << "no range is divided before the switch";
    a.other_is_new();
    a.rounds(1);
    EXPECT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    a.rounds(60);
    EXPECT_LE(a.largest_value(), kNext.value_bytes());
}

// Without state.next nothing changes, whoever runs.
TEST(Upgrade, NoSwitchWithoutAnnouncedLimits) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store, std::nullopt);
    a.other_is_new();
    a.rounds(40);
    EXPECT_EQ(a.state().layout_revision(), 0u);
    EXPECT_GT(a.largest_value(), kNext.value_bytes());
    EXPECT_EQ(a.core().state_limits(), (config::StateLimits{8, 50, 16}));
}

// A process that comes back old replaces its member record: the switch decided before does not apply. And what an old
// process sent before its end fails on its own member record.
TEST(Upgrade, TheSwitchAndLateTransactionsExcludeOneAnother) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store);
    a.other_is_new();
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
    a.other_is_new(24);
    a.rounds(3);
    ASSERT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    EXPECT_TRUE(store.commit(late).starts_with("conflict ws/members/b"));
}

TEST(Upgrade, DividedRangesKeepEveryMachineAndTask) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    const auto before = machines_of(store);
    Upgraded a(store);
    const std::size_t tasks = placed_tasks(a.state());
    a.other_is_new();
    ASSERT_TRUE(a.round().starts_with("ok"));
    ASSERT_EQ(a.core().state_limits(), kNext);
    // Only dividing: in rounds, the machines of the process that has ended would be registered anew as well.
    while (state::HostShard* large = largest_shard(a.state())) {
        state::TransactionBuilder builder = a.core().new_transaction();
        ASSERT_TRUE(builder.split(*large)) << large->key;
        ASSERT_TRUE(a.commit(builder).starts_with("ok")) << large->key;
    }
    EXPECT_LE(a.largest_value(), kNext.value_bytes());
    EXPECT_EQ(machines_of(store), before);
    EXPECT_EQ(placed_tasks(a.state()), tasks);
}

// A process may end after any transaction; whoever comes next goes on from the store alone.
TEST(Upgrade, DividingGoesOnAfterAnEndAtEachTransaction) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    const std::size_t machines = machines_of(store).size();
    std::size_t tasks = 0;
    {
        Upgraded before(store);
        tasks = placed_tasks(before.state()) - before.state().host("n-000008")->placed.size();  // which is gone
    }
    std::uint64_t incarnation = 30;
    for (int transactions = 0; transactions < 60; ++transactions) {
        Upgraded a(store, kNext, ++incarnation);
        if (transactions == 0) a.other_is_new();
        a.rounds(1);  // and it ends
        EXPECT_EQ(machines_of(store).size(), machines) << "after transaction " << transactions;
    }
    Upgraded a(store, kNext, ++incarnation);
    a.rounds(60);
    EXPECT_LE(a.largest_value(), kNext.value_bytes());
    EXPECT_EQ(placed_tasks(a.state()), tasks);
    for (const auto& [name, host] : machines_of(store))
        if (host.leaving != state::Leaving::gone) {
            EXPECT_EQ(host.incarnation, incarnation) << name;
        }
}

// The limits are in force before anything was divided, with one member away: its return to the cloud, and every other
// change of a machine in a range that is too large, goes through all the same.
TEST(Upgrade, WorksWhenTheLimitsFallFirst) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    store.enforce_limits(kNext);
    Upgraded a(store);
    a.put("ws/members/b", state::MemberData{12, "b", 0}.encode());
    a.rounds(200);
    EXPECT_EQ(store.refusedAsMalformed, 1) << "a refusal for size is not repeated";
    EXPECT_EQ(a.state().layout_revision(), 0u) << "the switch still waits for b";
    for (const auto& [name, host] : machines_of(store))
        if (host.leaving != state::Leaving::gone) {
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

// A range of production that is as large as a value could be is divided by its first change, in one transaction.
TEST(Upgrade, TheLargestRangeIsDividedByItsFirstChange) {
    test::InMemoryStateStore store;
    std::vector<state::HostEntry> hosts;
    while (state::encode_shard(hosts).dump().size() < 8 * 1024 - 80) {
        state::HostEntry host;
        host.name = "n-" + std::to_string(1'000'000 + hosts.size());
        host.leader = "stairhost-" + std::to_string(hosts.size() % 5), host.incarnation = 0xfffffffffffff;
        host.fencingToken = 1'000'000, host.address = "10.100.100.100:10000", host.machineType = "c8";
        hosts.push_back(host);
    }
    Upgraded setup(store);
    setup.put("ws/types", test::machine_types());
    setup.put("ws/hosts/a/3", state::encode_shard(hosts));
    setup.other_is_new();
    setup.round();
    store.enforce_limits(kNext);
    auto builder = setup.core().new_transaction();
    ASSERT_TRUE(builder.mark_for_return(hosts[50].name, "a", 1'000'300, false, "test"));
    EXPECT_EQ(setup.commit(builder).substr(0, 2), "ok");
    EXPECT_EQ(machines_of(store).size(), hosts.size());
    EXPECT_EQ(machines_of(store).at(hosts[50].name).leaving, state::Leaving::marked);
}

// A process that knows nothing of parts and lower limits comes back after the switch (here the present code without
// state.next, which like production never divides). It reads every machine and takes them over where they stand, large
// transactions of its are refused, and a new process then goes on.
TEST(Upgrade, AnOldProcessAfterTheSwitchDoesNoHarm) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    {
        Upgraded before(store);
        before.other_is_new();
        before.rounds(80);
    }
    const std::size_t machines = machines_of(store).size();
    for (bool fallen : {false, true}) {
        if (fallen) store.enforce_limits(kNext);
        Upgraded old(store, std::nullopt, fallen ? 61 : 60);
        old.put("ws/members/a", state::MemberData{fallen ? 61u : 60u, "a", 0}.encode());
        old.rounds(80);
        EXPECT_EQ(machines_of(store).size(), machines);
        for (const auto& [name, host] : machines_of(store)) {
            EXPECT_EQ(old.state().host(name)->leader, host.leader) << name;
        }
        EXPECT_TRUE(store.revision_of("ws/layout")) << "the switch stays";
    }
    Upgraded next(store, kNext, 62);
    next.rounds(80);
    EXPECT_LE(next.largest_value(), kNext.value_bytes());
    for (const auto& [name, host] : machines_of(store))
        if (host.leaving != state::Leaving::gone) {
            EXPECT_EQ(host.incarnation, 62u) << name;
        }
}

// New machines of a divided range are registered where everybody looks for them first, and never in two places: two
// processes that register the same machine both change the undivided range's key.
TEST(Upgrade, TwoRegistrationsOfOneMachineExcludeOneAnother) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store);
    a.other_is_new();
    a.rounds(80);
    wire::Heartbeat heartbeat;
    heartbeat.host = "n-000403", heartbeat.address = "10.1.1.1:9000", heartbeat.machineType = "c8",
    heartbeat.zone = "a";
    auto first = a.core().new_transaction(), second = a.core().new_transaction();
    ASSERT_TRUE(first.acquire(heartbeat, "a", 21));
    ASSERT_TRUE(second.acquire(heartbeat, "b", 22));
    EXPECT_TRUE(store.commit(first.build().body).starts_with("ok"));
    EXPECT_TRUE(store.commit(second.build().body).starts_with("conflict ws/hosts/a/1"));
    machines_of(store);
}

// A reader that begins while a range is being divided: it has read the range before and the parts after the change, and
// then sees the change once more.
TEST(Upgrade, AReaderInTheMiddleOfADivisionAgrees) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store);
    a.other_is_new();
    a.round();
    const auto before = store.keys();
    const std::uint64_t revision = store.revision;
    state::HostShard* large = largest_shard(a.state());
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
        std::vector<test::InMemoryStateStore::Change> changes;
        for (const auto& change : store.log)
            if (change.revision > revision) changes.push_back(change);
        if (!shardFirst) std::reverse(changes.begin(), changes.end());
        for (const auto& c : changes) reader.apply(c.path, c.data ? &*c.data : nullptr, c.revision, 0);
        reader.advance(store.revision);
        for (const auto& [name, host] : machines_of(store)) {
            auto* record = reader.host(name);
            ASSERT_TRUE(record && record->shard) << name;
            EXPECT_EQ(static_cast<state::HostEntry&>(*record), host) << name;
        }
    }
}

// Moving a machine is no new registration: nothing noted about it is lost, and its tasks stay where they are.
TEST(Upgrade, MovingAMachineProvesNothing) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store);
    a.other_is_new();
    a.round();
    int registered = 0, removed = 0;
    auto registration = a.state().on_registered;
    a.state().on_registered = [&](state::HostRecord& h) { ++registered, registration(h); };
    a.state().on_removed = [&](state::HostRecord&) { ++removed; };
    const double seen = a.state().host("n-000400")->registeredS;
    while (state::HostShard* large = largest_shard(a.state())) {
        auto builder = a.core().new_transaction();
        ASSERT_TRUE(builder.split(*large));
        a.commit(builder);
    }
    EXPECT_EQ(registered, 0);
    EXPECT_EQ(removed, 0);
    EXPECT_EQ(a.state().host("n-000400")->registeredS, seen);
    EXPECT_NE(a.state().host("n-000400")->shard->part, 0u);
}

// All machines come to a process that keeps none of them: a small transaction takes whole ranges, not as many
// single machines as it has operations. One machine a write took minutes of the state service's rate.
TEST(Upgrade, TakeOverByReportsTakesWholeRanges) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    {
        Upgraded before(store);
        before.other_is_new();
        before.rounds(80);
    }
    store.enforce_limits(kNext);
    Upgraded a(store, kNext, 50);
    std::size_t shards = 0;
    for (const auto& [key, value] : store.keys()) shards += key.starts_with("ws/hosts/");
    // They come fifteen at a time, each of another range than the one before: more ranges than two transactions take.
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
            return m.second.leaving == state::Leaving::gone || m.second.incarnation == 50;
        });
    };
    for (int i = 0; i < 20 && !all_taken(); ++i) a.round();
    EXPECT_TRUE(all_taken());
    std::size_t claims = 0;
    for (std::size_t i = writes; i < store.log.size(); ++i) claims += store.log[i].path.starts_with("ws/hosts/");
    EXPECT_LE(claims, shards);
}

class WideGangs : public testing::TestWithParam<int> {};

// A gang of 16 on machines of 16 ranges has more keys to compare than 20 (or, with four operations, 16) conditions.
TEST_P(WideGangs, StartUnderLowLimits) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    config::StateLimits next = kNext;
    next.transactionOperations = GetParam();
    Upgraded a(store, next);
    a.other_is_new();
    a.round();
    ASSERT_EQ(a.state().layout().version, state::kLayoutWithSplitShards);
    for (int i = 0; i < 16; ++i) {
        state::HostEntry host;
        host.name = "n-00100" + std::to_string(i), host.leader = "a", host.incarnation = 21, host.fencingToken = 5;
        host.address = "10.1.0.1:9000", host.machineType = "c8";
        a.put("ws/hosts/a/" + std::to_string(100 + i), state::encode_shard({host}));
    }
    store.enforce_limits(next);
    a.rounds(200);
    std::vector<std::pair<std::uint32_t, state::HostRecord*>> tasks;
    std::set<state::HostShard*> shards;
    for (const auto& [name, h] : a.state().hosts())
        if (tasks.size() < 16 && h->shard && !h->leaves() && h->placed.empty() && shards.insert(h->shard).second)
            tasks.emplace_back(static_cast<std::uint32_t>(tasks.size()), h.get());
    ASSERT_EQ(tasks.size(), 16u);
    wire::JobSpec spec;
    spec.id = "j-wide", spec.jobClass = "work", spec.team = "red", spec.image = "img", spec.kind = wire::JobKind::gang;
    spec.taskCount = 16, spec.cores = 4, spec.coLocated = true, spec.estimatedDurationS = 100;
    auto submit = a.core().new_transaction();
    ASSERT_TRUE(submit.submit(spec, "a", 1'000'300));
    ASSERT_TRUE(a.commit(submit).starts_with("ok"));
    state::Job* job = a.state().job("j-wide");
    auto place = a.core().new_transaction();
    ASSERT_TRUE(place.place(*job, tasks, 1, 1'000'300));
    EXPECT_TRUE(a.commit(place).starts_with("ok"));
    EXPECT_EQ(job->placed, 16u);
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

// A refusal that the announced limits do not explain: the key rests, and other work goes on.
TEST(Upgrade, ARefusedKeyDoesNotStopOtherWork) {
    test::InMemoryStateStore store;
    test::load_production_state(store);
    Upgraded a(store);
    a.other_is_new();
    a.rounds(80);
    a.core().handle_rejected_transaction({"ws/hosts/a/1"}, a.now());
    auto builder = a.core().new_transaction();
    ASSERT_TRUE(builder.mark_for_return("n-000001", "a", 1'000'300, false, "test"));
    EXPECT_TRUE(builder.empty()) << "the refused key rests";
    ASSERT_TRUE(builder.mark_for_return("n-000003", "a", 1'000'300, false, "test"));
    EXPECT_FALSE(builder.empty());
}

}  // namespace
