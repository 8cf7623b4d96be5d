#include "workers/command_channel.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace wellstair::workers {

// Room is made for a host's channel here: a kept connection to each of a thousand machines, beside those on which they
// heartbeat, would be more sockets than there are.
bool Channels::make_ready(const std::string& host) {
    auto it = channels_.find(host);
    if (it != channels_.end()) return !it->second.busy;
    if (channels_.size() < most_) return true;
    auto oldest = channels_.end();
    for (auto c = channels_.begin(); c != channels_.end(); ++c)
        if (!c->second.busy && (oldest == channels_.end() || c->second.used < oldest->second.used)) oldest = c;
    if (oldest == channels_.end()) return false;
    channels_.erase(oldest);
    return true;
}

asio::awaitable<CommandResult> Channels::command(std::string host, std::string address, std::uint64_t fencingToken,
                                                 std::uint64_t agentEpoch, std::vector<wire::Command> commands,
                                                 double timeoutS) {
    CommandResult out;
    Channel& channel = channels_[host];
    if (!channel.http || channel.address != address) {
        auto colon = address.rfind(':');
        unsigned port = 0;
        boost::system::error_code ec;
        if (colon != std::string::npos) {
            std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
            asio::ip::make_address_v4(address.substr(0, colon), ec);
        }
        if (colon == std::string::npos || ec || port == 0 || port > 65535) co_return out;
        channel.address = address;
        channel.http = std::make_shared<net::HttpClient>(
            io_, config::Endpoint{address.substr(0, colon), static_cast<std::uint16_t>(port)});
    }
    channel.busy = true;
    channel.used = ++uses_;
    auto http = channel.http;
    wire::Json body;
    body["baton"] = fencingToken;
    body["tenure"] = agentEpoch;
    body["orders"] = to_json(commands);
    net::Reply r = co_await http->request(net::verb::post, "/commands", wire::encode(body), timeoutS);
    if (auto it = channels_.find(host); it != channels_.end()) it->second.busy = false;
    if (r.outcome != net::Reply::answered) http->drop_idle();
    out.answered = r.outcome != net::Reply::lost;
    out.executed = r.ok();
    if (r.outcome == net::Reply::answered && (r.status == 200 || r.status == 409))
        if (auto reply = wire::decode(r.body)) out.heartbeat = wire::parse_heartbeat(*reply);
    co_return out;
}

}  // namespace wellstair::workers
