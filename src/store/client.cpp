#include "store/client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "net/time.hpp"

namespace wellstair::store {

namespace {

constexpr double kPageTimeoutS = 3;
constexpr const char* kPageSize = "1000";  // keys per page

// HTTP statuses of the protocol.
constexpr int kOk = 200, kMalformed = 400, kNotFound = 404, kConflict = 409, kGone = 410, kTooManyRequests = 429,
              kUnavailable = 503;

Outcome outcome_of(int status, const std::optional<Json>& body, std::uint64_t revision) {
    switch (status) {
        case kOk:
            return revision ? Outcome::applied : Outcome::unknown;
        case kConflict:
            return Outcome::conflict;
        case kTooManyRequests:
            return Outcome::busy;
        case kUnavailable:
            return Outcome::unavailable;
        case kMalformed:
            return body && wire::get_string(*body, "error") == "no such lease" ? Outcome::no_lease : Outcome::malformed;
        default:
            return Outcome::unknown;
    }
}

Change parse_change(const Json& entry) {
    Change change;
    change.revision = wire::get_unsigned(entry, "stamp").value_or(0);
    if (auto set = wire::get_string(entry, "set")) {
        change.path = *set;
        change.data = entry.value("data", Json());
    } else if (auto removed = wire::get_string(entry, "remove")) {
        change.path = *removed;
    }
    return change;
}

Change parse_pair(const Json& entry) {
    Change change;
    change.path = entry.value("path", "");
    change.data = entry.value("data", Json());
    change.revision = wire::get_unsigned(entry, "stamp").value_or(0);
    return change;
}

std::string page_target(const std::string& prefix, const std::string& after) {
    std::string target = "/keys?prefix=" + prefix + "&page=" + kPageSize;
    if (!after.empty()) target += "&since=" + after;
    return target;
}

std::string follow_target(const std::string& prefix, std::uint64_t since, double waitS) {
    const int waitMs = static_cast<int>(waitS * 1000);
    return "/follow?prefix=" + prefix + "&since=" + std::to_string(since) + "&waitMs=" + std::to_string(waitMs);
}

}  // namespace

const char* to_string(Outcome outcome) {
    switch (outcome) {
        case Outcome::applied:
            return "applied";
        case Outcome::conflict:
            return "conflict";
        case Outcome::no_lease:
            return "no lease";
        case Outcome::busy:
            return "busy";
        case Outcome::unavailable:
            return "unavailable";
        case Outcome::unknown:
            return "unknown";
        case Outcome::malformed:
            return "malformed";
    }
    return "";
}

const char* to_string(FollowResult::Kind kind) {
    switch (kind) {
        case FollowResult::Kind::ok:
            return "ok";
        case FollowResult::Kind::gone:
            return "gone";
        case FollowResult::Kind::failed:
            return "failed";
    }
    return "";
}

const char* to_string(Client::Renewal renewal) {
    switch (renewal) {
        case Client::Renewal::renewed:
            return "renewed";
        case Client::Renewal::ended:
            return "ended";
        case Client::Renewal::failed:
            return "failed";
    }
    return "";
}

Client::Client(asio::io_context& io, const config::Settings& settings)
    : http_(io, settings.stateEndpoint),
      longPoll_(io, settings.stateEndpoint),
      requests_(settings.stateRps, settings.controller_count(), net::steady_now()),
      writes_(settings.stateWriteRps, settings.controller_count(), net::steady_now()) {}

void Client::set_write_rate(double rps) {
    writes_.set_total(rps, net::steady_now());
}

asio::awaitable<net::Reply> Client::call(net::HttpClient& http, net::verb method, std::string target, std::string body,
                                         double timeoutS) {
    const double sentS = net::steady_now();
    requests_.consume(1, sentS);
    net::Reply reply = co_await http.request(method, std::move(target), std::move(body), timeoutS);
    if (!reply.answered()) {
        http.drop_idle();
    } else if (reply.status != kUnavailable) {
        // The time of sending counts: a reply may have been delayed in transit, so it proves no later contact.
        lastContactS_ = std::max(lastContactS_, sentS);
        if (reply.status == kTooManyRequests)
            requests_.record_throttled(net::steady_now());
        else
            requests_.record_served(net::steady_now());
    }
    co_return reply;
}

asio::awaitable<CommitResult> Client::commit(const Json& transaction, int writes, double timeoutS) {
    CommitResult result;
    writes_.consume(writes, net::steady_now());
    net::Reply reply = co_await call(http_, net::verb::post, "/commit", wire::encode(transaction), timeoutS);
    if (reply.outcome == net::Reply::Outcome::not_sent) result.outcome = Outcome::unavailable;
    if (!reply.answered()) co_return result;
    auto body = wire::decode(reply.body);
    if (body) result.revision = wire::get_unsigned(*body, "epoch").value_or(0);
    result.outcome = outcome_of(reply.status, body, result.revision);
    if (reply.status == kOk) writes_.record_served(net::steady_now());
    if (result.outcome == Outcome::busy) writes_.record_throttled(net::steady_now());
    if (result.outcome == Outcome::malformed)
        spdlog::error("state service rejected a transaction as malformed: {}",
                      body ? wire::to_text(*body) : "no readable response body");
    co_return result;
}

asio::awaitable<FollowResult> Client::follow(const std::string& prefix, std::uint64_t since, double waitS,
                                             double timeoutS) {
    FollowResult result;
    result.sentS = net::steady_now();
    net::HttpClient& http = waitS > 0 ? longPoll_ : http_;
    net::Reply reply = co_await call(http, net::verb::get, follow_target(prefix, since, waitS), "", timeoutS);
    if (reply.answered() && reply.status == kGone) result.kind = FollowResult::Kind::gone;
    if (!reply.ok()) co_return result;
    auto body = wire::decode(reply.body);
    if (!body) co_return result;
    result.kind = FollowResult::Kind::ok;
    result.revision = wire::get_unsigned(*body, "epoch").value_or(0);
    if (const Json* changes = wire::get_array(*body, "news"))
        for (const Json& entry : *changes) result.changes.push_back(parse_change(entry));
    co_return result;
}

asio::awaitable<std::optional<RevisionRange>> Client::read_all(const std::string& prefix,
                                                               std::function<void(const Change&)> visit) {
    RevisionRange range;
    std::string lastPath;
    for (;;) {
        net::Reply reply = co_await call(http_, net::verb::get, page_target(prefix, lastPath), "", kPageTimeoutS);
        if (!reply.ok()) co_return std::nullopt;
        auto body = wire::decode(reply.body);
        if (!body) co_return std::nullopt;
        range.last = wire::get_unsigned(*body, "epoch").value_or(0);
        if (!range.first) range.first = range.last;
        if (const Json* pairs = wire::get_array(*body, "pairs"))
            for (const Json& entry : *pairs) {
                const Change change = parse_pair(entry);
                lastPath = change.path;
                visit(change);
            }
        if (!wire::get_bool(*body, "hasNext").value_or(false)) break;
    }
    co_return range;
}

asio::awaitable<std::optional<std::uint64_t>> Client::grant(double ttlS, double timeoutS) {
    Json request;
    request["ttlMs"] = static_cast<int>(ttlS * 1000);
    net::Reply reply = co_await call(http_, net::verb::post, "/grants", wire::encode(request), timeoutS);
    if (!reply.ok()) co_return std::nullopt;
    auto body = wire::decode(reply.body);
    if (!body) co_return std::nullopt;
    co_return wire::get_unsigned(*body, "hold");
}

asio::awaitable<Client::Renewal> Client::renew(std::uint64_t leaseId, double timeoutS) {
    const std::string target = "/grants/" + std::to_string(leaseId) + "/renew";
    net::Reply reply = co_await call(http_, net::verb::post, target, wire::encode(Json::object()), timeoutS);
    if (reply.ok()) co_return Renewal::renewed;
    if (reply.answered() && reply.status == kNotFound) co_return Renewal::ended;
    co_return Renewal::failed;
}

}  // namespace wellstair::store
