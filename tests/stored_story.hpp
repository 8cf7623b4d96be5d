// A story that writes every kind of record that controllers keep in the state service. It is told by whichever version
// it is built with: production's record of it is kept in tests/data (see the README there).
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "controller/core.hpp"
#include "in_memory_state_store.hpp"
#include "peers/packet.hpp"
#include "site_settings.hpp"

namespace wellstair::test {

// What a process writes about itself when it registers.
using MemberValue = std::function<wire::Json(const controller::Core&, const config::Settings&)>;

class StoredStory {
  public:
    static constexpr int kMachines = 400;  // of one zone: each of its six ranges takes more than 2 KiB

    StoredStory(config::Settings settings, MemberValue member) : member_(std::move(member)) {
        settings.teams = {{"red", 16, 400, 0, 0}, {"blue", 8, 0, 0, 0}};
        settings.valueKb = 8, settings.transactionOperations = 16;
        a_.settings = b_.settings = settings;
        a_.settings.member = "a", a_.settings.location = "a", a_.settings.members = {{"b", "b", {}}};
        b_.settings.member = "b", b_.settings.location = "b", b_.settings.members = {{"a", "a", {}}};
    }

    const std::vector<InMemoryStateStore::Change>& tell() {
        write({{{"set", "ws/types"}, {"data", machine_types()}}});
        join(a_, 11);
        join(b_, 12);
        register_machines();
        submit("j-batch", "batch", 30, "blue");
        submit("j-gang", "gang", 4, "red");
        submit("j-short", "batch", 1, "blue");
        submit("j-cancelled", "batch", 2, "blue");
        rounds(a_);
        rounds(b_);
        tasks_run_and_some_end();
        cancel("j-cancelled");
        stop_gang("j-gang");
        machine_leaves("n-000007", false);
        machine_leaves("n-000008", false);
        machine_leaves("n-000008", true);
        auto role = a_.core->new_transaction();
        a_.core->take_cloud_role(role, 0);
        commit(role);
        return store_.log;
    }

    static peers::PeerStatus peerStatus() {
        peers::PeerStatus h{
            "stairhost-1", 0x1234567890abcdefull, 1.25, true, {{"n-000001", false}, {"n-000017", true}}};
        h.requestNumber = 0xfedcba9876543210ull, h.acknowledged = 17, h.cancelled = {"j-000412", "j-000413"};
        return h;
    }

  private:
    struct Controller {
        config::Settings settings;
        std::unique_ptr<controller::Core> core;
    };
    controller::Timestamp now() const { return {time_, 1'000'000 + time_}; }

    void write(wire::Json apply) { store_.commit({{"when", wire::Json::array()}, {"apply", std::move(apply)}}); }

    void sync(Controller& c) {
        auto& state = c.core->state();
        for (const auto& change : store_.log)
            if (change.revision > state.revision())
                state.apply(change.path, change.data ? &*change.data : nullptr, change.revision, now().wall);
        state.advance(store_.revision);
        c.core->request_replan();
    }

    bool commit(const state::TransactionBuilder& builder) {
        bool ok = !builder.empty() && store_.commit(builder.build().body).starts_with("ok");
        sync(a_);
        sync(b_);
        return ok;
    }

    void join(Controller& c, std::uint64_t incarnation) {
        c.core = std::make_unique<controller::Core>(c.settings, controller::Tunables{}, incarnation);
        sync(c);
        write({{{"set", "ws/members/" + c.settings.member}, {"data", member_(*c.core, c.settings)}}});
        sync(c);
        c.core->set_state_ready(true);
        c.core->set_availability(state::Availability::serving, now());
    }

    void rounds(Controller& c) {
        for (int i = 0; i < 40; ++i) {
            time_ += 0.25;
            c.core->advance_time(now());
            commit(c.core->round(now()));
        }
    }

    wire::Heartbeat heartbeat(int machine, std::uint64_t sequence) {
        char name[16];
        std::snprintf(name, sizeof name, "n-%06d", machine);
        wire::Heartbeat r;
        r.host = name, r.address = "10.1.0." + std::to_string(machine) + ":9000", r.machineType = "c8", r.zone = "a";
        r.spot = machine % 5 == 0;
        r.agentEpoch = 1, r.sequence = sequence;
        if (auto* h = a_.core->state().host(name)) r.fencingToken = h->fencingToken;
        return r;
    }

    void register_machines() {
        for (int m = 1; m <= kMachines; ++m) a_.core->handle_heartbeat(heartbeat(m, 1), now());
        rounds(a_);
        for (int m = 1; m <= kMachines; ++m) a_.core->handle_heartbeat(heartbeat(m, 2), now());
    }

    void submit(const std::string& id, const std::string& kind, int tasks, const std::string& team) {
        wire::Json body = {{"ref", id},        {"lane", "work"},   {"crew", team},     {"shape", kind},
                           {"rank", "urgent"}, {"steps", tasks},   {"cores", 4.0},     {"gpus", 0.0},
                           {"ramGb", 4.0},     {"bundle", "img"},  {"imageGb", 1.0},   {"together", kind == "gang"},
                           {"scatter", false}, {"loaners", true},  {"expectS", 300.0}, {"snapshotS", 10.0},
                           {"flushS", 2.0},    {"builds", {"c8"}}, {"dueS", 900.0}};
        auto parsed = wire::parse_job(body);
        auto builder = a_.core->new_transaction();
        builder.submit(std::get<wire::JobSpec>(parsed), "a", static_cast<std::int64_t>(now().wall));
        commit(builder);
    }

    void tasks_run_and_some_end() {
        for (std::uint64_t sequence : {3, 4}) {
            for (int m = 1; m <= kMachines; ++m) {
                wire::Heartbeat r = heartbeat(m, sequence);
                auto* h = a_.core->state().host(r.host);
                for (const auto& ref : h->placed) {
                    wire::TaskStatus t;
                    t.job = ref.job->id, t.index = ref.index;
                    t.attempt = ref.job->task(ref.index, a_.core->state().chunk_size()).attempt;
                    bool ends = t.job == "j-short" || (t.job == "j-batch" && t.index % 3 == 0);
                    t.phase = ends && sequence == 4 ? wire::TaskPhase::ended : wire::TaskPhase::running;
                    if (t.phase == wire::TaskPhase::ended)
                        t.cause = t.index % 2 ? wire::Cause::stopped : wire::Cause::done;
                    r.tasks.push_back(t);
                }
                a_.core->handle_heartbeat(r, now());
            }
            time_ += 1;
        }
        for (int i = 0; i < 2; ++i) commit(a_.core->round(now()));
    }

    void cancel(const std::string& id) {
        auto builder = b_.core->new_transaction();
        builder.cancel(*b_.core->state().job(id), static_cast<std::int64_t>(now().wall));
        commit(builder);
    }

    void stop_gang(const std::string& id) {
        auto* job = a_.core->state().job(id);
        auto builder = a_.core->new_transaction();
        builder.stop_attempt(*job, job->task(0, a_.core->state().chunk_size()).attempt);
        commit(builder);
    }

    void machine_leaves(const std::string& name, bool gone) {
        auto builder = a_.core->new_transaction();
        builder.mark_for_return(name, "a", static_cast<std::int64_t>(now().wall), gone, "test");
        commit(builder);
    }

    MemberValue member_;
    double time_ = 100;
    InMemoryStateStore store_;
    Controller a_, b_;
};

}  // namespace wellstair::test
