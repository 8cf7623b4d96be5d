// Sends the commands that should not wait for their machines' next heartbeats.
// Owns nothing of its own; each command under way is a coroutine. One io_context thread.
// Errors: a command without an answer may still be executed later; the core is told so, and proposes it again.
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

    // Starts to send all commands that are due, as far as there are connections for them.
    void send_due();

  private:
    // What goes to one machine, and under which fencing token and session of its agent.
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
