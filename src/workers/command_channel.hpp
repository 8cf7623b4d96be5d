// Commands straight to a worker's address: one at a time for each host, over a kept connection.
#pragma once

#include <functional>
#include <optional>
#include <unordered_map>

#include "net/http.hpp"
#include "wire/messages.hpp"

namespace wellstair::workers {

namespace asio = boost::asio;

struct CommandResult {
    bool answered = true;  // false: it may still be executed, minutes later
    bool executed = false;
    std::optional<wire::Heartbeat> heartbeat;
};

class Channels {
  public:
    // `most`: connections at a time; beyond that the one that was used longest ago is closed.
    Channels(asio::io_context& io, std::size_t most) : io_(io), most_(most) {}
    // A command can be sent there now: none is under way, and there is a connection for it, made room for if need be.
    bool make_ready(const std::string& host);
    asio::awaitable<CommandResult> command(std::string host, std::string address, std::uint64_t fencingToken,
                                           std::uint64_t agentEpoch, std::vector<wire::Command> commands,
                                           double timeoutS);
    // Drops the channels of hosts that are not to be kept, unless a command is under way there.
    void prune(const std::function<bool(const std::string&)>& keep) {
        std::erase_if(channels_, [&](const auto& e) { return !e.second.busy && !keep(e.first); });
    }

  private:
    struct Channel {
        std::string address;
        std::shared_ptr<net::HttpClient> http;
        bool busy = false;
        std::uint64_t used = 0;  // counts up with each use
    };
    asio::io_context& io_;
    std::size_t most_;
    std::uint64_t uses_ = 0;
    std::unordered_map<std::string, Channel> channels_;
};

}  // namespace wellstair::workers
