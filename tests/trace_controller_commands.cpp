// Commands of the trace runner to one controller.
#include <algorithm>
#include <set>

#include "leadership/availability.hpp"
#include "trace_language.hpp"
#include "trace_runner.hpp"

namespace wellstair::test {

using controller::HeartbeatResponse;

namespace {

constexpr double kRoundIntervalS = 0.2;  // minimum time between rounds

std::string next_word(std::istringstream& arguments) {
    std::string word;
    arguments >> word;
    return word;
}

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

}  // namespace

// --- the state service

std::string TraceRunner::read_state(Controller& controller, std::istringstream&) {
    sync(controller);
    return "";
}

std::string TraceRunner::refuse_store_access(Controller& controller, std::istringstream&) {
    controller.refusedByStore = true;
    return "";
}

std::string TraceRunner::hang_reads(Controller& controller, std::istringstream&) {
    controller.lastAnswerS = timeS_;
    return "";
}

std::string TraceRunner::run_round(Controller& controller, std::istringstream&) {
    timeS_ += kRoundIntervalS;
    controller.core->advance_time(now());
    return commit(controller, controller.core->round(now()));
}

std::string TraceRunner::hold_round(Controller& controller, std::istringstream&) {
    controller.core->advance_time(now());
    controller.heldTransaction = controller.core->round(now()).build().body;
    return "";
}

std::string TraceRunner::deliver_held(Controller& controller, std::istringstream&) {
    if (controller.heldTransaction["apply"].empty()) return "nothing";
    return store_.commit(controller.heldTransaction).starts_with("conflict") ? "conflict" : "applied";
}

std::string TraceRunner::team_cores_in_use(Controller& controller, std::istringstream& arguments) {
    const std::string team = next_word(arguments);
    sync(controller);
    auto it = controller.core->state().teams().find(team);
    if (it == controller.core->state().teams().end()) return "0 cores";
    return std::to_string(it->second.total.cores / 1000) + " cores";
}

// --- peers

// Derives the availability as the service does, with a fresh status of each running peer.
std::string TraceRunner::update_availability(Controller& controller, std::istringstream&) {
    controller::Core& core = *controller.core;
    if (!controller.refusedByStore) controller.lastAnswerS = timeS_;
    leadership::AvailabilitySignals signals;
    signals.registered = core.member_revision() != 0;
    signals.storeContactAgeS = timeS_ - controller.lastAnswerS;
    signals.cancellationsReadAgeS =
        timeS_ - std::max(controller.lastReadS, controller.readBarrier.acknowledged_until(core.peer_incarnations()));
    for (auto& [name, other] : controllers_) {
        if (&other == &controller || !other.core) continue;
        signals.hasPeers = true;
        if (!other.refusedByStore) other.lastAnswerS = timeS_;
        core.set_peer_status(other.core->own_peer_status(timeS_ - other.lastAnswerS, now()), now());
    }
    signals.peerHeard = core.peer_heard(now());
    signals.peerReachesStore = core.peer_has_state_service(now());
    const leadership::AvailabilityLimits limits{settings_.cancelS, settings_.leaseS};
    core.set_availability(leadership::next_availability(core.availability(), signals, limits), now());
    return state::AvailabilityTraits::name(core.availability());
}

std::string TraceRunner::set_availability(Controller& controller, std::istringstream& arguments) {
    const std::string name = next_word(arguments);
    auto availability = state::Availability::isolated;
    if (name == "serving") availability = state::Availability::serving;
    if (name == "disconnected") availability = state::Availability::disconnected;
    controller.core->set_availability(availability, now());
    return "";
}

std::string TraceRunner::request_cancellations_from_peers(Controller& controller, std::istringstream& arguments) {
    const auto requestNumber = controller.readBarrier.next_request(timeS_);
    std::set<std::string> requestedPeers;
    for (std::string name; arguments >> name;) requestedPeers.insert(name);
    for (auto& [name, other] : controllers_) {
        if (&other == &controller || !other.core || (!requestedPeers.empty() && !requestedPeers.count(name))) continue;
        controller.core->record_cancellations(other.core->cancellations());
        controller.readBarrier.acknowledge(name, other.core->incarnation(), requestNumber);
    }
    return "";
}

std::string TraceRunner::receive_peer_status(Controller& controller, std::istringstream& arguments) {
    const std::string peer = next_word(arguments);
    double storeContactAgeS = 0;
    arguments >> storeContactAgeS;
    controller.core->set_peer_status({peer, 1, storeContactAgeS, true, {}}, now());
    return "";
}

std::string TraceRunner::peer_reaches_store(Controller& controller, std::istringstream&) {
    return yes_or_no(controller.core->peer_has_state_service(now()));
}

// --- users

std::string TraceRunner::submit(Controller& controller, std::istringstream& arguments) {
    controller::Core& core = *controller.core;
    const std::string id = next_word(arguments);
    const wire::JobSpec spec = parse_job_line(id, arguments);
    sync(controller);
    if (auto known = core.find_submission(id)) return describe(*known);
    bool undetermined = false;
    if (core.infeasibility_reason(spec, undetermined)) return "422";
    auto builder = core.new_transaction();
    builder.submit(spec, controller.name, wall_seconds());
    return commit(controller, builder).find("applied") != std::string::npos ? "201" : "conflict";
}

std::string TraceRunner::cancel(Controller& controller, std::istringstream& arguments) {
    controller::Core& core = *controller.core;
    const std::string id = next_word(arguments);
    auto* job = core.state().job(id);
    if (!job || job->state != state::JobState::active) return describe(core.job_status(id));
    auto builder = core.new_transaction();
    builder.cancel(*job, wall_seconds());
    return commit(controller, builder);
}

// Reads the current state first, as the service does for every status request.
std::string TraceRunner::poll(Controller& controller, std::istringstream& arguments) {
    const std::string id = next_word(arguments);
    sync(controller);
    return describe(controller.core->job_status(id));
}

// --- workers

std::string TraceRunner::handle_heartbeat(Controller& controller, std::istringstream& arguments) {
    const wire::Heartbeat heartbeat = parse_heartbeat_line(arguments);
    HeartbeatResponse response = controller.core->handle_heartbeat(heartbeat, now());
    switch (response.kind) {
        case HeartbeatResponse::redirect:
            return "421 " + response.leader;
        case HeartbeatResponse::refuse:
            return "503";
        case HeartbeatResponse::acquiring:
            return "acquire";
        default:
            return "200 " + std::to_string(response.token) + ": " + describe(response.commands);
    }
}

std::string TraceRunner::send_due_commands(Controller& controller, std::istringstream&) {
    std::string out;
    for (auto& [host, commands] : controller.core->host_commands().due(now())) {
        controller.core->host_commands().record_sent(host, commands, now());
        controller.lastSentCommands[host] = commands;
        out += (out.empty() ? "" : "; ") + host + ": " + describe(commands);
    }
    return out.empty() ? "nothing" : out;
}

std::string TraceRunner::send_commands(Controller& controller, std::istringstream& arguments) {
    const std::string host = next_word(arguments);
    auto commands = controller.core->host_commands().commands_for(host, commands::Channel::direct, now());
    controller.core->host_commands().record_sent(host, commands, now());
    controller.lastSentCommands[host] = commands;
    return describe(commands);
}

std::string TraceRunner::command_target(Controller& controller, std::istringstream& arguments) {
    const std::string host = next_word(arguments);
    const workers::HostTracker& tracker = *controller.core->tracker(host);
    return std::to_string(tracker.fencingToken) + " " + std::to_string(tracker.agentEpoch);
}

std::string TraceRunner::drop_reply(Controller& controller, std::istringstream& arguments) {
    controller::Core& core = *controller.core;
    const std::string host = next_word(arguments);
    std::uint64_t fencingToken = 0;
    if (!(arguments >> fencingToken)) fencingToken = core.tracker(host)->fencingToken;
    core.host_commands().record_answered(host, controller.lastSentCommands[host], false, fencingToken);
    return "";
}

std::string TraceRunner::handle_reply(Controller& controller, std::istringstream& arguments) {
    controller::Core& core = *controller.core;
    const wire::Heartbeat reply = parse_heartbeat_line(arguments);
    core.handle_command_reply(reply, now());
    core.host_commands().record_answered(reply.host, controller.lastSentCommands[reply.host], true,
                                         core.tracker(reply.host)->fencingToken);
    return "";
}

std::string TraceRunner::take_decision_summary(Controller& controller, std::istringstream&) {
    return controller.core->decision_statistics().take_summary();
}

// --- the cloud

std::string TraceRunner::confirm_return(Controller& controller, std::istringstream& arguments) {
    const std::string host = next_word(arguments);
    auto* record = controller.core->state().host(host);
    auto builder = controller.core->new_transaction();
    builder.mark_for_return(host, record ? record->zone : "a", wall_seconds(), true, "test");
    return commit(controller, builder);
}

std::string TraceRunner::read_machine_list(Controller& controller, std::istringstream& arguments) {
    std::vector<wire::Machine> machines;
    for (std::string word; arguments >> word;) {
        const auto equals = word.find('='), colon = word.find(':');
        wire::Machine machine;
        machine.name = word.substr(0, equals);
        machine.machineType = "c8";
        machine.zone = "a";
        machine.phase = word.substr(equals + 1, colon - equals - 1);
        machine.ageS = std::stod(word.substr(colon + 1));
        machines.push_back(machine);
    }
    controller.core->set_machines(std::move(machines), now());
    return "";
}

std::string TraceRunner::plan_scale_out(Controller& controller, std::istringstream&) {
    controller.core->plan_scale_out(now());
    return "";
}

std::string TraceRunner::hosts_due_for_return(Controller& controller, std::istringstream&) {
    std::string out;
    for (const std::string& host : controller.core->scale_in_due(now())) out += (out.empty() ? "" : " ") + host;
    return out.empty() ? "nothing" : out;
}

std::string TraceRunner::take_cloud_role(Controller& controller, std::istringstream&) {
    auto builder = controller.core->new_transaction();
    if (!controller.core->may_take_cloud_role()) return "taken";
    controller.core->take_cloud_role(builder, 0);
    return commit(controller, builder);
}

std::string TraceRunner::hold_cloud_role(Controller& controller, std::istringstream&) {
    auto builder = controller.core->new_transaction();
    controller.core->take_cloud_role(builder, 0);
    controller.heldTransaction = builder.build().body;
    return "";
}

std::string TraceRunner::may_call_cloud(Controller& controller, std::istringstream&) {
    return yes_or_no(controller.core->may_call_cloud());
}

std::string TraceRunner::holds_cloud_role(Controller& controller, std::istringstream&) {
    sync(controller);
    return yes_or_no(controller.core->holds_cloud_role());
}

}  // namespace wellstair::test
