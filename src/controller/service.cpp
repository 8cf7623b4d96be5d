#include "controller/service.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

namespace wellstair::controller {

using state::Availability;
using store::Outcome;
using wire::Json;
namespace keys = state::keys;

namespace {

// Ratios to the settings; the comments say what each leaves room for.
constexpr double kMemberTtlPerLease = 0.25;  // of the workers' lease: a dead controller's jobs are taken up within it
constexpr double kRenewPerTtl = 1.0 / 3;     // two renewals may fail
constexpr double kStoreTimeoutS = 1.0;       // "usually under 10 ms, occasionally a few hundred"
constexpr double kUserTimeoutS = 1.8;        // users wait 2 s for a poll
// Of max_sockets; the rest is for the state service, the cloud and the other controllers.
constexpr double kSocketsForFront = 0.92, kSocketsForCommands = 0.05;

constexpr double kStatisticsEveryS = 60;
constexpr double kOwnStatusValidS = 0.3;  // peer status packets go out twice a second

std::uint64_t random_id() {
    std::random_device d;
    return (static_cast<std::uint64_t>(d()) << 20) ^ d();
}

// Built outside the coroutines: GCC 12 cannot compile such initialisers inside them.
api::Response refusal(int status, const std::string& why) {
    return {status, {{"error", why}}, 0, ""};
}

api::Response steer(const std::string& leader) {
    return {421, {{"foreman", leader}}, 0, ""};
}

api::Response commands_reply(std::uint64_t fencingToken, const std::vector<wire::Command>& commands) {
    return {200, {{"baton", fencingToken}, {"orders", to_json(commands)}}, 0, ""};
}

Answer phase_answer(int status, const std::string& id, const char* phase) {
    return {status, {{"ref", id}, {"phase", phase}}, 0};
}

Answer busy_answer(const char* why) {
    return {503, {{"error", why}}, 1};
}

Json registration(const std::string& name, std::uint64_t revision, const state::MemberData& member,
                  std::uint64_t leaseId) {
    Json data = member.encode();
    return {{"when", Json::array({{{"path", keys::member(name)}, {"stamp", revision}}})},
            {"apply", Json::array({{{"set", keys::member(name)}, {"data", data}, {"hold", leaseId}}})}};
}

Json type_list(const std::vector<wire::MachineType>& types) {
    Json list = Json::array();
    for (const auto& t : types) list.push_back(to_json(t));
    return {{"builds", std::move(list)}};
}

// The keys that a transaction writes, and for the log their values' sizes.
std::vector<std::string> written_keys(const state::Transaction& transaction, std::string& sizes) {
    std::vector<std::string> out;
    for (const Json& op : transaction.body["apply"]) {
        const bool set = op.contains("set");
        out.push_back(op[set ? "set" : "remove"].get<std::string>());
        sizes += (sizes.empty() ? "" : ", ") + out.back();
        if (set) sizes += " (" + std::to_string(op["data"].dump().size()) + " bytes)";
    }
    return out;
}

void log_transaction(const char* what, const state::Transaction& transaction, const store::CommitResult& r) {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    static constexpr const char* outcomes[] = {"applied",     "conflict", "no lease", "busy",
                                               "unavailable", "unknown",  "malformed"};
    std::string summary;
    for (const auto& a : transaction.summary) summary += a + "; ";
    spdlog::debug("{}: {}{} at {}", what, summary, outcomes[static_cast<int>(r.outcome)], r.revision);
}

// What a change of the own standing rests on.
void log_availability(const leadership::AvailabilitySignals& h, const config::Settings& settings) {
    spdlog::info(
        "availability: registered {}, state service answered {:.3f} s ago, read {:.3f} s ago of {:.3f} s, others heard "
        "{}, "
        "another has the state service {}",
        h.registered, h.storeAgeS, h.stateReadAgeS, leadership::answer_window({settings.cancelS, settings.leaseS}),
        h.peerHeard, h.peerHasStore);
}

api::Response unavailable(const char* why) {
    return {503, {{"error", why}}, 1, ""};
}

api::Response to_response(const Answer& a) {
    return {a.status, a.body, a.retryAfterS, ""};
}

}  // namespace

Service::Service(asio::io_context& io, const config::Settings& s, Tunables tunables)
    : io_(io),
      settings_(s),
      core_(s, tunables, random_id()),
      store_(io, s),
      cloud_(io, s),
      channels_(io, std::max<std::size_t>(1, static_cast<std::size_t>(kSocketsForCommands * s.maxSockets))),
      changed_(io),
      work_(io),
      userWork_(io),
      barrierAsked_(io),
      barrierDone_(io),
      readBarrier_(core_.incarnation()) {
    api::Handlers h;
    h.submit = [this](std::string b) { return on_submit(std::move(b)); };
    h.heartbeat = [this](std::string b) { return on_heartbeat(std::move(b)); };
    h.poll = [this](std::string id) { return on_poll(std::move(id)); };
    h.cancel = [this](std::string id) { return on_cancel(std::move(id)); };
    h.healthy = [this] { return healthy(); };
    front_ = std::make_unique<api::Server>(io, s.front, static_cast<std::size_t>(kSocketsForFront * s.maxSockets),
                                           s.leaseS, std::move(h));
    peerNetwork_ = std::make_unique<peers::PeerNetwork>(
        io, s,
        [this](const std::string& to) {
            // Put together once for all who are told in the same moment: it looks at every machine.
            if (net::steady_now() - ownStatusAt_ > kOwnStatusValidS) {
                ownStatusAt_ = net::steady_now();
                ownStatus_ = core_.own_peer_status(0, now());
                ownStatus_.requestNumber = readBarrier_.next_request(net::steady_now());
            }
            ownStatus_.storeAgeS = net::steady_now() - store_.last_ok();
            ownStatus_.serving = core_.availability() == Availability::serving;
            // The answer and the cancellations that it vouches for are of one moment. Without a cached state
            // there is no answer.
            ownStatus_.acknowledged = core_.state_ready() ? peerRequests_[to] : 0;
            ownStatus_.cancelled = core_.cancellations();
            return ownStatus_;
        },
        [this](const peers::PeerStatus& peerStatus) {
            core_.record_cancellations(peerStatus.cancelled);
            peerRequests_[peerStatus.member] = peerStatus.requestNumber;
            readBarrier_.acknowledge(peerStatus.member, peerStatus.incarnation, peerStatus.acknowledged);
            core_.set_peer_status(peerStatus, now());
        });
}

void Service::spawn(asio::awaitable<void> a) {
    asio::co_spawn(io_, std::move(a), [](const std::exception_ptr& e) {
        if (!e) return;
        try {
            std::rethrow_exception(e);
        } catch (const std::exception& x) {
            // A coroutine that ends by a defect would leave the process half alive: end it, the store has everything.
            spdlog::critical("unexpected exception: {}", x.what());
            std::_Exit(3);
        }
    });
}

void Service::start() {
    front_->start();
    peerNetwork_->start();
    spawn(watch());
    spawn(membership());
    spawn(barriers());
    spawn(rounds());
    spawn(user_rounds());
    spawn(cloud_work());
    spawn(periodic_checks());
}

leadership::AvailabilitySignals Service::availability_signals() const {
    double t = net::steady_now();
    leadership::AvailabilitySignals h;
    h.registered = core_.member_revision() != 0;
    h.storeAgeS = t - store_.last_ok();
    h.stateReadAgeS = t - std::max(lastReadS_, readBarrier_.acknowledged_until(core_.others()));
    h.hasPeers = !settings_.members.empty();
    h.peerHeard = core_.peer_heard(now());
    h.peerHasStore = core_.peer_has_store(now());
    h.disconnectedS = t - disconnectedSince_;
    h.readFailedS = readFailedSince_ > 0 ? t - readFailedSince_ : 0;
    return h;
}

bool Service::healthy() const {
    return leadership::healthy(core_.availability(), core_.state_ready(), availability_signals(),
                               {settings_.cancelS, settings_.leaseS});
}

// ---------------------------------------------------------------- the state service

void Service::update_availability() {
    Availability next = leadership::next_availability(core_.availability(), availability_signals(),
                                                      {settings_.cancelS, settings_.leaseS});
    if (next != core_.availability()) log_availability(availability_signals(), settings_);
    if (next == Availability::disconnected && core_.availability() != Availability::disconnected)
        disconnectedSince_ = net::steady_now();
    core_.set_availability(next, now());
}

asio::awaitable<void> Service::membership() {
    const double ttl = kMemberTtlPerLease * settings_.leaseS;
    for (;;) {
        if (!core_.state_ready()) {
            co_await changed_.wait(0.2);
            continue;
        }
        if (!memberLeaseId_) {
            auto granted = co_await store_.grant(ttl, kStoreTimeoutS);
            if (!granted) {
                co_await net::sleep_for(io_, net::jitter(0.2));
                continue;
            }
            memberLeaseId_ = *granted;
        }
        if (!core_.member_revision()) {
            auto it = core_.state().members().find(settings_.member);
            std::uint64_t revision = it == core_.state().members().end() ? 0 : it->second.revision;
            Json transaction = registration(settings_.member, revision, core_.member_data(), memberLeaseId_);
            auto r = co_await store_.commit(transaction, 1, kStoreTimeoutS);
            if (r.outcome == Outcome::no_lease) memberLeaseId_ = 0;
            if (r.outcome == Outcome::applied) {
                co_await caught_up(r.revision, kStoreTimeoutS);
                spdlog::info("registered as {} at revision {}", settings_.member, r.revision);
                update_availability();
                work_.notify();
            } else {
                co_await barrier(kStoreTimeoutS);
                co_await net::sleep_for(io_, net::jitter(0.1));
            }
            continue;
        }
        co_await net::sleep_for(io_, ttl * kRenewPerTtl);
        auto r = co_await store_.renew(memberLeaseId_, kStoreTimeoutS);
        if (r == store::Client::Renewal::failed) {
            co_await net::sleep_for(io_, 0.1);
            r = co_await store_.renew(memberLeaseId_, kStoreTimeoutS);
        }
        if (r == store::Client::Renewal::ended) {
            spdlog::info("the member lease has ended");
            memberLeaseId_ = 0;
            co_await barrier(kStoreTimeoutS);
        }
    }
}

void Service::apply(const store::FollowResult& r) {
    bool moved = false;
    double wall = net::wall_now();
    for (const auto& c : r.changes) {
        if (c.revision <= core_.state().revision()) continue;
        core_.state().apply(c.path, c.data ? &*c.data : nullptr, c.revision, wall);
        moved = true;
    }
    core_.state().advance(r.revision);
    lastReadS_ = std::max(lastReadS_, r.sentS);
    if (moved) {
        core_.request_round();
        work_.notify();
    }
    changed_.notify();
}

asio::awaitable<bool> Service::load() {
    core_.reset_state();
    ++loads_;
    double wall = net::wall_now();
    // Pages are read one after the other: the watch replays from the first one's revision, and the view counts as
    // ready once it has caught up with the last one's.
    auto revisions = co_await store_.read_all(keys::kPrefix, [&](const store::Change& c) {
        core_.state().apply(c.path, c.data ? &*c.data : nullptr, c.revision, wall);
    });
    if (!revisions) co_return false;
    core_.state().advance(revisions->first);
    do {  // once at least: this is the read that the contact is dated by
        auto r = co_await store_.follow(keys::kPrefix, core_.state().revision(), 0, kStoreTimeoutS);
        if (r.kind != store::FollowResult::ok) co_return false;
        apply(r);
    } while (core_.state().revision() < revisions->second);
    const state::LayoutRecord stored = core_.state().layout(), own = core_.own_layout();
    if (stored.version && (stored.chunkSize != own.chunkSize || stored.shardWidth != own.shardWidth))
        throw std::runtime_error("state.value_kb differs from the one that the stored keys were made with");
    core_.set_state_ready(true);
    changed_.notify();
    spdlog::info("read the state at revision {}: {} open jobs, {} hosts", core_.state().revision(),
                 core_.state().queue().size(), core_.state().hosts().size());
    co_return true;
}

asio::awaitable<void> Service::watch() {
    const double least = 4.0 * settings_.size() / settings_.stateRps;  // a quarter of our share of the requests
    for (;;) {
        if (!core_.state_ready()) {
            bool loaded = co_await load();
            if (!loaded) co_await net::sleep_for(io_, net::jitter(0.2));
            continue;
        }
        double began = net::steady_now();
        const std::uint64_t loads = loads_;
        auto r = co_await store_.follow(keys::kPrefix, core_.state().revision(), 5, 6.5);
        if (r.kind == store::FollowResult::gone) {
            core_.set_state_ready(false);
            continue;
        }
        if (r.kind == store::FollowResult::ok && loads == loads_) apply(r);
        double took = net::steady_now() - began;
        if (r.kind != store::FollowResult::ok)
            co_await net::sleep_for(io_, net::jitter(0.2));
        else if (took < least)
            co_await net::sleep_for(io_, least - took);
    }
}

// Reads up to this moment for everybody who asked before it was sent.
asio::awaitable<void> Service::barriers() {
    const double least = 4.0 * settings_.size() / settings_.stateRps;
    for (;;) {
        if (barrierWanted_ <= std::max(barrierOk_, barrierFailed_)) {
            co_await barrierAsked_.wait(0.5);
            // Also for the contact when nobody asks: the watch alone would not notice a store that is gone.
            if (barrierWanted_ <= std::max(barrierOk_, barrierFailed_) && net::steady_now() - lastReadS_ < 0.5)
                continue;
        }
        double began = net::steady_now();
        std::uint64_t mine = barrierStarted_ = barrierWanted_;
        if (core_.state_ready()) {
            // While the state is being read anew, the answer to a question from before must not be applied: its
            // revision would pass for that of pages that are still on their way.
            const std::uint64_t loads = loads_;
            auto r = co_await store_.follow(keys::kPrefix, core_.state().revision(), 0, kStoreTimeoutS);
            if (loads != loads_) r.kind = store::FollowResult::failed;
            if (r.kind == store::FollowResult::ok) {
                apply(r);
                barrierOk_ = mine;
                readFailedSince_ = 0;
            } else {
                if (readFailedSince_ == 0) readFailedSince_ = began;
                if (r.kind == store::FollowResult::gone) core_.set_state_ready(false);
                barrierFailed_ = mine;
            }
        } else {
            barrierFailed_ = mine;
        }
        barrierDone_.notify();
        double took = net::steady_now() - began;
        co_await net::sleep_for(io_, std::max(0.001, least - took));
    }
}

asio::awaitable<bool> Service::barrier(double timeoutS) {
    double until = net::steady_now() + timeoutS;
    std::uint64_t mine = barrierWanted_ = std::max(barrierWanted_, barrierStarted_ + 1);
    barrierAsked_.notify();
    while (barrierOk_ < mine) {
        if (barrierFailed_ >= mine) co_return false;
        double left = until - net::steady_now();
        if (left <= 0) co_return false;
        co_await barrierDone_.wait(left);
    }
    co_return true;
}

// The view is of this moment. (GCC 12 miscompiles co_await inside || and &&: each stands in a statement of its own.)
asio::awaitable<bool> Service::state_is_current() {
    update_availability();
    if (core_.availability() != Availability::serving) co_return false;
    bool ok = co_await barrier(kUserTimeoutS);
    co_return ok;
}

asio::awaitable<store::CommitResult> Service::commit(const char* what, const state::Transaction& transaction) {
    auto r = co_await store_.commit(transaction.body, transaction.writes, kStoreTimeoutS);
    log_transaction(what, transaction, r);
    if (r.outcome == Outcome::malformed) {
        std::string sizes;
        std::vector<std::string> keys = written_keys(transaction, sizes);
        spdlog::error("the state service refused {} operations, {} conditions: {}", transaction.writes,
                      transaction.body["when"].size(), sizes);
        core_.handle_rejected_transaction(keys, now());
        follow_limits();
    }
    co_return r;
}

// The rate of writes follows the limits that hold now.
void Service::follow_limits() {
    store_.set_write_rate(core_.state_limits().writeRps);
}

// Our own transaction directly follows what we have seen: its changes are known without reading them back.
void Service::apply_own(const state::Transaction& transaction, std::uint64_t revision) {
    if (revision != core_.state().revision() + 1) return;
    store::FollowResult r;
    r.revision = revision;
    for (const Json& op : transaction.body["apply"]) {
        bool set = op.contains("set");
        store::Change c;
        c.path = op[set ? "set" : "remove"].get<std::string>();
        if (set) c.data = op["data"];
        c.revision = revision;
        r.changes.push_back(std::move(c));
    }
    apply(r);
}

asio::awaitable<bool> Service::caught_up(std::uint64_t revision, double timeoutS) {
    double until = net::steady_now() + timeoutS;
    // The watch usually brings it at once; the barrier is the certain way.
    if (core_.state().revision() < revision) co_await changed_.wait(0.01);
    while (core_.state().revision() < revision) {
        if (net::steady_now() > until) co_return false;
        co_await barrier(until - net::steady_now());
    }
    co_return true;
}

// ---------------------------------------------------------------- rounds

asio::awaitable<void> Service::rounds() {
    for (;;) {
        if (!core_.round_due()) co_await work_.wait(0.5);
        double began = net::steady_now();
        core_.advance_time(now());
        double cost = 0;
        if (core_.availability() == Availability::serving && core_.state_ready()) {
            double wait = store_.writes().wait_for(4, began);
            if (wait > 0) co_await net::sleep_for(io_, std::min(wait, 0.5));
            began = net::steady_now();
            state::TransactionBuilder builder = core_.round(now());
            cost = net::steady_now() - began;
            if (!builder.empty()) {
                state::Transaction transaction = builder.build();
                auto r = co_await commit("round", transaction);
                if (r.outcome == Outcome::applied) {
                    apply_own(transaction, r.revision);
                    co_await caught_up(r.revision, 2 * kStoreTimeoutS);
                } else {
                    // Refused or unknown: read back before the next decision.
                    if (r.outcome == Outcome::busy || r.outcome == Outcome::unavailable)
                        co_await net::sleep_for(io_, net::jitter(0.1));
                    co_await barrier(kStoreTimeoutS);
                    core_.request_replan();
                }
            }
        }
        // In any standing: what is known to be cancelled is stopped in an outage as well.
        began = net::steady_now();
        send_commands();
        cost += net::steady_now() - began;
        // Under load rounds come further apart, and each takes more with it.
        co_await net::sleep_for(io_, std::clamp(3 * cost, 0.01, settings_.heartbeatIntervalS / 6));
    }
}

asio::awaitable<void> Service::periodic_checks() {
    for (;;) {
        co_await net::sleep_for(io_, 0.25);
        update_availability();
        follow_limits();
        log_statistics();
        // Connections to machines that are gone, or kept elsewhere, would use up the sockets in the long run.
        channels_.prune([this](const std::string& host) { return core_.tracker(host) != nullptr; });
    }
}

void Service::log_statistics() {
    if (net::steady_now() - statisticsAt_ < kStatisticsEveryS) return;
    statisticsAt_ = net::steady_now();
    if (!core_.heartbeat_statistics().empty()) spdlog::info(core_.heartbeat_statistics().take_summary());
}

void Service::send_commands() {
    for (auto& [host, commands] : core_.commands_due(now())) {
        if (!channels_.make_ready(host)) continue;
        auto* h = core_.state().host(host);
        auto* n = core_.tracker(host);
        core_.commands_sent(host, commands, now());
        spawn(command(host, std::move(commands), h->fencingToken, n->agentEpoch, n->address));
    }
}

asio::awaitable<void> Service::command(std::string host, std::vector<wire::Command> commands,
                                       std::uint64_t fencingToken, std::uint64_t agentEpoch, std::string address) {
    auto r = co_await channels_.command(host, address, fencingToken, agentEpoch, commands,
                                        settings_.heartbeatIntervalS * 0.6);
    if (r.heartbeat && r.heartbeat->host == host) core_.handle_command_reply(*r.heartbeat, now());
    core_.commands_answered(host, commands, r.answered, fencingToken);
    if (!r.answered) spdlog::info("no answer from {} to {} commands", host, commands.size());
    work_.notify();
}

asio::awaitable<void> Service::user_rounds() {
    for (;;) {
        if (ops_.empty()) {
            co_await userWork_.wait(1);
            continue;
        }
        if (core_.availability() != Availability::serving || !core_.member_revision() || !core_.state_ready()) {
            for (auto& op : ops_) op->answer = busy_answer("the state service does not answer");
            ops_.clear();
            changed_.notify();
            continue;
        }
        state::TransactionBuilder builder = core_.new_transaction();
        std::vector<OpPtr> batch;
        std::deque<OpPtr> rest;
        // Known by now, but the view may be older than what another controller has told the user already.
        std::vector<OpPtr> stale;
        for (auto& op : ops_) {
            if (op->kind == UserOp::submit) {
                auto known = core_.known(op->id);
                if (known && (op->fresh || core_.state().final(op->id)))
                    op->answer = known;
                else if (known)
                    stale.push_back(op);
                else if (builder.submit(op->spec, settings_.member, static_cast<std::int64_t>(net::wall_now())))
                    batch.push_back(op);
                else
                    rest.push_back(op);
            } else {
                auto* job = core_.state().job(op->id);
                if (!job || job->state != state::JobState::active)
                    op->answer = core_.poll(op->id);
                else if (builder.cancel(*job, static_cast<std::int64_t>(net::wall_now())))
                    batch.push_back(op);
                else
                    rest.push_back(op);
            }
        }
        ops_ = std::move(rest);
        if (!stale.empty()) {
            bool ok = co_await barrier(kStoreTimeoutS);
            for (auto& op : stale) {
                op->fresh = ok;
                if (ok)
                    ops_.push_back(op);
                else
                    op->answer = busy_answer("the state service does not answer");
            }
        }
        if (batch.empty()) {
            changed_.notify();
            continue;
        }
        state::Transaction transaction = builder.build();
        auto r = co_await commit("users", transaction);
        if (r.outcome == Outcome::applied) {
            // Before anyone is told: what is confirmed here is told to the controllers that ask from now on, also while
            // the own cached state does not show it yet.
            std::vector<std::string> confirmed;
            for (auto& op : batch)
                if (op->kind == UserOp::cancel) confirmed.push_back(op->id);
            core_.record_cancellations(confirmed);
            for (auto& op : batch)
                op->answer = op->kind == UserOp::submit ? phase_answer(201, op->id, "queued")
                                                        : phase_answer(200, op->id, "aborted");
            apply_own(transaction, r.revision);
            changed_.notify();
            co_await caught_up(r.revision, kStoreTimeoutS);
            continue;
        }
        bool again = r.outcome == Outcome::conflict || r.outcome == Outcome::unknown;
        if (again) again = co_await barrier(kStoreTimeoutS);
        if (r.outcome == Outcome::busy) {
            // The rate is refilled within a second: one more try is sooner than the user's own.
            co_await net::sleep_for(io_, net::jitter(0.08));
            for (auto& op : batch) again = again || !std::exchange(op->retried, true);
        }
        for (auto& op : batch) {
            if (again && net::steady_now() < op->deadline)
                ops_.push_back(op);
            else
                op->answer = busy_answer("the state service does not take it now");
        }
        changed_.notify();
    }
}

// ---------------------------------------------------------------- front

asio::awaitable<api::Response> Service::run_op(OpPtr op) {
    op->deadline = net::steady_now() + 2 * kUserTimeoutS;
    ops_.push_back(op);
    userWork_.notify();
    while (!op->answer) co_await changed_.wait(1);
    co_return to_response(*op->answer);
}

asio::awaitable<api::Response> Service::on_submit(std::string bytes) {
    auto body = wire::decode(bytes);
    if (!body) co_return refusal(400, "the body must be MessagePack without binary data");
    if (!body->is_object()) co_return refusal(400, "the body must be a map");
    auto ref = wire::text(*body, "ref");
    auto parsed = wire::parse_job(*body);
    auto* spec = std::get_if<wire::JobSpec>(&parsed);
    bool unsure = false;
    std::optional<std::string> never;
    if (spec) never = core_.never_runs(*spec, unsure);
    if (!spec || never || unsure) {
        // An accepted job is never refused again, whatever its repeat looks like.
        if (ref && wire::valid_job_ref(*ref)) {
            bool fresh = co_await state_is_current();
            if (!fresh) co_return unavailable("the state service does not answer");
            if (auto known = core_.known(*ref)) co_return to_response(*known);
        }
        if (!spec) co_return refusal(400, std::get<wire::Invalid>(parsed).reason);
        if (never) co_return refusal(422, *never);
        co_return unavailable("the machine types are not known yet");
    }
    if (core_.state().final(spec->id)) co_return to_response(*core_.known(spec->id));
    if (core_.state().job(spec->id)) {
        bool fresh = co_await state_is_current();
        if (!fresh) co_return unavailable("the state service does not answer");
        if (auto known = core_.known(spec->id)) co_return to_response(*known);
    }
    auto op = std::make_shared<UserOp>();
    op->kind = UserOp::submit;
    op->id = spec->id;
    op->spec = std::move(*spec);
    co_return co_await run_op(std::move(op));
}

asio::awaitable<api::Response> Service::on_poll(std::string id) {
    // What is final never changes; everything else may have changed elsewhere a moment ago.
    if (core_.state().final(id)) co_return to_response(core_.poll(id));
    bool fresh = co_await state_is_current();
    if (!fresh) co_return unavailable("the state service does not answer");
    co_return to_response(core_.poll(id));
}

asio::awaitable<api::Response> Service::on_cancel(std::string id) {
    if (core_.state().final(id)) co_return to_response(core_.poll(id));
    bool fresh = co_await state_is_current();
    if (!fresh) co_return unavailable("the state service does not answer");
    auto* job = core_.state().job(id);
    if (!job || job->state != state::JobState::active) co_return to_response(core_.poll(id));
    auto op = std::make_shared<UserOp>();
    op->kind = UserOp::cancel;
    op->id = id;
    co_return co_await run_op(std::move(op));
}

asio::awaitable<api::Response> Service::on_heartbeat(std::string bytes) {
    auto body = wire::decode(bytes);
    auto heartbeat = body ? wire::parse_heartbeat(*body) : std::nullopt;
    if (!heartbeat) co_return refusal(400, "not a report");
    // A process that has stood still answers what has queued up meanwhile before any of its timers: whether it may
    // still act for the controllers is judged first, by the clock as it is now.
    update_availability();
    // The worker gives up after 4 s; what it no longer waits for would only hold it here.
    double until = net::steady_now() + 2.5;
    for (;;) {
        HeartbeatResponse answer = core_.handle_heartbeat(*heartbeat, now());
        if (core_.round_due()) work_.notify();
        switch (answer.kind) {
            case HeartbeatResponse::renewed:
                co_return commands_reply(answer.token, answer.commands);
            case HeartbeatResponse::redirect:
                co_return steer(answer.leader);
            case HeartbeatResponse::refuse:
                co_return unavailable("not entitled to act for the controllers now");
            case HeartbeatResponse::acquiring:
                break;
        }
        double left = until - net::steady_now();
        if (left <= 0) co_return unavailable("the registration of the host is not durable yet");
        co_await changed_.wait(std::min(left, 0.5));
    }
}

// ---------------------------------------------------------------- cloud

asio::awaitable<void> Service::commit_transaction(state::TransactionBuilder builder) {
    if (builder.empty()) co_return;
    state::Transaction transaction = builder.build();
    auto r = co_await commit("cloud", transaction);
    if (r.outcome == Outcome::no_lease) memberLeaseId_ = 0;
    if (r.outcome == Outcome::applied)
        co_await caught_up(r.revision, kStoreTimeoutS);
    else
        co_await barrier(kStoreTimeoutS);
}

bool Service::may_call_cloud() {
    update_availability();
    return core_.may_call_cloud();
}

asio::awaitable<void> Service::cloud_work() {
    double typesAt = -1e9, listAt = -1e9;
    for (;;) {
        co_await net::sleep_for(io_, net::jitter(settings_.heartbeatIntervalS / 3));
        if (core_.availability() != Availability::serving || !core_.member_revision()) continue;
        if (core_.may_take_cloud_role()) {
            state::TransactionBuilder d = core_.new_transaction();
            core_.take_cloud_role(d, memberLeaseId_);
            co_await commit_transaction(std::move(d));
            if (core_.holds_cloud_role()) spdlog::info("took the cloud role");
        }
        if (!may_call_cloud()) continue;
        double t = net::steady_now();
        if (core_.state().types().empty() || t - typesAt > 60) {
            auto types = co_await cloud_.types();
            if (types) {
                typesAt = t;
                Json list = type_list(*types);
                if (const std::size_t size = list.dump().size(); size > core_.state_limits().value_bytes()) {
                    spdlog::error("{} of {} bytes is larger than a value may be: not written", keys::kTypes, size);
                } else {
                    state::TransactionBuilder d = core_.new_transaction();
                    d.put(keys::kTypes, core_.state().types_revision(), std::move(list), 0);
                    co_await commit_transaction(std::move(d));
                }
            }
        }
        if (may_call_cloud() && t - listAt > std::max(2.0, settings_.listLagS / 2)) {
            auto list = co_await cloud_.list();
            if (list) {
                listAt = t;
                core_.set_machines(std::move(*list), now());
            }
        }
        // First what goes: the return of a machine that hangs with a cancelled task has a deadline, renting has none.
        auto due = core_.scale_in_due(now());
        bool gone = false;
        if (!due.empty() && may_call_cloud()) gone = co_await cloud_.return_hosts(due);
        if (gone) {
            spdlog::info("scaled in {} machines, first {}", due.size(), due.front());
            state::TransactionBuilder d = core_.new_transaction();
            core_.mark_gone(d, due, now());
            co_await commit_transaction(std::move(d));
        }
        // One request at a time, and a new look after each: what one kind cannot give, the next may.
        core_.plan_scale_out(now());
        for (int calls = 0; calls < 12; ++calls) {
            auto requests = core_.scale_out_requests(now());
            if (requests.empty() || !may_call_cloud()) break;
            const ScaleOutRequest o = requests.front();
            // A request name is never used again, not even by another process: it carries the incarnation.
            std::string requestName =
                "r-" + std::to_string(core_.incarnation()) + "-" + std::to_string(++rentRequests_);
            cloud::RentResult r;
            for (int tries = 0; tries < 2 && may_call_cloud(); ++tries) {
                r = co_await cloud_.rent(requestName, o.machineType, o.zone, o.spot, o.number);
                if (r.kind != cloud::RentResult::failed) break;
            }
            spdlog::info("scale out {} {} in {}{}: {} machines", o.number, o.machineType, o.zone,
                         o.spot ? " (spot)" : "", r.hosts.size());
            if (r.kind == cloud::RentResult::rented) core_.rented(o, r.hosts, now());
            if (r.kind == cloud::RentResult::refused) core_.refused(o, now());
            if (r.kind == cloud::RentResult::failed) break;
        }
    }
}

}  // namespace wellstair::controller
