#include "store/client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::store {

namespace {
// Of the whole rate, what one controller takes when the others are quiet, and how fast it regains it.
constexpr double kMostShare = 0.7, kRegainPerS = 0.05;
// Less than everything: rates are counted over there, by another clock.
constexpr double kFairPart = 0.9;
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

RateLimiter::RateLimiter(double total, int members, double now)
    : members_(members),
      total_(total),
      fair_(kFairPart * total / members),
      rate_(std::max(fair_, 0.5 * total)),
      tokens_(rate_),
      at_(now) {}

void RateLimiter::refill(double now) {
    if (now > at_) tokens_ = std::min(rate_, tokens_ + (now - at_) * rate_);
    at_ = std::max(at_, now);
}

void RateLimiter::spend(double n, double now) {
    refill(now);
    tokens_ -= n;
}

double RateLimiter::wait_for(double n, double now) {
    refill(now);
    return std::max(0.0, (std::min(n, rate_) - tokens_) / rate_);
}

void RateLimiter::served(double now) {
    refill(now);
    rate_ = std::min(kMostShare * total_, rate_ + kRegainPerS * total_ * 0.02);
}

void RateLimiter::refused(double now) {
    refill(now);
    rate_ = std::max(fair_, rate_ / 2);
    tokens_ = std::min(tokens_, 0.0);
}

void RateLimiter::set_total(double total, double now) {
    if (total == total_) return;
    refill(now);
    total_ = total;
    fair_ = kFairPart * total / members_;
    rate_ = std::clamp(rate_, fair_, std::max(fair_, kMostShare * total));
    tokens_ = std::min(tokens_, rate_);
}

void Client::set_write_rate(double rps) {
    writes_.set_total(rps, net::steady_now());
}

Client::Client(asio::io_context& io, const config::Settings& s)
    : io_(io),
      http_(io, s.state),
      watch_(io, s.state),
      requests_(s.stateRps, s.size(), net::steady_now()),
      writes_(s.stateWriteRps, s.size(), net::steady_now()) {}

asio::awaitable<net::Reply> Client::call(net::verb method, std::string target, std::string body, double timeoutS,
                                         bool watch) {
    double sent = net::steady_now();
    requests_.spend(1, sent);
    net::HttpClient& http = watch ? watch_ : http_;
    net::Reply r = co_await http.request(method, std::move(target), std::move(body), timeoutS);
    if (r.outcome == net::Reply::answered && r.status != 503) {
        // As of when it was sent: a reply may have been held up on the way, and tells of no later moment than that.
        lastOk_ = std::max(lastOk_, sent);
        if (r.status == 429)
            requests_.refused(net::steady_now());
        else
            requests_.served(net::steady_now());
    } else if (r.outcome != net::Reply::answered) {
        http.drop_idle();
    }
    co_return r;
}

asio::awaitable<CommitResult> Client::commit(const Json& transaction, int writes, double timeoutS) {
    CommitResult out;
    writes_.spend(writes, net::steady_now());
    net::Reply r = co_await call(net::verb::post, "/commit", wire::encode(transaction), timeoutS);
    if (r.outcome == net::Reply::not_sent) {
        out.outcome = Outcome::unavailable;
        co_return out;
    }
    if (r.outcome == net::Reply::lost) co_return out;
    auto body = wire::decode(r.body);
    if (body) out.revision = wire::count(*body, "epoch").value_or(0);
    if (r.status == 200) {
        out.outcome = out.revision ? Outcome::applied : Outcome::unknown;
        writes_.served(net::steady_now());
    } else if (r.status == 409) {
        out.outcome = Outcome::conflict;
        if (const Json* failed = body ? wire::list(*body, "failed") : nullptr)
            for (const Json& f : *failed)
                if (f.is_string()) out.failed.push_back(f.get<std::string>());
    } else if (r.status == 429) {
        out.outcome = Outcome::busy;
        writes_.refused(net::steady_now());
    } else if (r.status == 503) {
        out.outcome = Outcome::unavailable;
    } else if (r.status == 400) {
        bool lease = body && wire::text(*body, "error") == "no such lease";
        out.outcome = lease ? Outcome::no_lease : Outcome::malformed;
        if (!lease) spdlog::error("the state service calls a transaction malformed: {}", body ? body->dump() : "?");
    }
    co_return out;
}

asio::awaitable<FollowResult> Client::follow(const std::string& prefix, std::uint64_t since, double waitS,
                                             double timeoutS) {
    FollowResult out;
    out.sentS = net::steady_now();
    std::string target = "/follow?prefix=" + prefix + "&since=" + std::to_string(since) +
                         "&waitMs=" + std::to_string(static_cast<int>(waitS * 1000));
    net::Reply r = co_await call(net::verb::get, std::move(target), "", timeoutS, waitS > 0);
    if (r.outcome == net::Reply::answered && r.status == 410) out.kind = FollowResult::gone;
    if (!r.ok()) co_return out;
    auto body = wire::decode(r.body);
    if (!body) co_return out;
    out.kind = FollowResult::ok;
    out.revision = wire::count(*body, "epoch").value_or(0);
    if (const Json* changes = wire::list(*body, "news"))
        for (const Json& e : *changes) {
            Change c;
            c.revision = wire::count(e, "stamp").value_or(0);
            if (auto set = wire::text(e, "set")) {
                c.path = *set;
                c.data = e.value("data", Json());
            } else if (auto removed = wire::text(e, "remove")) {
                c.path = *removed;
            }
            out.changes.push_back(std::move(c));
        }
    co_return out;
}

asio::awaitable<std::optional<RevisionRange>> Client::read_all(const std::string& prefix,
                                                               std::function<void(const Change&)> each) {
    RevisionRange range;
    std::string since;
    for (;;) {
        std::string target = "/keys?prefix=" + prefix + "&page=1000" + (since.empty() ? "" : "&since=" + since);
        net::Reply r = co_await call(net::verb::get, target, "", 3);
        if (!r.ok()) co_return std::nullopt;
        auto body = wire::decode(r.body);
        if (!body) co_return std::nullopt;
        range.last = wire::count(*body, "epoch").value_or(0);
        if (!range.first) range.first = range.last;
        if (const Json* pairs = wire::list(*body, "pairs"))
            for (const Json& e : *pairs) {
                since = e.value("path", "");
                Change c;
                c.path = since;
                c.data = e.value("data", Json());
                c.revision = wire::count(e, "stamp").value_or(0);
                each(c);
            }
        if (!wire::flag(*body, "hasNext").value_or(false)) break;
    }
    co_return range;
}

asio::awaitable<std::optional<std::uint64_t>> Client::grant(double ttlS, double timeoutS) {
    Json body;
    body["ttlMs"] = static_cast<int>(ttlS * 1000);
    net::Reply r = co_await call(net::verb::post, "/grants", wire::encode(body), timeoutS);
    if (!r.ok()) co_return std::nullopt;
    auto reply = wire::decode(r.body);
    if (!reply) co_return std::nullopt;
    co_return wire::count(*reply, "hold");
}

asio::awaitable<Client::Renewal> Client::renew(std::uint64_t leaseId, double timeoutS) {
    net::Reply r = co_await call(net::verb::post, "/grants/" + std::to_string(leaseId) + "/renew",
                                 wire::encode(Json::object()), timeoutS);
    if (r.ok()) co_return Renewal::renewed;
    if (r.outcome == net::Reply::answered && r.status == 404) co_return Renewal::ended;
    co_return Renewal::failed;
}

}  // namespace wellstair::store
