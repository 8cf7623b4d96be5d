#include "service/command_sender.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace wellstair::service {

namespace {
constexpr double kTimeoutPerHeartbeatInterval = 0.6;  // the response to the next heartbeat repeats the commands
}  // namespace

void CommandSender::send_due() {
    controller::Core& core = context_.core;
    for (auto& [host, commands] : core.host_commands().due(now())) {
        if (!channels_.make_ready(host)) continue;
        const auto* tracker = core.tracker(host);
        core.host_commands().record_sent(host, commands, now());
        Delivery delivery;
        delivery.host = host;
        delivery.address = tracker->address;
        delivery.fencingToken = tracker->fencingToken;
        delivery.agentEpoch = tracker->agentEpoch;
        delivery.commands = std::move(commands);
        spawn(context_.io, send(std::move(delivery)));
    }
}

asio::awaitable<void> CommandSender::send(Delivery delivery) {
    controller::Core& core = context_.core;
    const double timeoutS = context_.settings.heartbeatIntervalS * kTimeoutPerHeartbeatInterval;
    auto result = co_await channels_.send(delivery.host, delivery.address, delivery.fencingToken, delivery.agentEpoch,
                                          delivery.commands, timeoutS);
    if (result.heartbeat) core.handle_command_reply(*result.heartbeat, now());
    core.host_commands().record_answered(delivery.host, delivery.commands, result.answered, delivery.fencingToken);
    if (!result.answered)
        spdlog::info("host {} did not respond to {} commands sent to it", delivery.host, delivery.commands.size());
    context_.signals.roundDue.notify();
}

}  // namespace wellstair::service
