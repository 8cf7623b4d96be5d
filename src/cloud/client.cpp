#include "cloud/client.hpp"

namespace wellstair::cloud {

using wire::Json;

namespace {
constexpr double kTimeoutS = 4;  // of one call; outages answer at once, cuts not at all
constexpr double kShare = 0.6;   // of the cloud's rate: a successor in the role may already be calling, too
}  // namespace

Client::Client(asio::io_context& io, const config::Settings& s)
    : io_(io), http_(io, s.cloud), spacingS_(1 / (kShare * s.cloudRps)) {}

asio::awaitable<net::Reply> Client::call(net::verb method, std::string target, std::string body) {
    double now = net::steady_now();
    double at = std::max(now, next_);
    next_ = at + spacingS_;
    if (at > now) co_await net::sleep_for(io_, at - now);
    net::Reply r = co_await http_.request(method, std::move(target), std::move(body), kTimeoutS);
    if (r.outcome != net::Reply::answered) http_.drop_idle();
    // Refused or in trouble: leave it alone for a moment.
    if (r.outcome != net::Reply::answered || r.status == 429) next_ = net::steady_now() + net::jitter(1);
    co_return r;
}

asio::awaitable<std::optional<std::vector<wire::MachineType>>> Client::types() {
    net::Reply r = co_await call(net::verb::get, "/machine_types", "");
    if (!r.ok()) co_return std::nullopt;
    auto body = wire::decode(r.body);
    const Json* list = body ? wire::list(*body, "builds") : nullptr;
    if (!list) co_return std::nullopt;
    std::vector<wire::MachineType> out;
    for (const Json& e : *list)
        if (auto t = wire::parse_type(e)) out.push_back(std::move(*t));
    co_return out;
}

asio::awaitable<RentResult> Client::rent(std::string requestName, std::string machineType, std::string zone, bool spot,
                                         std::uint32_t number) {
    Json body;
    body["ask"] = requestName;
    body["build"] = machineType;
    body["hall"] = zone;
    body["loaners"] = spot;
    body["number"] = number;
    RentResult out;
    net::Reply r = co_await call(net::verb::post, "/machines", wire::encode(body));
    if (r.outcome != net::Reply::answered) co_return out;
    auto reply = wire::decode(r.body);
    if (r.status == 200 && reply) {
        out.kind = RentResult::rented;
        if (const Json* hosts = wire::list(*reply, "hosts"))
            for (const Json& h : *hosts)
                if (h.is_string()) out.hosts.push_back(h.get<std::string>());
    } else if (r.status == 400 || (r.status == 503 && reply && wire::text(*reply, "error") == "no capacity")) {
        out.kind = RentResult::refused;
    }
    co_return out;
}

asio::awaitable<bool> Client::return_hosts(std::vector<std::string> hosts) {
    Json body;
    body["hosts"] = std::move(hosts);
    net::Reply r = co_await call(net::verb::post, "/machines/return", wire::encode(body));
    co_return r.ok();
}

asio::awaitable<std::optional<std::vector<wire::Machine>>> Client::list() {
    std::vector<wire::Machine> out;
    std::string since;
    for (;;) {
        std::string target = "/machines?page=500";
        if (!since.empty()) target += "&since=" + since;
        net::Reply r = co_await call(net::verb::get, std::move(target), "");
        if (!r.ok()) co_return std::nullopt;
        auto body = wire::decode(r.body);
        const Json* hosts = body ? wire::list(*body, "hosts") : nullptr;
        if (!hosts) co_return std::nullopt;
        for (const Json& e : *hosts)
            if (auto m = wire::parse_machine(e)) {
                since = m->name;
                out.push_back(std::move(*m));
            }
        if (!wire::flag(*body, "hasNext").value_or(false) || hosts->empty()) break;
    }
    co_return out;
}

}  // namespace wellstair::cloud
