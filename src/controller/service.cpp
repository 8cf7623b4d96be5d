#include "controller/service.hpp"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

namespace wellstair::controller {

using model::MemberState;
using store::Outcome;
using wire::Json;
namespace keys = model::keys;

namespace {

// Ratios to the settings; the comments say what each leaves room for.
constexpr double kMemberTtlPerLease = 0.25;  // of the workers' lease: a dead controller's jobs are taken up within it
constexpr double kRenewPerTtl = 1.0 / 3;     // two renewals may fail
constexpr double kStoreTimeoutS = 1.0;       // "usually under 10 ms, occasionally a few hundred"
constexpr double kUserTimeoutS = 1.8;        // users wait 2 s for a poll
// Of max_sockets; the rest is for the state service, the cloud and the other controllers.
constexpr double kSocketsForFront = 0.92, kSocketsForCommands = 0.05;

constexpr double kStatisticsEveryS = 60;
constexpr double kHintFor = 0.3;  // hints go out twice a second

std::uint64_t random_id() {
    std::random_device d;
    return (static_cast<std::uint64_t>(d()) << 20) ^ d();
}

// Built outside the coroutines: GCC 12 cannot compile such initialisers inside them.
front::Response refusal(int status, const std::string& why) {
    return {status, {{"error", why}}, 0, ""};
}

front::Response steer(const std::string& foreman) {
    return {421, {{"foreman", foreman}}, 0, ""};
}

front::Response orders_reply(std::uint64_t baton, const std::vector<wire::Order>& orders) {
    return {200, {{"baton", baton}, {"orders", to_json(orders)}}, 0, ""};
}

Answer phase_answer(int status, const std::string& id, const char* phase) {
    return {status, {{"ref", id}, {"phase", phase}}, 0};
}

Answer busy_answer(const char* why) {
    return {503, {{"error", why}}, 1};
}

Json registration(const std::string& name, std::uint64_t stamp, const model::MemberData& member, std::uint64_t hold) {
    Json data = member.encode();
    return {{"when", Json::array({{{"path", keys::member(name)}, {"stamp", stamp}}})},
            {"apply", Json::array({{{"set", keys::member(name)}, {"data", data}, {"hold", hold}}})}};
}

Json type_list(const std::vector<wire::MachineType>& types) {
    Json list = Json::array();
    for (const auto& t : types) list.push_back(to_json(t));
    return {{"builds", std::move(list)}};
}

// The keys that a transaction writes, and for the log their values' sizes.
std::vector<std::string> written_keys(const Txn& txn, std::string& sizes) {
    std::vector<std::string> out;
    for (const Json& op : txn.body["apply"]) {
        const bool set = op.contains("set");
        out.push_back(op[set ? "set" : "remove"].get<std::string>());
        sizes += (sizes.empty() ? "" : ", ") + out.back();
        if (set) sizes += " (" + std::to_string(op["data"].dump().size()) + " bytes)";
    }
    return out;
}

void log_txn(const char* what, const Txn& txn, const store::CommitResult& r) {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    static constexpr const char* outcomes[] = {"applied",     "conflict", "no lease", "busy",
                                               "unavailable", "unknown",  "malformed"};
    std::string about;
    for (const auto& a : txn.about) about += a + "; ";
    spdlog::debug("{}: {}{} at {}", what, about, outcomes[static_cast<int>(r.outcome)], r.epoch);
}

// What a change of the own standing rests on.
void log_standing(const model::Heard& h, const app::Settings& settings) {
    spdlog::info(
        "standing: registered {}, state service answered {:.3f} s ago, read {:.3f} s ago of {:.3f} s, others heard {}, "
        "another has the state service {}",
        h.registered, h.storeAgeS, h.contactAgeS, model::answers_for({settings.cancelS, settings.leaseS}), h.peerHeard,
        h.peerHasStore);
}

front::Response unavailable(const char* why) {
    return {503, {{"error", why}}, 1, ""};
}

front::Response to_response(const Answer& a) {
    return {a.status, a.body, a.retryAfterS, ""};
}

}  // namespace

Service::Service(asio::io_context& io, const app::Settings& s, Tunables tunables)
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
      inquiry_(core_.incarnation()) {
    front::Handlers h;
    h.submit = [this](std::string b) { return on_submit(std::move(b)); };
    h.checkin = [this](std::string b) { return on_checkin(std::move(b)); };
    h.poll = [this](std::string id) { return on_poll(std::move(id)); };
    h.withdraw = [this](std::string id) { return on_withdraw(std::move(id)); };
    h.healthy = [this] { return healthy(); };
    front_ = std::make_unique<front::Server>(io, s.front, static_cast<std::size_t>(kSocketsForFront * s.maxSockets),
                                             s.leaseS, std::move(h));
    mesh_ = std::make_unique<peers::Mesh>(
        io, s,
        [this](const std::string& to) {
            // Put together once for all who are told in the same moment: it looks at every machine.
            if (net::steady_now() - hintAt_ > kHintFor) {
                hintAt_ = net::steady_now();
                hint_ = core_.own_hint(0, now());
                hint_.question = inquiry_.ask(net::steady_now());
            }
            hint_.storeAgeS = net::steady_now() - store_.last_ok();
            hint_.live = core_.member_state() == MemberState::live;
            // The answer and the cancellations that it vouches for are of one moment. Without a picture of the state
            // there is no answer.
            hint_.answered = core_.view_ready() ? questions_[to] : 0;
            hint_.cancelled = core_.cancellations();
            return hint_;
        },
        [this](const peers::Hint& hint) {
            core_.note_cancelled(hint.cancelled);
            questions_[hint.member] = hint.question;
            inquiry_.answered(hint.member, hint.incarnation, hint.answered);
            core_.set_hint(hint, now());
        });
}

void Service::spawn(asio::awaitable<void> a) {
    asio::co_spawn(io_, std::move(a), [](const std::exception_ptr& e) {
        if (!e) return;
        try {
            std::rethrow_exception(e);
        } catch (const std::exception& x) {
            // A coroutine that ends by a defect would leave the process half alive: end it, the store has everything.
            spdlog::critical("a defect: {}", x.what());
            std::_Exit(3);
        }
    });
}

void Service::start() {
    front_->start();
    mesh_->start();
    spawn(watch());
    spawn(membership());
    spawn(barriers());
    spawn(rounds());
    spawn(user_rounds());
    spawn(cloud_work());
    spawn(clockwork());
}

model::Heard Service::heard() const {
    double t = net::steady_now();
    model::Heard h;
    h.registered = core_.member_stamp() != 0;
    h.storeAgeS = t - store_.last_ok();
    h.contactAgeS = t - std::max(contactS_, inquiry_.known_until(core_.others()));
    h.hasPeers = !settings_.members.empty();
    h.peerHeard = core_.peer_heard(now());
    h.peerHasStore = core_.peer_has_store(now());
    h.adriftS = t - adriftSince_;
    h.readFailedS = readFailedSince_ > 0 ? t - readFailedSince_ : 0;
    return h;
}

bool Service::healthy() const {
    return model::healthy(core_.member_state(), core_.view_ready(), heard(), {settings_.cancelS, settings_.leaseS});
}

// ---------------------------------------------------------------- the state service

void Service::judge_standing() {
    MemberState next = model::judge(core_.member_state(), heard(), {settings_.cancelS, settings_.leaseS});
    if (next != core_.member_state()) log_standing(heard(), settings_);
    if (next == MemberState::adrift && core_.member_state() != MemberState::adrift) adriftSince_ = net::steady_now();
    core_.set_member_state(next, now());
}

asio::awaitable<void> Service::membership() {
    const double ttl = kMemberTtlPerLease * settings_.leaseS;
    for (;;) {
        if (!core_.view_ready()) {
            co_await changed_.wait(0.2);
            continue;
        }
        if (!hold_) {
            auto granted = co_await store_.grant(ttl, kStoreTimeoutS);
            if (!granted) {
                co_await net::sleep_for(io_, net::jitter(0.2));
                continue;
            }
            hold_ = *granted;
        }
        if (!core_.member_stamp()) {
            auto it = core_.view().members().find(settings_.member);
            std::uint64_t stamp = it == core_.view().members().end() ? 0 : it->second.stamp;
            Json txn = registration(settings_.member, stamp, core_.member_data(), hold_);
            auto r = co_await store_.commit(txn, 1, kStoreTimeoutS);
            if (r.outcome == Outcome::no_lease) hold_ = 0;
            if (r.outcome == Outcome::applied) {
                co_await caught_up(r.epoch, kStoreTimeoutS);
                spdlog::info("registered as {} at revision {}", settings_.member, r.epoch);
                judge_standing();
                work_.notify();
            } else {
                co_await barrier(kStoreTimeoutS);
                co_await net::sleep_for(io_, net::jitter(0.1));
            }
            continue;
        }
        co_await net::sleep_for(io_, ttl * kRenewPerTtl);
        auto r = co_await store_.renew(hold_, kStoreTimeoutS);
        if (r == store::Client::Renewal::failed) {
            co_await net::sleep_for(io_, 0.1);
            r = co_await store_.renew(hold_, kStoreTimeoutS);
        }
        if (r == store::Client::Renewal::ended) {
            spdlog::info("the member lease has ended");
            hold_ = 0;
            co_await barrier(kStoreTimeoutS);
        }
    }
}

void Service::apply(const store::FollowResult& r) {
    bool moved = false;
    double wall = net::wall_now();
    for (const auto& c : r.news) {
        if (c.stamp <= core_.view().epoch()) continue;
        core_.view().apply(c.path, c.data ? &*c.data : nullptr, c.stamp, wall);
        moved = true;
    }
    core_.view().advance(r.epoch);
    contactS_ = std::max(contactS_, r.sentS);
    if (moved) {
        core_.touch();
        work_.notify();
    }
    changed_.notify();
}

asio::awaitable<bool> Service::load() {
    core_.reset_view();
    ++loads_;
    double wall = net::wall_now();
    // Pages are read one after the other: the watch replays from the first one's revision, and the view counts as
    // ready once it has caught up with the last one's.
    auto range = co_await store_.read_all(keys::kPrefix, [&](const store::Change& c) {
        core_.view().apply(c.path, c.data ? &*c.data : nullptr, c.stamp, wall);
    });
    if (!range) co_return false;
    core_.view().advance(range->first);
    do {  // once at least: this is the read that the contact is dated by
        auto r = co_await store_.follow(keys::kPrefix, core_.view().epoch(), 0, kStoreTimeoutS);
        if (r.kind != store::FollowResult::ok) co_return false;
        apply(r);
    } while (core_.view().epoch() < range->second);
    const model::LayoutRecord stored = core_.view().layout(), own = core_.own_layout();
    if (stored.version && (stored.chunkSize != own.chunkSize || stored.rangeWidth != own.rangeWidth))
        throw std::runtime_error("state.value_kb differs from the one that the stored keys were made with");
    core_.set_view_ready(true);
    changed_.notify();
    spdlog::info("read the state at revision {}: {} open jobs, {} hosts", core_.view().epoch(),
                 core_.view().queue().size(), core_.view().hosts().size());
    co_return true;
}

asio::awaitable<void> Service::watch() {
    const double least = 4.0 * settings_.size() / settings_.stateRps;  // a quarter of our share of the requests
    for (;;) {
        if (!core_.view_ready()) {
            bool loaded = co_await load();
            if (!loaded) co_await net::sleep_for(io_, net::jitter(0.2));
            continue;
        }
        double began = net::steady_now();
        const std::uint64_t loads = loads_;
        auto r = co_await store_.follow(keys::kPrefix, core_.view().epoch(), 5, 6.5);
        if (r.kind == store::FollowResult::gone) {
            core_.set_view_ready(false);
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
            if (barrierWanted_ <= std::max(barrierOk_, barrierFailed_) && net::steady_now() - contactS_ < 0.5) continue;
        }
        double began = net::steady_now();
        std::uint64_t mine = barrierStarted_ = barrierWanted_;
        if (core_.view_ready()) {
            // While the state is being read anew, the answer to a question from before must not be applied: its
            // revision would pass for that of pages that are still on their way.
            const std::uint64_t loads = loads_;
            auto r = co_await store_.follow(keys::kPrefix, core_.view().epoch(), 0, kStoreTimeoutS);
            if (loads != loads_) r.kind = store::FollowResult::failed;
            if (r.kind == store::FollowResult::ok) {
                apply(r);
                barrierOk_ = mine;
                readFailedSince_ = 0;
            } else {
                if (readFailedSince_ == 0) readFailedSince_ = began;
                if (r.kind == store::FollowResult::gone) core_.set_view_ready(false);
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
asio::awaitable<bool> Service::present() {
    judge_standing();
    if (core_.member_state() != MemberState::live) co_return false;
    bool ok = co_await barrier(kUserTimeoutS);
    co_return ok;
}

asio::awaitable<store::CommitResult> Service::commit(const char* what, const Txn& txn) {
    auto r = co_await store_.commit(txn.body, txn.writes, kStoreTimeoutS);
    log_txn(what, txn, r);
    if (r.outcome == Outcome::malformed) {
        std::string sizes;
        std::vector<std::string> keys = written_keys(txn, sizes);
        spdlog::error("the state service refused {} operations, {} conditions: {}", txn.writes, txn.body["when"].size(),
                      sizes);
        core_.note_malformed(keys, now());
        follow_limits();
    }
    co_return r;
}

// The rate of writes follows the limits that hold now.
void Service::follow_limits() {
    store_.set_write_rate(core_.state_limits().writeRps);
}

// Our own transaction directly follows what we have seen: its changes are known without reading them back.
void Service::apply_own(const Txn& txn, std::uint64_t epoch) {
    if (epoch != core_.view().epoch() + 1) return;
    store::FollowResult r;
    r.epoch = epoch;
    for (const Json& op : txn.body["apply"]) {
        bool set = op.contains("set");
        store::Change c;
        c.path = op[set ? "set" : "remove"].get<std::string>();
        if (set) c.data = op["data"];
        c.stamp = epoch;
        r.news.push_back(std::move(c));
    }
    apply(r);
}

asio::awaitable<bool> Service::caught_up(std::uint64_t epoch, double timeoutS) {
    double until = net::steady_now() + timeoutS;
    // The watch usually brings it at once; the barrier is the certain way.
    if (core_.view().epoch() < epoch) co_await changed_.wait(0.01);
    while (core_.view().epoch() < epoch) {
        if (net::steady_now() > until) co_return false;
        co_await barrier(until - net::steady_now());
    }
    co_return true;
}

// ---------------------------------------------------------------- rounds

asio::awaitable<void> Service::rounds() {
    for (;;) {
        if (!core_.dirty()) co_await work_.wait(0.5);
        double began = net::steady_now();
        core_.tick(now());
        double cost = 0;
        if (core_.member_state() == MemberState::live && core_.view_ready()) {
            double wait = store_.writes().wait_for(4, began);
            if (wait > 0) co_await net::sleep_for(io_, std::min(wait, 0.5));
            began = net::steady_now();
            Draft draft = core_.round(now());
            cost = net::steady_now() - began;
            if (!draft.empty()) {
                Txn txn = draft.build();
                auto r = co_await commit("round", txn);
                if (r.outcome == Outcome::applied) {
                    apply_own(txn, r.epoch);
                    co_await caught_up(r.epoch, 2 * kStoreTimeoutS);
                } else {
                    // Refused or unknown: read back before the next decision.
                    if (r.outcome == Outcome::busy || r.outcome == Outcome::unavailable)
                        co_await net::sleep_for(io_, net::jitter(0.1));
                    co_await barrier(kStoreTimeoutS);
                    core_.touch_all();
                }
            }
        }
        // In any standing: what is known to be cancelled is stopped in an outage as well.
        began = net::steady_now();
        send_commands();
        cost += net::steady_now() - began;
        // Under load rounds come further apart, and each takes more with it.
        co_await net::sleep_for(io_, std::clamp(3 * cost, 0.01, settings_.reportS / 6));
    }
}

asio::awaitable<void> Service::clockwork() {
    for (;;) {
        co_await net::sleep_for(io_, 0.25);
        judge_standing();
        follow_limits();
        log_statistics();
        // Connections to machines that are gone, or kept elsewhere, would use up the sockets in the long run.
        channels_.prune([this](const std::string& host) { return core_.notes(host) != nullptr; });
    }
}

void Service::log_statistics() {
    if (net::steady_now() - statisticsAt_ < kStatisticsEveryS) return;
    statisticsAt_ = net::steady_now();
    if (!core_.checkin_statistics().empty()) spdlog::info(core_.checkin_statistics().take_summary());
}

void Service::send_commands() {
    for (auto& [host, orders] : core_.commands_due(now())) {
        if (!channels_.make_ready(host)) continue;
        auto* h = core_.view().host(host);
        auto* n = core_.notes(host);
        core_.commands_sent(host, orders, now());
        spawn(command(host, std::move(orders), h->baton, n->session, n->address));
    }
}

asio::awaitable<void> Service::command(std::string host, std::vector<wire::Order> orders, std::uint64_t baton,
                                       std::uint64_t tenure, std::string address) {
    auto r = co_await channels_.command(host, address, baton, tenure, orders, settings_.reportS * 0.6);
    if (r.report && r.report->host == host) core_.take_command_reply(*r.report, now());
    core_.commands_answered(host, orders, r.answered, baton);
    if (!r.answered) spdlog::info("no answer from {} to {} commands", host, orders.size());
    work_.notify();
}

asio::awaitable<void> Service::user_rounds() {
    for (;;) {
        if (ops_.empty()) {
            co_await userWork_.wait(1);
            continue;
        }
        if (core_.member_state() != MemberState::live || !core_.member_stamp() || !core_.view_ready()) {
            for (auto& op : ops_) op->answer = busy_answer("the state service does not answer");
            ops_.clear();
            changed_.notify();
            continue;
        }
        Draft draft = core_.new_draft();
        std::vector<OpPtr> batch;
        std::deque<OpPtr> rest;
        // Known by now, but the view may be older than what another controller has told the user already.
        std::vector<OpPtr> stale;
        for (auto& op : ops_) {
            if (op->kind == UserOp::submit) {
                auto known = core_.known(op->id);
                if (known && (op->fresh || core_.view().final(op->id)))
                    op->answer = known;
                else if (known)
                    stale.push_back(op);
                else if (draft.submit(op->spec, settings_.member, static_cast<std::int64_t>(net::wall_now())))
                    batch.push_back(op);
                else
                    rest.push_back(op);
            } else {
                auto* job = core_.view().job(op->id);
                if (!job || job->state != model::JobState::active)
                    op->answer = core_.poll(op->id);
                else if (draft.withdraw(*job, static_cast<std::int64_t>(net::wall_now())))
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
        Txn txn = draft.build();
        auto r = co_await commit("users", txn);
        if (r.outcome == Outcome::applied) {
            // Before anyone is told: what is confirmed here is told to the controllers that ask from now on, also while
            // the own picture of the state does not show it yet.
            std::vector<std::string> confirmed;
            for (auto& op : batch)
                if (op->kind == UserOp::withdraw) confirmed.push_back(op->id);
            core_.note_cancelled(confirmed);
            for (auto& op : batch)
                op->answer = op->kind == UserOp::submit ? phase_answer(201, op->id, "queued")
                                                        : phase_answer(200, op->id, "aborted");
            apply_own(txn, r.epoch);
            changed_.notify();
            co_await caught_up(r.epoch, kStoreTimeoutS);
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

asio::awaitable<front::Response> Service::run_op(OpPtr op) {
    op->deadline = net::steady_now() + 2 * kUserTimeoutS;
    ops_.push_back(op);
    userWork_.notify();
    while (!op->answer) co_await changed_.wait(1);
    co_return to_response(*op->answer);
}

asio::awaitable<front::Response> Service::on_submit(std::string bytes) {
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
            bool fresh = co_await present();
            if (!fresh) co_return unavailable("the state service does not answer");
            if (auto known = core_.known(*ref)) co_return to_response(*known);
        }
        if (!spec) co_return refusal(400, std::get<wire::Invalid>(parsed).reason);
        if (never) co_return refusal(422, *never);
        co_return unavailable("the machine types are not known yet");
    }
    if (core_.view().final(spec->ref)) co_return to_response(*core_.known(spec->ref));
    if (core_.view().job(spec->ref)) {
        bool fresh = co_await present();
        if (!fresh) co_return unavailable("the state service does not answer");
        if (auto known = core_.known(spec->ref)) co_return to_response(*known);
    }
    auto op = std::make_shared<UserOp>();
    op->kind = UserOp::submit;
    op->id = spec->ref;
    op->spec = std::move(*spec);
    co_return co_await run_op(std::move(op));
}

asio::awaitable<front::Response> Service::on_poll(std::string id) {
    // What is final never changes; everything else may have changed elsewhere a moment ago.
    if (core_.view().final(id)) co_return to_response(core_.poll(id));
    bool fresh = co_await present();
    if (!fresh) co_return unavailable("the state service does not answer");
    co_return to_response(core_.poll(id));
}

asio::awaitable<front::Response> Service::on_withdraw(std::string id) {
    if (core_.view().final(id)) co_return to_response(core_.poll(id));
    bool fresh = co_await present();
    if (!fresh) co_return unavailable("the state service does not answer");
    auto* job = core_.view().job(id);
    if (!job || job->state != model::JobState::active) co_return to_response(core_.poll(id));
    auto op = std::make_shared<UserOp>();
    op->kind = UserOp::withdraw;
    op->id = id;
    co_return co_await run_op(std::move(op));
}

asio::awaitable<front::Response> Service::on_checkin(std::string bytes) {
    auto body = wire::decode(bytes);
    auto report = body ? wire::parse_report(*body) : std::nullopt;
    if (!report) co_return refusal(400, "not a report");
    // A process that has stood still answers what has queued up meanwhile before any of its timers: whether it may
    // still act for the controllers is judged first, by the clock as it is now.
    judge_standing();
    // The worker gives up after 4 s; what it no longer waits for would only hold it here.
    double until = net::steady_now() + 2.5;
    for (;;) {
        CheckinAnswer answer = core_.check_in(*report, now());
        if (core_.dirty()) work_.notify();
        switch (answer.kind) {
            case CheckinAnswer::renewed:
                co_return orders_reply(answer.token, answer.orders);
            case CheckinAnswer::redirect:
                co_return steer(answer.keeper);
            case CheckinAnswer::refuse:
                co_return unavailable("not entitled to act for the controllers now");
            case CheckinAnswer::claiming:
                break;
        }
        double left = until - net::steady_now();
        if (left <= 0) co_return unavailable("the registration of the host is not durable yet");
        co_await changed_.wait(std::min(left, 0.5));
    }
}

// ---------------------------------------------------------------- cloud

asio::awaitable<void> Service::apply_draft(Draft draft) {
    if (draft.empty()) co_return;
    Txn txn = draft.build();
    auto r = co_await commit("cloud", txn);
    if (r.outcome == Outcome::no_lease) hold_ = 0;
    if (r.outcome == Outcome::applied)
        co_await caught_up(r.epoch, kStoreTimeoutS);
    else
        co_await barrier(kStoreTimeoutS);
}

bool Service::may_call_cloud() {
    judge_standing();
    return core_.may_call_cloud();
}

asio::awaitable<void> Service::cloud_work() {
    double typesAt = -1e9, listAt = -1e9;
    for (;;) {
        co_await net::sleep_for(io_, net::jitter(settings_.reportS / 3));
        if (core_.member_state() != MemberState::live || !core_.member_stamp()) continue;
        if (core_.may_take_cloud_role()) {
            Draft d = core_.new_draft();
            core_.take_cloud_role(d, hold_);
            co_await apply_draft(std::move(d));
            if (core_.holds_cloud_role()) spdlog::info("took the cloud role");
        }
        if (!may_call_cloud()) continue;
        double t = net::steady_now();
        if (core_.view().types().empty() || t - typesAt > 60) {
            auto types = co_await cloud_.types();
            if (types) {
                typesAt = t;
                Json list = type_list(*types);
                if (const std::size_t size = list.dump().size(); size > core_.state_limits().value_bytes()) {
                    spdlog::error("{} of {} bytes is larger than a value may be: not written", keys::kTypes, size);
                } else {
                    Draft d = core_.new_draft();
                    d.put(keys::kTypes, core_.view().types_stamp(), std::move(list), 0);
                    co_await apply_draft(std::move(d));
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
        auto due = core_.returns_due(now());
        bool gone = false;
        if (!due.empty() && may_call_cloud()) gone = co_await cloud_.give_back(due);
        if (gone) {
            spdlog::info("returned {} machines, first {}", due.size(), due.front());
            Draft d = core_.new_draft();
            core_.mark_gone(d, due, now());
            co_await apply_draft(std::move(d));
        }
        // One request at a time, and a new look after each: what one kind cannot give, the next may.
        core_.plan_rentals(now());
        for (int calls = 0; calls < 12; ++calls) {
            auto orders = core_.rentals(now());
            if (orders.empty() || !may_call_cloud()) break;
            const RentalOrder o = orders.front();
            // A request name is never used again, not even by another process: it carries the incarnation.
            std::string ask = "r-" + std::to_string(core_.incarnation()) + "-" + std::to_string(++asks_);
            cloud::RentResult r;
            for (int tries = 0; tries < 2 && may_call_cloud(); ++tries) {
                r = co_await cloud_.rent(ask, o.build, o.hall, o.loaner, o.number);
                if (r.kind != cloud::RentResult::failed) break;
            }
            spdlog::info("rent {} {} in {}{}: {} machines", o.number, o.build, o.hall, o.loaner ? " (spot)" : "",
                         r.hosts.size());
            if (r.kind == cloud::RentResult::rented) core_.rented(o, r.hosts, now());
            if (r.kind == cloud::RentResult::refused) core_.refused(o, now());
            if (r.kind == cloud::RentResult::failed) break;
        }
    }
}

}  // namespace wellstair::controller
