// Sends commands to the workers' own addresses (PROTOCOL, workers): at most one request per host at a time, over a
// persistent connection. Owns the connections. Runs on one io_context thread.
// Errors: nothing throws. A command without a response may still be executed minutes later.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/http.hpp"
#include "net/slot_counter.hpp"
#include "wire/messages.hpp"

namespace wellstair::workers {

namespace asio = boost::asio;

// The outcome of a command request.
struct CommandResult {
    // False: the commands may have been executed, or may be later. Also true if the request was never sent.
    bool answered = true;
    std::optional<wire::Heartbeat> heartbeat;  // the status that the worker reports in its response
};

class CommandChannels {
  public:
    // `maxChannels`: how many hosts may have a connection at a time. Beyond that, the least recently used idle one is
    // closed.
    CommandChannels(asio::io_context& io, std::size_t maxChannels) : io_(io), maxChannels_(maxChannels) {}

    // Whether a command can be sent to the host now: no request to it is in flight, and the connection limit allows
    // one. Closes the least recently used idle connection if that is needed.
    bool make_ready(const std::string& host);

    // Sends commands to the worker at `address` ("ip:port"), carrying the leader's fencing token and the agent epoch
    // that they are meant for. Completes after at most `timeoutS` seconds.
    asio::awaitable<CommandResult> send(std::string host, std::string address, std::uint64_t fencingToken,
                                        std::uint64_t agentEpoch, std::vector<wire::Command> commands, double timeoutS);

    // Closes the channels of hosts for which `keep` returns false, except those with a request in flight.
    void prune(const std::function<bool(const std::string&)>& keep) {
        std::erase_if(channels_, [&](const auto& entry) { return !entry.second.busy() && !keep(entry.first); });
    }

  private:
    struct Channel {
        std::string address;
        std::shared_ptr<net::HttpClient> http;
        net::SlotCounter requests;  // in flight, at most one
        std::uint64_t lastUse = 0;  // value of `uses_` at the last request

        bool busy() const { return requests.used() > 0; }
    };
    // Opens the channel's connection, or a new one if the address has changed. False if the address is malformed.
    bool connect(Channel& channel, const std::string& address);

    asio::io_context& io_;
    std::size_t maxChannels_;
    std::uint64_t uses_ = 0;  // requests sent so far; orders the channels by last use
    std::unordered_map<std::string, Channel> channels_;
};

}  // namespace wellstair::workers
