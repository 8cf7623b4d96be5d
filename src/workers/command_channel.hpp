// Commands straight to workers' addresses (PROTOCOL, workers): one request at a time for each host, over a kept
// connection. Owns the connections. One io_context thread.
// Errors: nothing throws; a command without an answer may still be executed, minutes later.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/http.hpp"
#include "wire/messages.hpp"

namespace wellstair::workers {

namespace asio = boost::asio;

// What became of a request with commands.
struct CommandResult {
    bool answered = true;  // false: it may still be executed later; true also when it was never sent
    std::optional<wire::Heartbeat> heartbeat;  // what the worker reports in its answer
};

class CommandChannels {
  public:
    // `maxChannels`: hosts with a connection at a time; beyond that the one that was used longest ago is closed.
    CommandChannels(asio::io_context& io, std::size_t maxChannels) : io_(io), maxChannels_(maxChannels) {}

    // Whether a command can be sent to the host now: none is under way there, and there is a connection for it, for
    // which room is made if need be.
    bool make_ready(const std::string& host);

    // Sends commands to the worker at `address` ("ip:port"), under the fencing token and for the session of its agent.
    // They are answered after `timeoutS` seconds at the latest.
    asio::awaitable<CommandResult> send(std::string host, std::string address, std::uint64_t fencingToken,
                                        std::uint64_t agentEpoch, std::vector<wire::Command> commands, double timeoutS);

    // Drops the channels of hosts that are not to be kept, unless a command is under way there.
    void prune(const std::function<bool(const std::string&)>& keep) {
        std::erase_if(channels_, [&](const auto& e) { return !e.second.busy && !keep(e.first); });
    }

  private:
    struct Channel {
        std::string address;
        std::shared_ptr<net::HttpClient> http;
        bool busy = false;
        std::uint64_t lastUse = 0;  // counts up with each use
    };
    bool connect(Channel& channel, const std::string& address);

    asio::io_context& io_;
    std::size_t maxChannels_;
    std::uint64_t uses_ = 0;
    std::unordered_map<std::string, Channel> channels_;
};

}  // namespace wellstair::workers
