// The trace runner's commands to one controller.
#include <algorithm>
#include <set>

#include "leadership/availability.hpp"
#include "trace_language.hpp"
#include "trace_runner.hpp"

namespace wellstair::test {

using controller::HeartbeatResponse;

namespace {

constexpr double kRoundIntervalS = 0.2;  // rounds come at least this far apart

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

std::string TraceRunner::read_state(Controller& c, std::istringstream&) {
    sync(c);
    return "";
}

std::string TraceRunner::refuse(Controller& c, std::istringstream&) {
    c.refused = true;
    return "";
}

std::string TraceRunner::serve_no_reads(Controller& c, std::istringstream&) {
    c.lastAnswerS = timeS_;
    return "";
}

std::string TraceRunner::run_round(Controller& c, std::istringstream&) {
    timeS_ += kRoundIntervalS;
    c.core->advance_time(now());
    return commit(c, c.core->round(now()));
}

std::string TraceRunner::hold_round(Controller& c, std::istringstream&) {
    c.core->advance_time(now());
    c.heldTransaction = c.core->round(now()).build().body;
    return "";
}

std::string TraceRunner::deliver_held(Controller& c, std::istringstream&) {
    if (c.heldTransaction["apply"].empty()) return "nothing";
    return store_.commit(c.heldTransaction).starts_with("conflict") ? "conflict" : "applied";
}

std::string TraceRunner::show_team(Controller& c, std::istringstream& arguments) {
    const std::string team = next_word(arguments);
    sync(c);
    auto it = c.core->state().teams().find(team);
    if (it == c.core->state().teams().end()) return "0 cores";
    return std::to_string(it->second.total.cores / 1000) + " cores";
}

// --- peers

// As the service judges it, with what the other controllers say of the state service.
std::string TraceRunner::judge_availability(Controller& c, std::istringstream&) {
    controller::Core& core = *c.core;
    if (!c.refused) c.lastAnswerS = timeS_;
    leadership::AvailabilitySignals signals;
    signals.registered = core.member_revision() != 0;
    signals.storeContactAgeS = timeS_ - c.lastAnswerS;
    signals.cancellationsReadAgeS =
        timeS_ - std::max(c.lastReadS, c.readBarrier.acknowledged_until(core.peer_incarnations()));
    for (auto& [name, other] : controllers_) {
        if (&other == &c || !other.core) continue;
        signals.hasPeers = true;
        if (!other.refused) other.lastAnswerS = timeS_;
        core.set_peer_status(other.core->own_peer_status(timeS_ - other.lastAnswerS, now()), now());
    }
    signals.peerHeard = core.peer_heard(now());
    signals.peerReachesStore = core.peer_has_state_service(now());
    const leadership::AvailabilityLimits limits{settings_.cancelS, settings_.leaseS};
    core.set_availability(leadership::next_availability(core.availability(), signals, limits), now());
    return state::AvailabilityTraits::name(core.availability());
}

std::string TraceRunner::set_availability(Controller& c, std::istringstream& arguments) {
    const std::string name = next_word(arguments);
    auto availability = state::Availability::isolated;
    if (name == "serving") availability = state::Availability::serving;
    if (name == "disconnected") availability = state::Availability::disconnected;
    c.core->set_availability(availability, now());
    return "";
}

std::string TraceRunner::ask_peers(Controller& c, std::istringstream& arguments) {
    const auto requestNumber = c.readBarrier.next_request(timeS_);
    std::set<std::string> asked;
    for (std::string name; arguments >> name;) asked.insert(name);
    for (auto& [name, other] : controllers_) {
        if (&other == &c || !other.core || (!asked.empty() && !asked.count(name))) continue;
        c.core->record_cancellations(other.core->cancellations());
        c.readBarrier.acknowledge(name, other.core->incarnation(), requestNumber);
    }
    return "";
}

std::string TraceRunner::hear_peer_status(Controller& c, std::istringstream& arguments) {
    const std::string peer = next_word(arguments);
    double storeContactAgeS = 0;
    arguments >> storeContactAgeS;
    c.core->set_peer_status({peer, 1, storeContactAgeS, true, {}}, now());
    return "";
}

std::string TraceRunner::peer_has_store(Controller& c, std::istringstream&) {
    return yes_or_no(c.core->peer_has_state_service(now()));
}

// --- users

std::string TraceRunner::submit(Controller& c, std::istringstream& arguments) {
    controller::Core& core = *c.core;
    const std::string id = next_word(arguments);
    const wire::JobSpec spec = parse_job_line(id, arguments);
    sync(c);
    if (auto known = core.find_submission(id)) return describe(*known);
    bool unsure = false;
    if (core.infeasibility_reason(spec, unsure)) return "422";
    auto builder = core.new_transaction();
    builder.submit(spec, c.name, wall_seconds());
    return commit(c, builder).find("applied") != std::string::npos ? "201" : "conflict";
}

std::string TraceRunner::cancel(Controller& c, std::istringstream& arguments) {
    controller::Core& core = *c.core;
    const std::string id = next_word(arguments);
    auto* job = core.state().job(id);
    if (!job || job->state != state::JobState::active) return describe(core.job_status(id));
    auto builder = core.new_transaction();
    builder.cancel(*job, wall_seconds());
    return commit(c, builder);
}

// Reads up to this moment, as every poll does.
std::string TraceRunner::poll(Controller& c, std::istringstream& arguments) {
    const std::string id = next_word(arguments);
    sync(c);
    return describe(c.core->job_status(id));
}

// --- workers

std::string TraceRunner::handle_heartbeat(Controller& c, std::istringstream& arguments) {
    const wire::Heartbeat heartbeat = parse_heartbeat_line(arguments);
    HeartbeatResponse response = c.core->handle_heartbeat(heartbeat, now());
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

std::string TraceRunner::send_due_commands(Controller& c, std::istringstream&) {
    std::string out;
    for (auto& [host, commands] : c.core->commands_due(now())) {
        c.core->on_commands_sent(host, commands, now());
        c.unanswered[host] = commands;
        out += (out.empty() ? "" : "; ") + host + ": " + describe(commands);
    }
    return out.empty() ? "nothing" : out;
}

std::string TraceRunner::send_commands(Controller& c, std::istringstream& arguments) {
    const std::string host = next_word(arguments);
    auto commands = c.core->commands_for(host, true, now());
    c.core->on_commands_sent(host, commands, now());
    c.unanswered[host] = commands;
    return describe(commands);
}

std::string TraceRunner::lose_reply(Controller& c, std::istringstream& arguments) {
    controller::Core& core = *c.core;
    const std::string host = next_word(arguments);
    core.on_commands_answered(host, c.unanswered[host], false, core.state().host(host)->fencingToken);
    return "";
}

std::string TraceRunner::handle_reply(Controller& c, std::istringstream& arguments) {
    controller::Core& core = *c.core;
    const wire::Heartbeat reply = parse_heartbeat_line(arguments);
    core.handle_command_reply(reply, now());
    core.on_commands_answered(reply.host, c.unanswered[reply.host], true, core.state().host(reply.host)->fencingToken);
    return "";
}

// --- the cloud

std::string TraceRunner::confirm_return(Controller& c, std::istringstream& arguments) {
    const std::string host = next_word(arguments);
    auto* record = c.core->state().host(host);
    auto builder = c.core->new_transaction();
    builder.mark_for_return(host, record ? record->zone : "a", wall_seconds(), true, "test");
    return commit(c, builder);
}

std::string TraceRunner::take_cloud_role(Controller& c, std::istringstream&) {
    auto builder = c.core->new_transaction();
    if (!c.core->may_take_cloud_role()) return "taken";
    c.core->take_cloud_role(builder, 0);
    return commit(c, builder);
}

std::string TraceRunner::hold_cloud_role(Controller& c, std::istringstream&) {
    auto builder = c.core->new_transaction();
    c.core->take_cloud_role(builder, 0);
    c.heldTransaction = builder.build().body;
    return "";
}

std::string TraceRunner::may_call_cloud(Controller& c, std::istringstream&) {
    return yes_or_no(c.core->may_call_cloud());
}

std::string TraceRunner::has_cloud_role(Controller& c, std::istringstream&) {
    sync(c);
    return yes_or_no(c.core->holds_cloud_role());
}

}  // namespace wellstair::test
