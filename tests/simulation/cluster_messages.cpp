// Commands and heartbeats between the controllers and workers of a simulated run, as PROTOCOL describes them.
#include <algorithm>

#include "simulation/simulated_cluster.hpp"

namespace wellstair::test {

namespace {

constexpr double kCommandTimeoutShare = 0.6;  // of heartbeatIntervalS, after which a controller gives up on a reply
constexpr double kRedirectDelayS = 0.25;      // from a 421 response to the heartbeat to the leader
constexpr double kConfirmTokenDelayS = 0.5;   // from a new fencing token to the heartbeat that confirms it
constexpr double kRetryDelayS = 1;            // from a failure to the heartbeat to the next controller

}  // namespace

// --- commands

void SimulatedCluster::send_due_commands(SimulatedController& controller) {
    for (auto& [host, commands] : controller.core->host_commands().due(state_.timestamp()))
        send_commands(controller, host, commands);
}

void SimulatedCluster::send_commands(SimulatedController& controller, const std::string& host,
                                     const std::vector<wire::Command>& commands) {
    SentCommands sent{state_.index_of(controller),
                      controller.incarnation,
                      host,
                      controller.core->tracker(host)->agentEpoch,
                      controller.core->tracker(host)->fencingToken,
                      commands};
    controller.core->host_commands().record_sent(host, commands, state_.timestamp());
    const double sentS = state_.nowS;
    network_.send(state_.nowS, network_.next_delay(state_.nowS),
                  [this, sent, sentS] { receive_commands(sent, sentS); });
}

void SimulatedCluster::receive_commands(const SentCommands& sent, double sentS) {
    SimulatedWorker* worker = state_.find_worker(sent.host);
    const bool reachable = worker && state_.can_reach(state_.controllers[sent.controller], *worker) &&
                           state_.nowS >= worker->unreachableUntilS;
    if (!reachable || (random_.chance(state_.scenario.lostCommandReplyShare) && before_faults_end())) {
        drop_commands(sent, worker);
        return;
    }
    if (execute_if_accepted(*worker, sent)) {
        worker->report_change(state_.nowS);
        copy_at_random(sent);
    }
    reply_to_commands(sent, sentS, *worker);
}

bool SimulatedCluster::execute_if_accepted(SimulatedWorker& worker, const SentCommands& sent) {
    if (sent.agentEpoch != worker.agentEpoch || sent.fencingToken < worker.fencingToken) return false;
    worker.fencingToken = sent.fencingToken;
    execute(worker, sent.commands);
    return true;
}

// A copy of an executed request arrives up to two minutes later; nobody waits for the answer.
void SimulatedCluster::copy_at_random(const SentCommands& sent) {
    const double share = state_.scenario.executedCommandCopyShare;
    if (share <= 0 || !before_faults_end() || !random_.chance(share)) return;
    delayedCommands_.push_back({state_.nowS + random_.between(0.5, kMaxCopyDelayS), sent});
}

// Lost commands may still be executed up to 90 s later; the controller only sees a failure.
void SimulatedCluster::drop_commands(const SentCommands& sent, const SimulatedWorker* worker) {
    const bool hung = worker && state_.nowS < worker->hungUntilS;
    if (hung || random_.chance(0.5)) delayedCommands_.push_back({state_.nowS + random_.between(0.5, 90), sent});
    if (controller::Core* core = state_.process(sent.controller, sent.incarnation))
        core->host_commands().record_answered(sent.host, sent.commands, false, sent.fencingToken);
}

void SimulatedCluster::reply_to_commands(const SentCommands& sent, double sentS, SimulatedWorker& worker) {
    const double timeoutS = kCommandTimeoutShare * state_.controllers[sent.controller].settings.heartbeatIntervalS;
    const double delayS = network_.next_delay(state_.nowS);
    const bool inTime = state_.nowS + delayS - sentS <= timeoutS;
    const double waitS = inTime ? delayS : std::max(0.0, sentS + timeoutS - state_.nowS);
    network_.send(state_.nowS, waitS, [this, sent, inTime, reply = worker.next_heartbeat()] {
        controller::Core* core = state_.process(sent.controller, sent.incarnation);
        if (!core) return;
        if (inTime) core->handle_command_reply(reply, state_.timestamp());
        core->host_commands().record_answered(sent.host, sent.commands, inTime, sent.fencingToken);
    });
}

// --- heartbeats

SimulatedCluster::HeartbeatReply SimulatedCluster::handle_heartbeat(SimulatedController& controller,
                                                                    const wire::Heartbeat& heartbeat) {
    using controller::HeartbeatResponse;
    HeartbeatResponse response = controller.core->handle_heartbeat(heartbeat, state_.timestamp());
    if (response.kind == HeartbeatResponse::redirect) return {421, response.leader, 0, {}};
    if (response.kind != HeartbeatResponse::renewed) return {};
    return {200, "", response.token, response.commands};
}

void SimulatedCluster::send_due_heartbeat(SimulatedWorker& worker) {
    if (worker.awaitedHeartbeat && state_.nowS >= worker.lastHeartbeatS + kHeartbeatTimeoutS)
        try_next_controller(worker, kRetryDelayS);
    if (worker.awaitedHeartbeat || state_.nowS < worker.nextHeartbeatS) return;
    worker.nextHeartbeatS = state_.nowS + random_.between(2.25, 3.75);
    send_heartbeat(worker);
}

void SimulatedCluster::try_next_controller(SimulatedWorker& worker, double delayS) const {
    worker.awaitedHeartbeat = 0;
    worker.controller = (worker.controller + 1) % controller_count();
    worker.nextHeartbeatS = state_.nowS + delayS;
}

void SimulatedCluster::send_heartbeat(SimulatedWorker& worker) {
    const wire::Heartbeat heartbeat = worker.next_heartbeat();
    worker.lastHeartbeatS = state_.nowS;
    worker.awaitedHeartbeat = heartbeat.sequence;
    if (random_.chance(state_.scenario.delayedHeartbeatCopyShare) && before_faults_end())
        heartbeatCopies_.push_back({state_.nowS + random_.between(1, 80), worker.controller, heartbeat});
    if (state_.nowS < worker.heartbeatsLostUntilS) return;
    network_.send(state_.nowS, network_.next_delay(state_.nowS),
                  [this, host = worker.name, controller = worker.controller, heartbeat] {
                      receive_heartbeat(host, controller, heartbeat);
                  });
}

void SimulatedCluster::receive_heartbeat(const std::string& host, std::size_t controllerIndex,
                                         const wire::Heartbeat& heartbeat) {
    const SimulatedWorker* worker = state_.find_worker(host);
    SimulatedController& controller = state_.controllers[controllerIndex];
    if (!worker || !controller.core || !state_.can_reach(controller, *worker)) return;
    update_availability(controller);
    HeartbeatReply reply = handle_heartbeat(controller, heartbeat);
    network_.send(state_.nowS, network_.next_delay(state_.nowS),
                  [this, host, heartbeat, reply] { receive_heartbeat_reply(host, heartbeat, reply); });
}

// Drops a response that arrives after the timeout, or belongs to an earlier session or heartbeat.
void SimulatedCluster::receive_heartbeat_reply(const std::string& host, const wire::Heartbeat& heartbeat,
                                               const HeartbeatReply& reply) {
    SimulatedWorker* worker = state_.find_worker(host);
    if (!worker || state_.nowS < worker->unreachableUntilS || state_.nowS < worker->hungUntilS) return;
    if (worker->agentEpoch != heartbeat.agentEpoch || worker->awaitedHeartbeat != heartbeat.sequence) return;
    if (state_.nowS >= worker->lastHeartbeatS + kHeartbeatTimeoutS) return;
    worker->awaitedHeartbeat = 0;
    if (reply.status == 503) {
        try_next_controller(*worker, kRetryDelayS);
    } else if (reply.status == 421) {
        for (std::size_t i = 0; i < controller_count(); ++i)
            if (state_.controllers[i].settings.member == reply.leader) worker->controller = i;
        worker->nextHeartbeatS = state_.nowS + kRedirectDelayS;
    } else if (reply.fencingToken >= worker->fencingToken) {
        if (reply.fencingToken > worker->fencingToken) worker->nextHeartbeatS = state_.nowS + kConfirmTokenDelayS;
        worker->fencingToken = reply.fencingToken;
        worker->leaseStartS = worker->lastHeartbeatS;
        execute(*worker, reply.commands);
    }
}

}  // namespace wellstair::test
