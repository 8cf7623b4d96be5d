// The trace runner's dispatch, and its commands to the whole cluster.
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
        {"expire", &TraceRunner::expire_member},         // NAME: the state service ends the lease of its member key
        {"outage", &TraceRunner::begin_outage},          // the state service refuses everybody
        {"outage-over", &TraceRunner::end_outage},       //
        {"join", &TraceRunner::join},                    // NAME: a new process of this controller
    };
    return kCommands;
}

const std::map<std::string, TraceRunner::ControllerCommand>& TraceRunner::controller_commands() {
    static const std::map<std::string, ControllerCommand> kCommands = {
        {"sync", &TraceRunner::read_state},                          // NAME
        {"refuse", &TraceRunner::refuse_store_access},               // NAME: the state service refuses it alone
        {"serve-no-reads", &TraceRunner::hang_reads},                // NAME: it is answered, but its reads hang
        {"round", &TraceRunner::run_round},                          // NAME
        {"build", &TraceRunner::hold_round},                         // NAME: a round whose transaction is held back
        {"deliver", &TraceRunner::deliver_held},                     // NAME: the transaction that was held back arrives
        {"team", &TraceRunner::team_cores_in_use},                   // NAME TEAM: cores in use
        {"update-availability", &TraceRunner::update_availability},  // NAME
        {"state", &TraceRunner::set_availability},                   // NAME serving|disconnected|isolated
        {"ask", &TraceRunner::request_cancellations_from_peers},     // NAME [PEER ...]: cancellations, of all or these
        {"peer-status", &TraceRunner::receive_peer_status},          // NAME PEER SECONDS since the store answered PEER
        {"store-heard", &TraceRunner::peer_reaches_store},           // NAME
        {"submit", &TraceRunner::submit},                            // NAME JOB KEY=VALUE ...
        {"cancel", &TraceRunner::cancel},                            // NAME JOB
        {"poll", &TraceRunner::poll},                                // NAME JOB
        {"heartbeat", &TraceRunner::handle_heartbeat},               // NAME HEARTBEAT
        {"due", &TraceRunner::send_due_commands},                    // NAME: commands due to any host, no replies yet
        {"command", &TraceRunner::send_commands},                    // NAME HOST
        {"unanswered", &TraceRunner::drop_reply},                    // NAME HOST
        {"answered", &TraceRunner::handle_reply},                    // NAME HEARTBEAT: the reply to what was sent last
        {"gone", &TraceRunner::confirm_return},                      // NAME HOST: the cloud confirms its return
        {"role", &TraceRunner::take_cloud_role},                     // NAME
        {"build-role", &TraceRunner::hold_cloud_role},               // NAME: as `role`, with the transaction held back
        {"may-call-cloud", &TraceRunner::may_call_cloud},            // NAME
        {"holds-role", &TraceRunner::holds_cloud_role},              // NAME
    };
    return kCommands;
}

std::string TraceRunner::run(const std::string& line) {
    std::istringstream arguments(line);
    std::string verb;
    arguments >> verb;
    if (auto it = cluster_commands().find(verb); it != cluster_commands().end()) return (this->*it->second)(arguments);
    auto it = controller_commands().find(verb);
    if (it == controller_commands().end()) throw std::runtime_error("unknown command: " + line);
    std::string name;
    arguments >> name;
    Controller& controller = find(name);
    if (!controller.core) throw std::runtime_error("controller " + name + " does not run");
    return (this->*it->second)(controller, arguments);
}

TraceRunner::Controller& TraceRunner::find(const std::string& name) {
    auto it = controllers_.find(name);
    if (it == controllers_.end()) throw std::runtime_error("no controller " + name);
    return it->second;
}

void TraceRunner::sync(Controller& controller) {
    if (controller.refusedByStore) return;
    controller.lastReadS = controller.lastAnswerS = timeS_;
    read_changes(store_, controller.core->state(), now().wall);
    controller.core->request_replan();
}

// Returns what was changed, and what the state service answered.
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

// --- commands to the cluster

std::string TraceRunner::add_controllers(std::istringstream& arguments) {
    std::vector<std::string> names;
    std::string name;
    while (arguments >> name) names.push_back(name);
    for (const std::string& each : names) {
        Controller& controller = controllers_[each];
        controller.name = each;
        controller.settings = settings_;
        controller.settings.member = each;
        controller.settings.location = each;  // a machine in zone a prefers controller a
        for (const std::string& other : names)
            if (other != each) controller.settings.members.push_back({other, other, {}});
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
    write_unconditionally({{{"remove", "ws/members/" + name}}});
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
