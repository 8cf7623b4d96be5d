#include "workers/command_channel.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace wellstair::workers {

namespace {

// Statuses of the protocol. The response body of the first two is a heartbeat; the last two execute nothing.
constexpr int kOk = 200, kConflict = 409, kMalformed = 400;
constexpr unsigned kMaxPort = 65535;

// Parses "ip:port" with an IPv4 address. Returns nothing if the text is malformed.
std::optional<config::Endpoint> parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    unsigned port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    boost::system::error_code error;
    asio::ip::make_address_v4(address.substr(0, colon), error);
    if (error || port == 0 || port > kMaxPort) return std::nullopt;
    return config::Endpoint{address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

// The status in the reply, unless it cannot be read or is another host's, which then has the address.
std::optional<wire::Heartbeat> read_status(const net::Reply& reply, const std::string& host) {
    if (reply.status != kOk && reply.status != kConflict) return std::nullopt;
    auto decoded = wire::decode(reply.body);
    auto heartbeat = decoded ? wire::parse_heartbeat(*decoded) : std::nullopt;
    if (heartbeat && heartbeat->host != host) return std::nullopt;
    return heartbeat;
}

CommandResult read_reply(const net::Reply& reply, const std::string& host) {
    CommandResult result;
    result.answered = reply.outcome != net::Reply::Outcome::lost;
    if (!reply.answered()) return result;
    result.heartbeat = read_status(reply, host);
    // The commands may have been executed, but nothing shows their effect.
    const bool refused = reply.status == kConflict || reply.status == kMalformed;
    result.answered = result.heartbeat || refused;
    return result;
}

}  // namespace

// The number of channels is bounded because a persistent connection to each of a thousand hosts, in addition to the
// connections on which they send heartbeats, would exceed the socket limit.
bool CommandChannels::make_ready(const std::string& host) {
    auto it = channels_.find(host);
    if (it != channels_.end()) return !it->second.busy();
    if (channels_.size() < maxChannels_) return true;
    auto leastRecent = channels_.end();
    for (auto candidate = channels_.begin(); candidate != channels_.end(); ++candidate) {
        const Channel& channel = candidate->second;
        if (!channel.busy() && (leastRecent == channels_.end() || channel.lastUse < leastRecent->second.lastUse))
            leastRecent = candidate;
    }
    if (leastRecent == channels_.end()) return false;
    channels_.erase(leastRecent);
    return true;
}

bool CommandChannels::connect(Channel& channel, const std::string& address) {
    if (channel.http && channel.address == address) return true;
    auto endpoint = parse_address(address);
    if (!endpoint) return false;
    channel.address = address;
    channel.http = std::make_shared<net::HttpClient>(io_, *endpoint);
    return true;
}

asio::awaitable<CommandResult> CommandChannels::send(std::string host, std::string address, std::uint64_t fencingToken,
                                                     std::uint64_t agentEpoch, std::vector<wire::Command> commands,
                                                     double timeoutS) {
    CommandResult result;
    Channel& channel = channels_[host];
    if (!connect(channel, address)) co_return result;
    const net::SlotCounter::Slot slot = channel.requests.acquire();
    channel.lastUse = ++uses_;
    auto http = channel.http;  // the channel may have been erased by the time the response arrives
    wire::Json body;
    body["baton"] = fencingToken;
    body["tenure"] = agentEpoch;
    body["orders"] = to_json(commands);
    net::Reply reply = co_await http->request(net::verb::post, "/commands", wire::encode(body), timeoutS);
    if (!reply.answered()) http->drop_idle();
    co_return read_reply(reply, host);
}

}  // namespace wellstair::workers
