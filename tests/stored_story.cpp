#include "stored_story.hpp"

#include <cstdio>
#include <utility>

#include "site_settings.hpp"

namespace wellstair::test {

namespace {

constexpr int kRounds = 40;
constexpr double kRoundS = 0.25;
constexpr std::uint64_t kFinalSequence = 4;  // of the heartbeats that report some tasks as ended

}  // namespace

StoredStory::StoredStory(config::Settings settings, MemberValue member) : member_(std::move(member)) {
    settings.teams = {{"red", 16, 400, 0, 0}, {"blue", 8, 0, 0, 0}};
    settings.valueKb = 8;
    settings.transactionOperations = 16;
    a_.settings = b_.settings = settings;
    a_.settings.member = a_.settings.location = "a";
    a_.settings.members = {{"b", "b", {}}};
    b_.settings.member = b_.settings.location = "b";
    b_.settings.members = {{"a", "a", {}}};
}

const std::vector<InMemoryStateStore::Change>& StoredStory::tell() {
    write_unconditionally({{{"set", "ws/types"}, {"data", machine_types()}}});
    join(a_, 11);
    join(b_, 12);
    register_machines();
    submit("j-batch", "batch", 30, "blue");
    submit("j-gang", "gang", 4, "red");
    submit("j-short", "batch", 1, "blue");
    submit("j-cancelled", "batch", 2, "blue");
    run_rounds(a_);
    run_rounds(b_);
    run_tasks_and_end_some();
    cancel("j-cancelled");
    stop_gang("j-gang");
    return_machine("n-000007", false);
    return_machine("n-000008", false);
    return_machine("n-000008", true);
    take_cloud_role();
    return store_.log;
}

peers::PeerStatus StoredStory::peerStatus() {
    peers::PeerStatus status{
        "stairhost-1", 0x1234567890abcdefull, 1.25, true, {{"n-000001", false}, {"n-000017", true}}};
    status.requestNumber = 0xfedcba9876543210ull;
    status.acknowledged = 17;
    status.cancelled = {"j-000412", "j-000413"};
    return status;
}

// Controllers.

void StoredStory::write_unconditionally(wire::Json operations) {
    store_.commit({{"when", wire::Json::array()}, {"apply", std::move(operations)}});
}

void StoredStory::sync(Controller& reader) {
    read_changes(store_, reader.core->state(), now().wall);
    reader.core->request_replan();
}

bool StoredStory::commit(const state::TransactionBuilder& builder) {
    const bool applied = !builder.empty() && store_.commit(builder.build().body).starts_with("ok");
    sync(a_);
    sync(b_);
    return applied;
}

void StoredStory::join(Controller& joining, std::uint64_t incarnation) {
    joining.core = std::make_unique<controller::Core>(joining.settings, controller::Tunables{}, incarnation);
    sync(joining);
    write_unconditionally(
        {{{"set", "ws/members/" + joining.settings.member}, {"data", member_(*joining.core, joining.settings)}}});
    sync(joining);
    joining.core->set_state_ready(true);
    joining.core->set_availability(state::Availability::serving, now());
}

void StoredStory::run_rounds(Controller& running) {
    for (int i = 0; i < kRounds; ++i) {
        timeS_ += kRoundS;
        running.core->advance_time(now());
        commit(running.core->round(now()));
    }
}

void StoredStory::take_cloud_role() {
    auto builder = a_.core->new_transaction();
    a_.core->take_cloud_role(builder, 0);
    commit(builder);
}

// Machines and tasks.

wire::Heartbeat StoredStory::heartbeat(int machine, std::uint64_t sequence) {
    char name[16];
    std::snprintf(name, sizeof name, "n-%06d", machine);
    wire::Heartbeat heartbeat;
    heartbeat.host = name;
    heartbeat.address = "10.1.0." + std::to_string(machine) + ":9000";
    heartbeat.machineType = "c8";
    heartbeat.zone = "a";
    heartbeat.spot = machine % 5 == 0;
    heartbeat.agentEpoch = 1;
    heartbeat.sequence = sequence;
    if (auto* host = a_.core->state().host(name)) heartbeat.fencingToken = host->fencingToken;
    return heartbeat;
}

void StoredStory::register_machines() {
    for (int machine = 1; machine <= kMachines; ++machine) a_.core->handle_heartbeat(heartbeat(machine, 1), now());
    run_rounds(a_);
    for (int machine = 1; machine <= kMachines; ++machine) a_.core->handle_heartbeat(heartbeat(machine, 2), now());
}

void StoredStory::run_tasks_and_end_some() {
    for (std::uint64_t sequence = 3; sequence <= kFinalSequence; ++sequence) {
        for (int machine = 1; machine <= kMachines; ++machine) report_tasks(machine, sequence);
        timeS_ += 1;
    }
    for (int i = 0; i < 2; ++i) commit(a_.core->round(now()));
}

// Reports all tasks placed on the machine as running; the final report has those of j-short and a third of j-batch
// ended.
void StoredStory::report_tasks(int machine, std::uint64_t sequence) {
    wire::Heartbeat report = heartbeat(machine, sequence);
    auto* host = a_.core->state().host(report.host);
    for (const auto& ref : host->placed) {
        wire::TaskStatus task;
        task.job = ref.job->id;
        task.index = ref.index;
        task.attempt = ref.job->task(ref.index, a_.core->state().chunk_size()).attempt;
        const bool ends = task.job == "j-short" || (task.job == "j-batch" && task.index % 3 == 0);
        task.phase = ends && sequence == kFinalSequence ? wire::TaskPhase::ended : wire::TaskPhase::running;
        if (task.phase == wire::TaskPhase::ended)
            task.cause = task.index % 2 ? wire::Cause::stopped : wire::Cause::done;
        report.tasks.push_back(task);
    }
    a_.core->handle_heartbeat(report, now());
}

void StoredStory::return_machine(const std::string& name, bool gone) {
    auto builder = a_.core->new_transaction();
    builder.mark_for_return(name, "a", wall_seconds(), gone, "test");
    commit(builder);
}

// Jobs.

void StoredStory::submit(const std::string& id, const std::string& kind, int tasks, const std::string& team) {
    wire::Json body = {{"ref", id},        {"lane", "work"},   {"crew", team},     {"shape", kind},
                       {"rank", "urgent"}, {"steps", tasks},   {"cores", 4.0},     {"gpus", 0.0},
                       {"ramGb", 4.0},     {"bundle", "img"},  {"imageGb", 1.0},   {"together", kind == "gang"},
                       {"scatter", false}, {"loaners", true},  {"expectS", 300.0}, {"snapshotS", 10.0},
                       {"flushS", 2.0},    {"builds", {"c8"}}, {"dueS", 900.0}};
    auto parsed = wire::parse_job(body);
    auto builder = a_.core->new_transaction();
    builder.submit(std::get<wire::JobSpec>(parsed), "a", wall_seconds());
    commit(builder);
}

void StoredStory::cancel(const std::string& id) {
    auto builder = b_.core->new_transaction();
    builder.cancel(*b_.core->state().job(id), wall_seconds());
    commit(builder);
}

void StoredStory::stop_gang(const std::string& id) {
    auto* job = a_.core->state().job(id);
    auto builder = a_.core->new_transaction();
    builder.stop_attempt(*job, job->task(0, a_.core->state().chunk_size()).attempt);
    commit(builder);
}

}  // namespace wellstair::test
