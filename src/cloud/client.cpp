#include "cloud/client.hpp"

#include <algorithm>
#include <utility>

#include "net/time.hpp"

namespace wellstair::cloud {

using wire::Json;

namespace {

// Per call. In an outage the cloud answers with an error at once; in a network partition it does not answer at all.
constexpr double kTimeoutS = 4;
// Fraction of the shared rate. The rest is left for a successor in the cloud role, which may already be calling.
constexpr double kRateFraction = 0.6;
constexpr double kBackoffS = 1;  // mean pause after a call that was throttled or not answered

// HTTP statuses of the protocol.
constexpr int kOk = 200, kMalformed = 400, kTooManyRequests = 429, kUnavailable = 503;

// Whether the cloud definitely did not execute a request for machines.
bool is_refusal(const net::Reply& reply, const std::optional<Json>& body) {
    if (reply.status == kMalformed) return true;
    return reply.status == kUnavailable && body && wire::get_string(*body, "error") == "no capacity";
}

std::vector<std::string> host_names(const Json& body) {
    std::vector<std::string> names;
    if (const Json* hosts = wire::get_array(body, "hosts"))
        for (const Json& host : *hosts)
            if (host.is_string()) names.push_back(host.get<std::string>());
    return names;
}

std::string list_target(const std::string& after) {
    std::string target = "/machines?page=500";
    if (!after.empty()) target += "&since=" + after;
    return target;
}

}  // namespace

const char* to_string(RentResult::Kind kind) {
    switch (kind) {
        case RentResult::Kind::rented:
            return "rented";
        case RentResult::Kind::refused:
            return "refused";
        case RentResult::Kind::failed:
            return "failed";
    }
    return "";
}

Client::Client(asio::io_context& io, const config::Settings& settings)
    : io_(io), http_(io, settings.cloudEndpoint), spacingS_(1 / (kRateFraction * settings.cloudRps)) {}

asio::awaitable<net::Reply> Client::call(net::verb method, std::string target, std::string body) {
    const double nowS = net::steady_now();
    const double startS = std::max(nowS, nextCallAtS_);
    nextCallAtS_ = startS + spacingS_;
    if (startS > nowS) co_await net::sleep_for(io_, startS - nowS);
    net::Reply reply = co_await http_.request(method, std::move(target), std::move(body), kTimeoutS);
    if (!reply.answered()) http_.drop_idle();
    // The cloud throttles this client or does not answer: pause before the next call.
    if (!reply.answered() || reply.status == kTooManyRequests)
        nextCallAtS_ = net::steady_now() + net::jitter(kBackoffS);
    co_return reply;
}

asio::awaitable<std::optional<std::vector<wire::MachineType>>> Client::list_machine_types() {
    net::Reply reply = co_await call(net::verb::get, "/machine_types", "");
    if (!reply.ok()) co_return std::nullopt;
    auto body = wire::decode(reply.body);
    const Json* list = body ? wire::get_array(*body, "builds") : nullptr;
    if (!list) co_return std::nullopt;
    std::vector<wire::MachineType> types;
    for (const Json& entry : *list)
        if (auto type = wire::parse_machine_type(entry)) types.push_back(std::move(*type));
    co_return types;
}

asio::awaitable<RentResult> Client::rent(std::string requestName, std::string machineType, std::string zone, bool spot,
                                         std::uint32_t count) {
    Json request;
    request["ask"] = requestName;
    request["build"] = machineType;
    request["hall"] = zone;
    request["loaners"] = spot;
    request["number"] = count;
    RentResult result;
    net::Reply reply = co_await call(net::verb::post, "/machines", wire::encode(request));
    if (!reply.answered()) co_return result;
    auto body = wire::decode(reply.body);
    if (reply.status == kOk && body) {
        result.kind = RentResult::Kind::rented;
        result.hosts = host_names(*body);
    } else if (is_refusal(reply, body)) {
        result.kind = RentResult::Kind::refused;
    }
    co_return result;
}

asio::awaitable<bool> Client::return_hosts(std::vector<std::string> hosts) {
    Json request;
    request["hosts"] = std::move(hosts);
    net::Reply reply = co_await call(net::verb::post, "/machines/return", wire::encode(request));
    co_return reply.ok();
}

asio::awaitable<std::optional<std::vector<wire::Machine>>> Client::list_machines() {
    std::vector<wire::Machine> machines;
    std::string lastName;
    for (;;) {
        net::Reply reply = co_await call(net::verb::get, list_target(lastName), "");
        if (!reply.ok()) co_return std::nullopt;
        auto body = wire::decode(reply.body);
        const Json* hosts = body ? wire::get_array(*body, "hosts") : nullptr;
        if (!hosts) co_return std::nullopt;
        for (const Json& entry : *hosts)
            if (auto machine = wire::parse_machine(entry)) {
                lastName = machine->name;
                machines.push_back(std::move(*machine));
            }
        if (!wire::get_bool(*body, "hasNext").value_or(false) || hosts->empty()) break;
    }
    co_return machines;
}

}  // namespace wellstair::cloud
