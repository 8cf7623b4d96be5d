// Command dispatch of the trace runner, and its commands to the cluster.
#include "trace_runner.hpp"

#include <stdexcept>

#include "site_settings.hpp"

namespace wellstair::test {

using wire::Json;

TraceRunner::TraceRunner() : settings_(site_settings()) {}

const std::map<std::string, TraceRunner::ClusterCommand>& TraceRunner::cluster_commands() {
    static const std::map<std::string, ClusterCommand> kCommands = {
        {"controllers", &TraceRunner::add_controllers},  // NAME ...
        {"wait", &TraceRunner::wait},                    // SECONDS
        {"expire", &TraceRunner::expire_member},         // NAME: its lease expires, and with it its keys
        {"outage", &TraceRunner::begin_outage},          // the state service refuses all controllers
        {"outage-over", &TraceRunner::end_outage},
        {"join", &TraceRunner::join},  // NAME: starts a new process of the controller
    };
    return kCommands;
}

const std::map<std::string, TraceRunner::ControllerCommand>& TraceRunner::controller_commands() {
    static const std::map<std::string, ControllerCommand> kCommands = {
        {"sync", &TraceRunner::read_state},                          // NAME
        {"refuse", &TraceRunner::refuse_store_access},               // NAME: the state service refuses only this one
        {"serve-no-reads", &TraceRunner::hang_reads},                // NAME: gets responses, but its reads hang
        {"round", &TraceRunner::run_round},                          // NAME
        {"build", &TraceRunner::hold_round},                         // NAME: a round whose transaction is delayed
        {"deliver", &TraceRunner::deliver_held},                     // NAME: the delayed transaction arrives
        {"team", &TraceRunner::team_cores_in_use},                   // NAME TEAM
        {"update-availability", &TraceRunner::update_availability},  // NAME
        {"state", &TraceRunner::set_availability},                   // NAME serving|disconnected|isolated
        {"ask", &TraceRunner::request_cancellations_from_peers},     // NAME [PEER ...], by default all
        {"peer-status", &TraceRunner::receive_peer_status},          // NAME PEER SECONDS since the store contact
        {"store-heard", &TraceRunner::peer_reaches_store},           // NAME
        {"submit", &TraceRunner::submit},                            // NAME JOB KEY=VALUE ...
        {"cancel", &TraceRunner::cancel},                            // NAME JOB
        {"poll", &TraceRunner::poll},                                // NAME JOB
        {"heartbeat", &TraceRunner::handle_heartbeat},               // NAME HEARTBEAT
        {"due", &TraceRunner::send_due_commands},                    // NAME: to all hosts, without replies
        {"command", &TraceRunner::send_commands},                    // NAME HOST
        {"target", &TraceRunner::command_target},  // NAME HOST: fencing token and agent epoch of commands sent now
        {"unanswered", &TraceRunner::drop_reply},  // NAME HOST [TOKEN]: no reply to the last commands
        {"answered", &TraceRunner::handle_reply},  // NAME HEARTBEAT: reply to the last commands
        {"decisions", &TraceRunner::take_decision_summary},   // NAME: its counts of decisions since the last time
        {"machines", &TraceRunner::read_machine_list},        // NAME [HOST=PHASE:AGE ...]: the cloud's list
        {"plan-scale-out", &TraceRunner::plan_scale_out},     // NAME
        {"due-returns", &TraceRunner::hosts_due_for_return},  // NAME
        {"gone", &TraceRunner::confirm_return},               // NAME HOST: its return is confirmed
        {"role", &TraceRunner::take_cloud_role},              // NAME
        {"build-role", &TraceRunner::hold_cloud_role},        // NAME: `role`, transaction delayed
        {"may-call-cloud", &TraceRunner::may_call_cloud},     // NAME
        {"holds-role", &TraceRunner::holds_cloud_role},       // NAME
    };
    return kCommands;
}

std::string TraceRunner::run(const std::string& line) {
    std::istringstream arguments(line);
    std::string verb;
    arguments >> verb;
    if (auto it = cluster_commands().find(verb); it != cluster_commands().end()) return (this->*it->second)(arguments);
    auto it = controller_commands().find(verb);
    if (it == controller_commands().end()) throw std::runtime_error("unknown trace command: " + line);
    std::string name;
    arguments >> name;
    Controller& controller = find(name);
    if (!controller.core)
        throw std::runtime_error("controller '" + name + "' is not running: start it with `join " + name + "`");
    return (this->*it->second)(controller, arguments);
}

TraceRunner::Controller& TraceRunner::find(const std::string& name) {
    auto it = controllers_.find(name);
    if (it == controllers_.end())
        throw std::runtime_error("unknown controller '" + name + "': declare it with `controllers`");
    return it->second;
}

void TraceRunner::sync(Controller& controller) {
    if (controller.refusedByStore) return;
    controller.lastReadS = controller.lastAnswerS = timeS_;
    read_changes(store_, controller.core->state(), now().wall);
    controller.core->request_replan();
}

std::string TraceRunner::commit(Controller& controller, const state::TransactionBuilder& builder) {
    if (builder.empty()) return "nothing";
    if (controller.refusedByStore) return "503";
    auto transaction = builder.build();
    const std::string result = store_.commit(transaction.body);
    const bool applied = result.starts_with("ok");
    if (applied) sync(controller);
    std::string out;
    for (const auto& change : transaction.summary) out += change + "; ";
    return out + (applied ? "applied" : result);
}

void TraceRunner::write_unconditionally(Json operations) {
    Json transaction;
    transaction["when"] = Json::array();
    transaction["apply"] = std::move(operations);
    store_.commit(transaction);
}

void TraceRunner::set_store_access_refused(bool refused) {
    for (auto& [name, controller] : controllers_) controller.refusedByStore = refused;
}

// --- cluster

std::string TraceRunner::add_controllers(std::istringstream& arguments) {
    std::vector<std::string> names;
    std::string name;
    while (arguments >> name) names.push_back(name);
    for (const std::string& member : names) {
        Controller& controller = controllers_[member];
        controller.name = member;
        controller.settings = settings_;
        controller.settings.member = member;
        controller.settings.location = member;  // the controllers are named after zones: hosts in zone a prefer a
        for (const std::string& other : names)
            if (other != member) controller.settings.members.push_back({other, other, {}});
    }
    write_unconditionally({{{"set", "ws/types"}, {"data", machine_types()}}});
    return "";
}

std::string TraceRunner::wait(std::istringstream& arguments) {
    double seconds = 0;
    arguments >> seconds;
    timeS_ += seconds;
    return "";
}

std::string TraceRunner::expire_member(std::istringstream& arguments) {
    std::string name;
    arguments >> name;
    Json operations = {{{"remove", "ws/members/" + name}}};
    // The cloud role is held under the same lease.
    const auto role = store_.keys().find(state::keys::kCloudRole);
    if (role != store_.keys().end() && role->second.first["by"] == name)
        operations.push_back({{"remove", state::keys::kCloudRole}});
    write_unconditionally(std::move(operations));
    return "";
}

std::string TraceRunner::begin_outage(std::istringstream&) {
    set_store_access_refused(true);
    return "";
}

std::string TraceRunner::end_outage(std::istringstream&) {
    set_store_access_refused(false);
    return "";
}

std::string TraceRunner::join(std::istringstream& arguments) {
    std::string name;
    arguments >> name;
    Controller& controller = find(name);
    controller.core = std::make_unique<controller::Core>(controller.settings, controller::Tunables{}, ++incarnations_);
    sync(controller);
    write_unconditionally({{{"set", "ws/members/" + name}, {"data", {{"inc", incarnations_}}}}});
    sync(controller);
    controller.core->set_state_ready(true);
    controller.core->set_availability(state::Availability::serving, now());
    return "";
}

}  // namespace wellstair::test
