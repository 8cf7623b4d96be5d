// Sends commands that should not wait for the next heartbeat directly to their hosts.
// Stateless; each delivery in flight is a coroutine. One io_context thread.
// Errors: commands without a response may still be executed later. This is reported to the core, which proposes them
// again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "service/loop_context.hpp"
#include "workers/command_channel.hpp"

namespace wellstair::service {

class CommandSender {
  public:
    CommandSender(LoopContext context, workers::CommandChannels& channels) : context_(context), channels_(channels) {}

    // Starts the deliveries of all commands that are due. Hosts with a request in flight, or without a free connection,
    // are left for a later call.
    void send_due();

  private:
    // The commands for one host, with the fencing token and the agent epoch that they are sent under.
    struct Delivery {
        std::string host, address;
        std::uint64_t fencingToken = 0, agentEpoch = 0;
        std::vector<wire::Command> commands;
    };
    asio::awaitable<void> send(Delivery delivery);

    LoopContext context_;
    workers::CommandChannels& channels_;
};

}  // namespace wellstair::service
