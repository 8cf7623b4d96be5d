// A world of controllers, machines and users on a virtual clock, with troubles that a seed or a scenario brings:
// controllers that crash and are back in a moment, lose the store, their peers or the workers; member leases that run
// out; transactions that apply late; zones cut off with a controller inside; machines that die, restart, hang, hear
// nobody or reach nobody; commands that execute late; copies of heartbeats; an upgrade, and limits that fall.
// Heartbeats, commands and their replies take time on the way, so that they may overtake one another. The rules are
// checked at every task, and when the troubles are over every accepted job ends or serves, is known everywhere, and
// waits beside no free machine.
#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <random>

#include "controller/core.hpp"
#include "in_memory_state_store.hpp"
#include "leadership/availability.hpp"
#include "leadership/cancellation_read_barrier.hpp"
#include "site_settings.hpp"

namespace wellstair::test {

using controller::Core;
using controller::HeartbeatResponse;
using wire::Json;

constexpr double kStep = 0.25, kTroublesUntil = 240, kEnd = 2400;
constexpr double kLeaseS = 20, kCancelS = 45, kMemberTtlS = 5;
constexpr double kRedCores = 20, kBlueCores = 24;
constexpr double kServicesFrom = 90;       // when the upgrade is over
constexpr int kMostServices = 1;           // it keeps its room until the end: more might leave a gang none for ever
constexpr double kLongestWaitS = 90;       // after the troubles, of a job that some machine has room for
constexpr double kHeartbeatTimeoutS = 4;   // a worker waits no longer for the answer to a heartbeat
constexpr double kChangeHeartbeatS = 0.5;  // heartbeats of a change come no closer together

struct Task {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::running;
    wire::Cause cause = wire::Cause::none;
    double endsAt = 0;
    double wholeAt = 0;  // when all of its gang were last there
};

struct Worker {
    std::string name, machineType = "c8", zone = "a";
    bool spot = false;
    bool there = true;
    std::uint64_t agentEpoch = 1, sequence = 0, fencingToken = 0;
    double sentOk = 0, nextHeartbeat = 0;
    double lastSent = -kHeartbeatTimeoutS;
    bool renewed = false;         // some heartbeat of this session has been answered
    std::uint64_t awaited = 0;    // number of the heartbeat that is on its way or waits for its answer; 0: none
    double unreachableUntil = 0;  // hears nobody
    double muteUntil = 0;         // reaches nobody, commands reach it
    double hungUntil = 0;         // does nothing at all; goes on where it was
    std::size_t node = 0;
    std::map<workers::TaskKey, Task> tasks;
};

struct Node {
    config::Settings settings;
    bool old = false;       // runs the version in production: it knows neither parts nor announced limits
    bool replaced = false;  // its turn in the upgrade has come: from then on it starts as the new version
    std::unique_ptr<Core> core;
    double upAt = 0, cutStoreUntil = 0, cutPeersUntil = 0, cutWorkersUntil = 0;
    double slowUntil = 0;  // the state service answers, but its reads take seconds
    double lastStore = 0, lastRead = 0;
    std::uint64_t incarnation = 0;
    double leaseUntil = 0;  // of its member key
    Json planned;           // the transaction of its round
    leadership::CancellationReadBarrier readBarrier{1};
};

class Mix;
// What happens when; without a scenario, troubles come at random.
struct Scenario {
    const char* name;
    void (*at)(Mix&, double now);
    double lateTransactions = 0.02;  // share of transactions without an answer
    double lateCopies = 0.05;
    double urgent = 0.3, demand = 0.06;
    double lostCommands = 0.03;  // share of commands that get no answer; half of these execute late
    bool upgrade = false;        // begins with old versions, which are replaced one after the other; then limits fall
    double slowMessages = 0.1;   // share of heartbeats, commands, answers and replies that take up to two seconds each
};

// What the state service takes once its limits have fallen: a range of eight machines is too large for it.
constexpr config::StateLimits kFallenLimits{0.45, 15, 5};
constexpr double kUpgradeBegins = 40, kUpgradeEvery = 15, kLimitsFall = 110;

class Mix {
  public:
    explicit Mix(unsigned seed, const Scenario* scenario = nullptr) : random_(seed), network_random_(seed) {
        if (scenario) scenario_ = *scenario;
        config::Settings s = site_settings();
        s.leaseS = kLeaseS, s.cancelS = kCancelS;
        s.teams = {{"red", 16, kRedCores, 0, 0}, {"blue", 8, kBlueCores, 0, 0}};
        raw({{{"set", "ws/types"}, {"data", machine_types()}}});
        const std::vector<std::string> names = {"k-0", "k-1", "k-2"};
        for (const auto& n : names) {
            Node& node = nodes_.emplace_back();
            node.settings = s;
            node.settings.member = n;
            node.settings.location = zone_of(n);
            for (const auto& o : names)
                if (o != n) node.settings.members.push_back({o, zone_of(o), {}});
        }
        for (Node& n : nodes_) n.replaced = !scenario_.upgrade;
        for (int i = 0; i < (scenario_.upgrade ? 24 : 8); ++i) add_worker();
    }

    void run() {
        int next = 0;
        while (now_ < kEnd && !testing::Test::HasFailure()) {
            now_ += kStep;
            store_.set_time(now_);
            if (scenario_.upgrade) upgrade();
            bool troubles = now_ > 15 && now_ < kTroublesUntil;
            if (troubles && scenario_.at)
                scenario_.at(*this, now_);
            else if (troubles && chance(0.05))
                trouble();
            // Rented meanwhile: every kind of job has machines that fit.
            if (once(kTroublesUntil))
                for (const char* zone : {"a", "b"})
                    for (int i = 0; i < 2; ++i) {
                        add_worker();
                        Worker& w = workers_.back();
                        w.machineType = "c8", w.zone = zone, w.spot = false;
                    }
            if (now_ > 5 && now_ < kTroublesUntil && chance(scenario_.demand)) submit(++next);
            if (troubles && chance(0.01)) cancel_any();
            if (chance(0.02)) ask_again();
            while (workers_.size() < 6 ||
                   std::count_if(workers_.begin(), workers_.end(), [](const Worker& w) { return w.there; }) < 6)
                add_worker();
            end_member_leases();
            for (Worker& w : workers_) expire(w);
            late();
            deliver();
            // All plan on what they have read before any of them writes, as controllers do.
            for (Node& n : nodes_) serve(n);
            for (Node& n : nodes_) act(n);
            for (Worker& w : workers_)
                if (w.there) live(w);
            check();
            if (now_ > kTroublesUntil + 60 && all_over()) break;
        }
        for (const auto& [id, job] : jobs_) {
            if (!job.accepted) continue;
            for (Node& n : nodes_) {
                if (!n.core) continue;
                sync(n);
                auto a = n.core->poll(id);
                EXPECT_EQ(a.status, 200) << id;
                std::string phase = a.body.value("phase", "");
                if (job.spec.service() && !job.asked) {
                    EXPECT_EQ(phase, "running") << id << " at " << n.settings.member << "\n" << story(n, id);
                } else if (job.asked) {
                    EXPECT_TRUE(phase == "aborted" || phase == "done") << id << ": " << phase;
                } else {
                    EXPECT_EQ(phase, "done") << id << " at " << n.settings.member << "\n" << story(n, id);
                }
            }
        }
        EXPECT_GT(jobs_.size(), 5u) << "a mix without jobs shows nothing";
        EXPECT_GT(starts_, 5) << "a mix without starts shows nothing";
        if (scenario_.upgrade) {
            EXPECT_TRUE(store_.revision_of("ws/layout")) << "the layout was not switched";
            EXPECT_GT(services_, 0) << "an upgrade without services shows half of it";
            EXPECT_TRUE(std::any_of(store_.log.begin(), store_.log.end(), [](const auto& c) {
                return c.path.starts_with("ws/hosts/") && c.path.find('.') != std::string::npos;
            })) << "no range was divided";
        }
    }

    // --- what scenarios are made of
    bool once(double at) const { return now_ >= at && now_ < at + kStep; }
    std::size_t size() const { return nodes_.size(); }
    // The controller that keeps most machines.
    std::size_t leader() {
        std::map<std::string, int> kept;
        for (Node& n : nodes_)
            if (n.core)
                for (const auto& [name, h] : n.core->state().hosts())
                    if (h->leader == n.settings.member) ++kept[n.settings.member];
        std::size_t best = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (kept[nodes_[i].settings.member] > kept[nodes_[best].settings.member]) best = i;
        return best;
    }
    void crash(std::size_t i, double forS) {
        nodes_[i].core.reset();
        nodes_[i].upAt = now_ + forS;
    }
    void refuse(std::size_t i, double forS) { raise(nodes_[i].cutStoreUntil, forS); }
    void cut_peers(std::size_t i, double forS) { raise(nodes_[i].cutPeersUntil, forS); }
    void outage(double forS) {
        for (Node& n : nodes_) raise(n.cutStoreUntil, forS);
        raise(outageUntil_, forS);
    }
    void slow_store(double forS) {
        for (Node& n : nodes_) raise(n.slowUntil, forS);
    }
    void cut_zone(const char* zone, double forS) { raise(zoneCutUntil_[zone], forS); }
    void make_unreachable(double share, double forS) {
        for (Worker& w : workers_)
            if (chance(share)) raise(w.unreachableUntil, forS);
    }
    void mute(double share, double forS) {
        for (Worker& w : workers_)
            if (chance(share)) raise(w.muteUntil, forS);
    }
    void hang(Worker& w, double forS) {
        raise(w.hungUntil, forS);
        for (auto& [key, t] : w.tasks) t.endsAt += forS, t.wholeAt += forS;
    }
    void hang_some(double share, double forS) {
        for (Worker& w : workers_)
            if (chance(share)) hang(w, forS);
    }
    void lose_machines(int count) {
        for (; count > 0; --count) workers_[random_() % workers_.size()].there = false;
    }
    // Calls off jobs that run, as many as there are up to `count`; their machines hang for `hangS`.
    void cancel_running(int count, double hangS = 0) {
        std::set<std::string> ids;
        for (const Worker& w : workers_)
            for (const auto& [key, t] : w.tasks)
                if (w.there && t.phase == wire::TaskPhase::running) ids.insert(key.first);
        for (const std::string& id : ids) {
            if (count-- <= 0) break;
            for (std::size_t i = 0; i < nodes_.size(); ++i)
                if (cancel(id, nodes_[(leader() + 1 + i) % nodes_.size()])) break;
            for (Worker& w : workers_)
                if (hangS > 0 &&
                    std::any_of(w.tasks.begin(), w.tasks.end(), [&](const auto& t) { return t.first.first == id; }))
                    hang(w, hangS);
        }
    }
    void cancel_at_ends(double share) { cancelAtEnd_ = share; }
    // Calls off jobs of which a start had no answer and is still on its way.
    void cancel_starting() {
        for (const LateCommands& late : lateCommands_)
            for (const wire::Command& o : late.commands)
                if (o.type == wire::CommandType::start) cancel(o.job, nodes_[random_() % nodes_.size()]);
    }

  private:
    static std::string zone_of(const std::string& node) { return node == "k-2" ? "b" : "a"; }
    void raise(double& until, double forS) { until = std::max(until, now_ + forS); }
    bool zone_cut(const std::string& zone) const {
        auto it = zoneCutUntil_.find(zone);
        return it != zoneCutUntil_.end() && now_ < it->second;
    }
    // Between a controller or machine in one zone and one in another; the state service belongs to no zone.
    bool apart(const std::string& a, const std::string& b) const { return a != b && (zone_cut(a) || zone_cut(b)); }
    bool has_store(const Node& n) const { return now_ >= n.cutStoreUntil && !zone_cut(n.settings.location); }
    bool reach(const Node& n, const Worker& w) const {
        return w.there && now_ >= n.cutWorkersUntil && now_ >= w.hungUntil && !apart(n.settings.location, w.zone);
    }
    bool all_over() const {
        return lateTransactions_.empty() && lateCommands_.empty() && copies_.empty() && network_.empty() &&
               std::all_of(jobs_.begin(), jobs_.end(), [&](const auto& j) {
                   const JobNote& job = j.second;
                   bool serves = job.spec.service() && !job.asked && replicas(j.first) == job.spec.taskCount;
                   return !job.accepted || !job.told.empty() || serves;
               });
    }
    // Tasks of a job that run.
    std::uint32_t replicas(const std::string& id) const {
        std::uint32_t n = 0;
        for (const Worker& w : workers_)
            for (const auto& [key, t] : w.tasks) n += w.there && key.first == id && t.phase == wire::TaskPhase::running;
        return n;
    }
    // Processes are replaced one after the other; one that ends before its turn comes back old.
    void upgrade() {
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (once(kUpgradeBegins + kUpgradeEvery * static_cast<double>(i))) {
                nodes_[i].replaced = true;
                crash(i, 3);
            }
        if (once(kLimitsFall)) store_.enforce_limits(kFallenLimits);
    }
    // A member's lease ends when it is not renewed, but not in an outage, and has its full time again after that.
    void end_member_leases() {
        for (Node& n : nodes_) {
            if (now_ < outageUntil_) n.leaseUntil = now_ + kMemberTtlS;
            const std::string key = "ws/members/" + n.settings.member;
            if (store_.revision_of(key) && now_ > n.leaseUntil) raw({{{"remove", key}}});
        }
    }
    // Where a job's tasks are, for a failure's message.
    std::string story(Node& n, const std::string& id) {
        auto* job = n.core->state().job(id);
        if (!job) return "";
        std::string out = state::AvailabilityTraits::name(n.core->availability());
        for (std::uint32_t i = 0; i < job->spec->taskCount; ++i) {
            state::Task s = job->task(i, n.core->state().chunk_size());
            out += "; " + std::to_string(i) + " " + state::TaskTraits::name(s.state) + "#" + std::to_string(s.attempt);
            if (!s.host) continue;
            out += " on " + s.host->name + " of " + s.host->leader + "@" + std::to_string(s.host->incarnation) +
                   " baton " + std::to_string(s.fencingToken) + "/" + std::to_string(s.host->fencingToken) +
                   " leaving " + std::to_string(static_cast<int>(s.host->leaving));
            for (Node& k : nodes_)
                if (auto* tracker = k.core ? k.core->tracker(s.host->name) : nullptr)
                    out += " [" + k.settings.member + "@" + std::to_string(k.incarnation) + " " +
                           state::HostTraits::name(tracker->state) + " gaps " + std::to_string(tracker->missedAnswers) +
                           " lease " + tracker->lease.describe(now_) + "]";
        }
        return out;
    }

    struct JobNote {
        wire::JobSpec spec;
        bool accepted = false;
        bool asked = false;          // to be cancelled; the answer may have been lost
        double cancelledSince = -1;  // since when its user knows that it is
        double waitsS = 0;           // after the troubles: for how long a machine has had room for it
        std::set<std::uint32_t> completed;
        std::string told;
    };
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
    double between(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
    controller::Timestamp timestamp() const { return {now_, 1'000'000 + now_}; }
    void raw(Json apply) {
        Json transaction;
        transaction["when"] = Json::array();
        transaction["apply"] = std::move(apply);
        store_.commit(transaction);
    }
    void add_worker() {
        Worker w;
        char name[16];
        ++made_;
        // In an upgrade the machines of a zone are all of one range, so that it has to be divided.
        std::snprintf(name, sizeof name, "n-%06d", scenario_.upgrade ? 6 * made_ : made_);
        w.name = name;
        w.machineType = made_ % 4 == 0 ? "g8" : "c8", w.zone = made_ % 3 == 0 ? "b" : "a", w.spot = made_ % 5 == 0;
        w.sentOk = now_;
        w.node = random_() % nodes_.size();
        workers_.push_back(w);
    }

    void trouble() {
        Node& n = nodes_[random_() % nodes_.size()];
        Worker& w = workers_[random_() % workers_.size()];
        double length = between(2, 45);
        switch (random_() % 16) {
            case 0:  // a process ends, and is back after a while or at once
                n.core.reset();
                n.upAt = now_ + (chance(0.5) ? 0.3 : between(2, 12));
                break;
            case 1:
                for (Node& each : nodes_) each.core.reset(), each.upAt = now_ + between(0.2, 9);
                break;
            case 2:  // it loses the store alone
                n.cutStoreUntil = now_ + length;
                break;
            case 3:  // store and peers, but not its workers
                n.cutStoreUntil = n.cutPeersUntil = now_ + length;
                break;
            case 4:
                n.cutWorkersUntil = now_ + length;
                break;
            case 5:  // an outage for everybody
                for (Node& each : nodes_) each.cutStoreUntil = std::max(each.cutStoreUntil, now_ + length);
                break;
            case 6:  // the machine is gone for good
                w.there = false;
                break;
            case 7:  // it restarts in a moment
                w.tasks.clear();
                ++w.agentEpoch;
                w.sentOk = now_;
                w.renewed = false;
                w.awaited = 0;
                break;
            case 8:  // it hears nobody
            case 9:
                w.unreachableUntil = now_ + between(5, 70);
                break;
            case 10:
                n.cutPeersUntil = now_ + length;
                break;
            case 11:
                hang(w, between(2, 60));
                break;
            case 12:
                w.muteUntil = now_ + length;
                break;
            case 13:
                cut_zone(chance(0.5) ? "a" : "b", length);
                break;
            case 14:
                slow_store(length);
                break;
            case 15:
                cancel_running(2, chance(0.5) ? length : 0);
                break;
        }
    }

    void submit(int number) {
        Node& n = nodes_[random_() % nodes_.size()];
        if (!n.core || !has_store(n) || n.core->availability() != state::Availability::serving) return;
        JobNote note;
        wire::JobSpec& s = note.spec;
        s.id = "j-" + std::to_string(number);
        s.jobClass = "work", s.team = chance(0.5) ? "red" : "blue", s.image = "img";
        s.priority = chance(scenario_.urgent) ? wire::PriorityClass::urgent : wire::PriorityClass::standard;
        if (chance(0.25)) s.zone = chance(0.5) ? "a" : "b";
        if (chance(0.15)) s.machineTypes = {"c8"};
        s.spotAllowed = chance(0.6);
        bool gang = chance(0.3);
        s.kind = gang ? wire::JobKind::gang : wire::JobKind::batch;
        // Nothing new is asked for before all have the new version.
        bool allNew = std::none_of(nodes_.begin(), nodes_.end(), [](const Node& each) { return each.old; });
        bool service = allNew && !gang && now_ > kServicesFrom && services_ < kMostServices && chance(0.3);
        if (service) s.kind = wire::JobKind::service;
        s.taskCount = gang ? 2 : 1 + random_() % 3;
        s.coLocated = gang || chance(0.2);
        s.spread = !s.coLocated && !s.zone && chance(0.2);
        // Some run for longer than cancel_s: they would go on after a cancellation that nobody carries out.
        s.cores = 2 + 2 * (random_() % 3), s.ramGb = 4, s.imageGb = 1;
        s.estimatedDurationS = chance(0.25) ? between(60, 100) : between(5, 25),
        s.checkpointIntervalS = chance(0.5) ? 5 : 0, s.checkpointWriteS = 1;
        if (service)
            s.estimatedDurationS = 0, s.checkpointIntervalS = 0, s.cores = 2,
            s.priority = wire::PriorityClass::production;
        bool unsure = false;
        if (n.core->never_runs(s, unsure)) return;
        sync(n);
        jobs_[s.id] = note;  // without an answer it may still be submitted later
        auto builder = n.core->new_transaction();
        builder.submit(s, n.settings.member, static_cast<std::int64_t>(timestamp().wall));
        jobs_[s.id].accepted = commit(n, builder);
        services_ += service && jobs_[s.id].accepted;
    }

    void cancel_any() {
        if (jobs_.empty()) return;
        auto it = jobs_.begin();
        std::advance(it, random_() % jobs_.size());
        cancel(it->first, nodes_[random_() % nodes_.size()]);
    }

    bool cancel(const std::string& id, Node& n) {
        if (!n.core || !has_store(n) || n.core->availability() != state::Availability::serving) return false;
        sync(n);
        JobNote& note = jobs_[id];
        auto* job = n.core->state().job(id);
        if (!job || job->state != state::JobState::active) return false;
        auto builder = n.core->new_transaction();
        builder.cancel(*job, static_cast<std::int64_t>(timestamp().wall));
        note.asked = true;
        bool told = commit(n, builder);
        if (told) n.core->record_cancellations({id});
        if (told && note.cancelledSince < 0) note.cancelledSince = now_;
        return told;
    }

    // A user repeats a submission, or asks about a job, by way of whichever controller the balancer gives it.
    void ask_again() {
        if (jobs_.empty()) return;
        auto it = jobs_.begin();
        std::advance(it, random_() % jobs_.size());
        Node& n = nodes_[random_() % nodes_.size()];
        if (!it->second.accepted || !n.core || !has_store(n)) return;
        if (n.core->availability() != state::Availability::serving) return;
        sync(n);
        bool unsure = false;
        EXPECT_FALSE(n.core->never_runs(it->second.spec, unsure).has_value()) << it->first;
        ASSERT_TRUE(n.core->known(it->first).has_value()) << it->first << " is forgotten at " << n.settings.member;
        EXPECT_EQ(n.core->poll(it->first).status, 200) << it->first;
    }

    void sync(Node& n) {
        if (!has_store(n)) return;
        auto& state = n.core->state();
        auto first = std::partition_point(store_.log.begin(), store_.log.end(),
                                          [&](const auto& c) { return c.revision <= state.revision(); });
        bool any = first != store_.log.end();
        for (auto it = first; it != store_.log.end(); ++it)
            state.apply(it->path, it->data ? &*it->data : nullptr, it->revision, timestamp().wall);
        state.advance(store_.revision);
        if (any) n.core->request_replan();
        n.lastStore = n.lastRead = now_;
    }

    bool commit(Node& n, const state::TransactionBuilder& builder) {
        return !builder.empty() && commit(n, builder.build().body);
    }

    bool commit(Node& n, const Json& body) {
        if (!has_store(n)) return false;
        if (chance(scenario_.lateTransactions) && now_ < kTroublesUntil) {  // no reply: it is applied later, or never
            if (chance(0.7)) lateTransactions_.emplace_back(now_ + between(0.5, chance(0.5) ? 12 : 60), body);
            return false;
        }
        const std::string result = store_.commit(body);
        const bool ok = result.starts_with("ok");
        if (result.starts_with("malformed")) n.core->handle_rejected_transaction(written_keys(body), timestamp());
        if (ok || now_ >= n.slowUntil) sync(n);
        if (!ok) n.core->request_replan();
        return ok;
    }

    void late() {
        for (auto it = lateTransactions_.begin(); it != lateTransactions_.end();)
            if (it->first <= now_)
                store_.commit(it->second), it = lateTransactions_.erase(it);
            else
                ++it;
        for (auto it = lateCommands_.begin(); it != lateCommands_.end();) {
            if (it->at > now_) {
                ++it;
                continue;
            }
            for (Worker& w : workers_)
                if (w.there && w.name == it->host && now_ < w.hungUntil) {
                    it->at = w.hungUntil;  // waits there until the machine goes on
                } else if (w.there && w.name == it->host && w.agentEpoch == it->agentEpoch &&
                           it->fencingToken >= w.fencingToken) {
                    w.fencingToken = it->fencingToken;
                    execute(w, it->commands);
                }
            if (it->at > now_)
                ++it;
            else
                it = lateCommands_.erase(it);
        }
        for (auto it = copies_.begin(); it != copies_.end();) {
            if (it->at > now_) {
                ++it;
                continue;
            }
            Node& n = nodes_[it->node];
            if (n.core && now_ >= n.cutWorkersUntil) {
                update_availability(n);
                answer(n, it->heartbeat);
            }
            it = copies_.erase(it);
        }
    }

    void serve(Node& n) {
        if (!n.core) {
            if (now_ < n.upAt || !has_store(n)) return;
            n.incarnation = ++incarnations_;
            n.readBarrier = leadership::CancellationReadBarrier(n.incarnation * 1'000'000);
            n.old = !n.replaced;
            n.settings.nextState = scenario_.upgrade && !n.old ? std::optional(kFallenLimits) : std::nullopt;
            n.core = std::make_unique<Core>(n.settings, controller::Tunables{}, n.incarnation);
            n.lastStore = now_;
            sync(n);
            n.core->set_state_ready(true);
            raw({{{"set", "ws/members/" + n.settings.member}, {"data", member_data(n)}}});
            n.leaseUntil = now_ + kMemberTtlS;
        }
        bool store = has_store(n);
        const std::string key = "ws/members/" + n.settings.member;
        if (store) {
            n.lastStore = now_;
            if (now_ >= n.slowUntil || chance(0.1)) sync(n);
            if (!n.core->member_revision() || now_ > n.leaseUntil) {
                raw({{{"set", key}, {"data", member_data(n)}}});
                sync(n);
            }
            n.leaseUntil = now_ + kMemberTtlS;
        }
        auto requestNumber = n.readBarrier.next_request(now_);
        for (Node& other : nodes_) {
            if (&other == &n || !other.core || now_ < other.cutPeersUntil || now_ < n.cutPeersUntil) continue;
            if (apart(n.settings.location, other.settings.location) || chance(0.1)) continue;
            n.core->record_cancellations(other.core->cancellations());
            n.readBarrier.acknowledge(other.settings.member, other.incarnation, requestNumber);
            n.core->set_peer_status(other.core->own_peer_status(now_ - other.lastStore, timestamp()), timestamp());
        }
        update_availability(n);
        n.core->advance_time(timestamp());
        if (n.core->availability() != state::Availability::serving)
            for (auto& [host, commands] : n.core->commands_due(timestamp())) command(n, host, commands);
        n.planned = nullptr;
        if (!store || n.core->availability() != state::Availability::serving) return;
        auto builder = n.core->round(timestamp());
        if (!builder.empty()) n.planned = builder.build().body;
    }

    void act(Node& n) {
        if (!n.core || !has_store(n) || n.core->availability() != state::Availability::serving) return;
        if (!n.planned.is_null()) commit(n, std::exchange(n.planned, nullptr));
        for (auto& [host, commands] : n.core->commands_due(timestamp())) command(n, host, commands);
        if (n.core->may_take_cloud_role()) {
            auto builder = n.core->new_transaction();
            n.core->take_cloud_role(builder, 0);
            commit(n, builder);
        }
        auto due = n.core->scale_in_due(timestamp());
        if (due.empty()) return;
        for (Worker& w : workers_)
            if (std::find(due.begin(), due.end(), w.name) != due.end()) w.there = false, w.tasks.clear();
        auto builder = n.core->new_transaction();
        n.core->mark_gone(builder, due, timestamp());
        commit(n, builder);
    }

    // What a process says about itself; production says nothing of layouts.
    static Json member_data(const Node& n) {
        return n.old ? Json{{"inc", n.incarnation}} : n.core->member_data().encode();
    }

    void update_availability(Node& n) {
        leadership::AvailabilitySignals h;
        h.registered = n.core->member_revision() != 0, h.hasPeers = true;
        h.storeAgeS = now_ - n.lastStore;
        h.stateReadAgeS = now_ - std::max(n.lastRead, n.readBarrier.acknowledged_until(n.core->others()));
        h.peerHeard = n.core->peer_heard(timestamp()), h.peerHasStore = n.core->peer_has_store(timestamp());
        n.core->set_availability(leadership::next_availability(n.core->availability(), h, {kCancelS, kLeaseS}),
                                 timestamp());
    }

    // How long one message takes. Most are there within the task in which they were sent.
    double flight_time() {
        std::uniform_real_distribution<double> share(0, 1), slow(kStep, 2);
        return share(network_random_) < scenario_.slowMessages && now_ < kTroublesUntil ? slow(network_random_) : 0;
    }
    void after(double delayS, std::function<void()> arrival) {
        if (delayS <= 0)
            arrival();
        else
            network_.emplace(now_ + delayS, std::move(arrival));
    }
    void deliver() {
        while (!network_.empty() && network_.begin()->first <= now_) {
            auto arrival = std::move(network_.begin()->second);
            network_.erase(network_.begin());
            arrival();
        }
    }
    // The process that sent a request, if it still runs.
    Core* process(std::size_t node, std::uint64_t incarnation) {
        Node& n = nodes_[node];
        return n.core && n.incarnation == incarnation ? n.core.get() : nullptr;
    }
    Worker* worker(const std::string& name) {
        auto w = std::find_if(workers_.begin(), workers_.end(),
                              [&](const Worker& each) { return each.there && each.name == name; });
        return w == workers_.end() ? nullptr : &*w;
    }

    struct Command {
        std::size_t node;
        std::uint64_t incarnation;
        std::string host;
        std::uint64_t agentEpoch, fencingToken;
        std::vector<wire::Command> commands;
    };

    void command(Node& n, const std::string& host, const std::vector<wire::Command>& commands) {
        auto node = static_cast<std::size_t>(
            std::find_if(nodes_.begin(), nodes_.end(), [&](const Node& each) { return &each == &n; }) - nodes_.begin());
        Command sent{
            node,    n.incarnation, host, n.core->tracker(host)->agentEpoch, n.core->state().host(host)->fencingToken,
            commands};
        n.core->commands_sent(host, commands, timestamp());
        const double sentS = now_;
        after(flight_time(), [this, sent, sentS] { arrive(sent, sentS); });
    }

    // A command reaches its machine, or is lost on the way.
    void arrive(const Command& c, double sentS) {
        Worker* w = worker(c.host);
        bool reaches = w && reach(nodes_[c.node], *w) && now_ >= w->unreachableUntil;
        if (!reaches || (chance(scenario_.lostCommands) && now_ < kTroublesUntil)) {
            bool hangs = w && now_ < w->hungUntil;
            if (hangs || chance(0.5))
                lateCommands_.push_back({now_ + between(0.5, 90), c.host, c.agentEpoch, c.fencingToken, c.commands});
            if (Core* core = process(c.node, c.incarnation))
                core->commands_answered(c.host, c.commands, false, c.fencingToken);
            return;
        }
        if (c.agentEpoch == w->agentEpoch && c.fencingToken >= w->fencingToken) {
            w->fencingToken = c.fencingToken;
            execute(*w, c.commands);
            heartbeat_on_change(*w);
        }
        const double timeoutS = 0.6 * nodes_[c.node].settings.heartbeatIntervalS;
        const double back = flight_time();
        const bool inTime = now_ + back - sentS <= timeoutS;
        after(inTime ? back : std::max(0.0, sentS + timeoutS - now_), [this, c, inTime, reply = heartbeat(*w)] {
            Core* core = process(c.node, c.incarnation);
            if (!core) return;
            if (inTime) core->handle_command_reply(reply, timestamp());
            core->commands_answered(c.host, c.commands, inTime, c.fencingToken);
        });
    }

    void execute(Worker& w, const std::vector<wire::Command>& commands) {
        for (const auto& o : commands) {
            workers::TaskKey key{o.job, o.index};
            auto it = w.tasks.find(key);
            if (o.type == wire::CommandType::start) {
                if (it != w.tasks.end() && it->second.attempt == o.attempt) continue;
                if (it != w.tasks.end() && it->second.phase != wire::TaskPhase::ended) continue;  // busy
                for (const Worker& other : workers_)
                    if (other.there && &other != &w) {
                        auto same = other.tasks.find(key);
                        EXPECT_FALSE(same != other.tasks.end() && same->second.phase != wire::TaskPhase::ended)
                            << o.job << "/" << o.index << " starts on " << w.name << " while on " << other.name
                            << " at " << now_;
                    }
                const auto& job = jobs_.find(o.job);
                ASSERT_TRUE(job != jobs_.end());
                EXPECT_FALSE(job->second.cancelledSince >= 0 && now_ > job->second.cancelledSince + kCancelS)
                    << o.job << " starts " << now_ - job->second.cancelledSince << " s after its end";
                check_place(w, job->second.spec);
                ++starts_;
                bool kept = job->second.completed.count(o.index) > 0;
                double runS = kept ? 0.5 : job->second.spec.estimatedDurationS * between(0.5, 1.5);
                // Replicas fail, or end of themselves, now and then; none does once the troubles are over.
                if (job->second.spec.service()) runS = now_ < kTroublesUntil && chance(0.3) ? between(5, 60) : kEnd;
                w.tasks[key] = {o.attempt, wire::TaskPhase::running, wire::Cause::none, now_ + runS, now_};
            } else if (it != w.tasks.end() && it->second.attempt == o.attempt) {
                if (o.type == wire::CommandType::acknowledge) {
                    if (it->second.phase == wire::TaskPhase::ended) w.tasks.erase(it);
                } else if (it->second.phase != wire::TaskPhase::ended) {
                    it->second.phase = wire::TaskPhase::ended;
                    it->second.cause = wire::Cause::stopped;
                }
            }
        }
    }

    wire::Heartbeat heartbeat(Worker& w) {
        wire::Heartbeat r;
        r.host = w.name, r.address = "10.1.0.1:9000", r.machineType = w.machineType, r.zone = w.zone, r.spot = w.spot;
        r.agentEpoch = w.agentEpoch, r.sequence = ++w.sequence, r.fencingToken = w.fencingToken;
        for (const auto& [key, t] : w.tasks) {
            wire::TaskStatus e;
            e.job = key.first, e.index = key.second, e.attempt = t.attempt, e.phase = t.phase, e.cause = t.cause;
            r.tasks.push_back(e);
        }
        return r;
    }

    struct Reply {
        int status = 503;
        std::string leader;
        std::uint64_t fencingToken = 0;
        std::vector<wire::Command> commands;
    };
    Reply answer(Node& n, const wire::Heartbeat& r) {
        HeartbeatResponse a = n.core->handle_heartbeat(r, timestamp());
        if (a.kind == HeartbeatResponse::redirect) return {421, a.leader, 0, {}};
        if (a.kind != HeartbeatResponse::renewed) return {};
        return {200, "", a.token, a.commands};
    }

    void expire(Worker& w) {
        if (now_ - w.sentOk < kLeaseS) return;
        w.tasks.clear();
        ++w.agentEpoch;
        w.sentOk = now_;
        w.renewed = false;
        w.awaited = 0;
    }

    void live(Worker& w) {
        if (now_ < w.hungUntil) return;
        for (auto& [key, t] : w.tasks) {
            if (t.phase != wire::TaskPhase::running) continue;
            JobNote& job = jobs_[key.first];
            // A gang completes together, and exits when one of its tasks has been gone for a while.
            std::vector<Task*> gang = {&t};
            if (job.spec.kind == wire::JobKind::gang)
                for (Worker& other : workers_)
                    for (auto& [otherKey, o] : other.tasks)
                        if (other.there && now_ >= other.hungUntil && &o != &t && otherKey.first == key.first &&
                            o.attempt == t.attempt && o.phase == wire::TaskPhase::running)
                            gang.push_back(&o);
            bool whole = job.spec.kind != wire::JobKind::gang || gang.size() == job.spec.taskCount;
            if (whole) t.wholeAt = now_;
            if (job.spec.service()) {
                if (now_ < t.endsAt) continue;
                t.phase = wire::TaskPhase::ended;
                t.cause = chance(0.5) ? wire::Cause::error : wire::Cause::done;
            } else if (whole && now_ >= t.endsAt) {
                for (Task* each : gang) each->phase = wire::TaskPhase::ended, each->cause = wire::Cause::done;
                if (job.spec.kind == wire::JobKind::gang)
                    for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) job.completed.insert(i);
                else
                    job.completed.insert(key.second);
                // A user calls it off at the very moment at which its last task ends.
                if (job.completed.size() == job.spec.taskCount && chance(cancelAtEnd_))
                    cancel(key.first, nodes_[random_() % nodes_.size()]);
            } else if (!whole && now_ - t.wholeAt > 8) {
                t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::gang_peer_lost;
            }
            if (t.phase == wire::TaskPhase::ended) heartbeat_on_change(w);
        }
        if (w.awaited && now_ >= w.lastSent + kHeartbeatTimeoutS) try_next(w, 1);
        if (w.awaited || now_ < w.nextHeartbeat) return;
        w.nextHeartbeat = now_ + between(2.25, 3.75);
        send_heartbeat(w);
    }

    // A change is reported at once, though not more often than every half second.
    void heartbeat_on_change(Worker& w) {
        w.nextHeartbeat = std::min(w.nextHeartbeat, std::max(now_, w.lastSent + kChangeHeartbeatS));
    }

    void try_next(Worker& w, double inS) {
        w.awaited = 0;
        w.node = (w.node + 1) % nodes_.size();
        w.nextHeartbeat = now_ + inS;
    }

    void send_heartbeat(Worker& w) {
        wire::Heartbeat r = heartbeat(w);
        w.lastSent = now_;
        w.awaited = r.sequence;
        if (chance(scenario_.lateCopies) && now_ < kTroublesUntil)
            copies_.push_back({now_ + between(1, 80), w.node, r});
        if (now_ < w.muteUntil) return;
        after(flight_time(), [this, name = w.name, node = w.node, r] {
            Worker* w = worker(name);
            Node& n = nodes_[node];
            if (!w || !n.core || !reach(n, *w)) return;
            update_availability(n);
            Reply reply = answer(n, r);
            after(flight_time(), [this, name, r, reply] { take_answer(name, r, reply); });
        });
    }

    // An answer that comes too late, or to a heartbeat of an earlier session, is dropped.
    void take_answer(const std::string& name, const wire::Heartbeat& r, const Reply& reply) {
        Worker* w = worker(name);
        if (!w || now_ < w->unreachableUntil || now_ < w->hungUntil) return;
        if (w->agentEpoch != r.agentEpoch || w->awaited != r.sequence || now_ >= w->lastSent + kHeartbeatTimeoutS)
            return;
        w->awaited = 0;
        if (reply.status == 503) {
            try_next(*w, 1);
        } else if (reply.status == 421) {
            for (std::size_t i = 0; i < nodes_.size(); ++i)
                if (nodes_[i].settings.member == reply.leader) w->node = i;
            w->nextHeartbeat = now_ + 0.25;
        } else if (reply.fencingToken >= w->fencingToken) {
            if (reply.fencingToken > w->fencingToken) w->nextHeartbeat = now_ + 0.5;
            w->fencingToken = reply.fencingToken;
            w->sentOk = w->lastSent;
            w->renewed = true;
            execute(*w, reply.commands);
        }
    }

    // Type, zone and kind of machine, and the zones of the job's other tasks at that moment.
    void check_place(const Worker& w, const wire::JobSpec& s) {
        EXPECT_TRUE(fits(w, s)) << s.id << " starts in a wrong place: " << w.name << " " << w.machineType << " "
                                << w.zone;
        std::uint32_t tasksPerZone = 1;
        for (const Worker& other : workers_)
            for (const auto& [key, t] : other.tasks) {
                if (!other.there || key.first != s.id || t.phase == wire::TaskPhase::ended || &other == &w) continue;
                if (s.coLocated) {
                    EXPECT_EQ(other.zone, w.zone) << s.id << " is torn apart at " << now_;
                }
                tasksPerZone += other.zone == w.zone;
            }
        if (s.spread) {
            EXPECT_LE(tasksPerZone, (s.taskCount + 1) / 2) << s.id << " is crowded in " << w.zone << " at " << now_;
        }
    }
    static bool fits(const Worker& w, const wire::JobSpec& s) {
        if (s.machineTypes &&
            std::find(s.machineTypes->begin(), s.machineTypes->end(), w.machineType) == s.machineTypes->end())
            return false;
        return (!s.zone || *s.zone == w.zone) && (!w.spot || s.spotAllowed);
    }
    double used_on(const Worker& w) const {
        double used = 0;
        for (const auto& [key, t] : w.tasks)
            if (t.phase != wire::TaskPhase::ended) used += jobs_.at(key.first).spec.cores;
        return used;
    }

    // Once the troubles are over: no job without a task waits while machines that fit have room and its team may. What
    // is placed and on its way to its machine counts as used: a second between two tasks is no room.
    void check_waiting(std::map<std::string, double> used) {
        if (now_ < kTroublesUntil + kLeaseS) return;
        auto reader = std::find_if(nodes_.begin(), nodes_.end(), [&](Node& n) { return n.core && has_store(n); });
        if (reader == nodes_.end()) return;
        sync(*reader);
        state::StateCache& state = reader->core->state();
        for (const auto& [team, record] : state.teams())
            used[team] = std::max(used[team], static_cast<double>(record.total.cores) / 1000);
        for (auto& [id, job] : jobs_) {
            const wire::JobSpec& s = job.spec;
            std::uint32_t need = s.kind == wire::JobKind::gang ? s.taskCount : 1;
            bool begun = !job.accepted || job.asked || !job.completed.empty();
            std::map<std::string, std::uint32_t> room;  // by zone
            for (const Worker& w : workers_) {
                if (!w.there || now_ < std::max({w.unreachableUntil, w.muteUntil, w.hungUntil})) continue;
                for (const auto& [key, t] : w.tasks) begun = begun || key.first == id;
                double taken = used_on(w);
                if (auto* h = state.host(w.name)) {
                    double placed = 0;
                    for (const auto& ref : h->placed) placed += ref.job->spec->cores;
                    taken = std::max(taken, placed);
                }
                if (fits(w, s) && taken < 8) room[w.zone] += static_cast<std::uint32_t>((8 - taken) / s.cores);
            }
            double limit = s.team == "red" ? kRedCores : kBlueCores;
            auto it = used.find(s.team);
            bool may = (it == used.end() ? 0 : it->second) + need * s.cores <= limit;
            bool free = std::any_of(room.begin(), room.end(), [&](const auto& r) { return r.second >= need; });
            job.waitsS = !begun && may && free ? job.waitsS + kStep : 0;
            EXPECT_LT(job.waitsS, kLongestWaitS)
                << id << " of " << s.taskCount << " x " << s.cores << " cores, team " << s.team << ", rank "
                << static_cast<int>(s.priority) << ", waits beside machines with room at " << now_ << "\n"
                << whole();
        }
    }

    // What the state service was told about a job.
    std::string history(const std::string& id) {
        std::string out;
        for (const auto& c : store_.log)
            if (c.path.find("/" + id) != std::string::npos)
                out += std::to_string(c.revision) + " " + c.path + " " + (c.data ? c.data->dump() : "removed") + "\n";
        return out;
    }

    // All that is there and all that waits, for a failure's message.
    std::string whole() {
        std::string out;
        for (const Worker& w : workers_) {
            if (!w.there) continue;
            out += w.name + " " + w.machineType + " " + w.zone + (w.spot ? " spot" : "") + " baton " +
                   std::to_string(w.fencingToken) + ":";
            for (const auto& [key, t] : w.tasks)
                out += " " + wire::task_id(key.first, key.second) + "#" + std::to_string(t.attempt) +
                       (t.phase == wire::TaskPhase::ended ? " ended" : "");
            for (Node& n : nodes_)
                if (auto* h = n.core ? n.core->state().host(w.name) : nullptr; h && h->leader == n.settings.member)
                    if (auto* tracker = n.core->tracker(w.name))
                        out += " [" + h->leader + " " + state::HostTraits::name(tracker->state) + " baton " +
                               std::to_string(h->fencingToken) + " gaps " + std::to_string(tracker->missedAnswers) +
                               " rest " + std::to_string(tracker->quarantineUntilS - now_) + " leaving " +
                               std::to_string(static_cast<int>(h->leaving)) + " placed " +
                               std::to_string(h->placed.size()) + "]";
            out += "\n";
        }
        for (auto& [id, job] : jobs_)
            if (job.accepted && !job.asked && job.completed.size() < job.spec.taskCount)
                out += id + ": " + std::to_string(job.spec.taskCount) + " x " + std::to_string(job.spec.cores) + " " +
                       job.spec.team + (job.spec.zone ? " only " + *job.spec.zone : "") +
                       (job.spec.kind == wire::JobKind::gang ? " gang" : "") +
                       (job.spec.priority == wire::PriorityClass::urgent ? " urgent" : "") + "\n";
        return out;
    }

    void check() {
        std::map<std::string, double> used;
        for (const Worker& w : workers_)
            if (w.there)
                for (const auto& [key, t] : w.tasks) {
                    if (t.phase == wire::TaskPhase::ended) continue;
                    const JobNote& job = jobs_[key.first];
                    used[job.spec.team] += job.spec.cores;
                    EXPECT_FALSE(job.cancelledSince >= 0 && now_ > job.cancelledSince + kCancelS)
                        << key.first << " runs on " << w.name << " " << now_ - job.cancelledSince << " s after its end";
                }
        check_leases();
        EXPECT_LE(used["red"], kRedCores) << "the limit of team red at " << now_;
        EXPECT_LE(used["blue"], kBlueCores) << "the limit of team blue at " << now_;
        check_waiting(used);
        for (Node& n : nodes_) {
            if (!n.core || !has_store(n)) continue;
            // What is not final is answered only from a read of that moment.
            if (now_ < n.slowUntil) continue;
            sync(n);
            for (auto& [id, job] : jobs_) {
                auto a = n.core->known(id);
                if (!a) continue;
                std::string phase = a->body.value("phase", "");
                if (phase == "done") {
                    EXPECT_FALSE(job.spec.service()) << id << ", a service, is called done";
                    EXPECT_EQ(job.completed.size(), job.spec.taskCount) << id << " is called done early";
                }
                bool final = phase == "done" || phase == "aborted";
                if (final) {
                    EXPECT_TRUE(phase == "done" || job.asked) << id << " is called cancelled, and nobody asked for it";
                }
                // Told by a question, too: its cancellation may have been carried out without an answer.
                if (phase == "aborted" && job.cancelledSince < 0) job.cancelledSince = now_;
                if (final && job.told.empty()) job.told = phase;
                if (!job.told.empty()) {
                    EXPECT_EQ(phase, job.told) << id << " went back at " << n.settings.member << " at " << now_ << "\n"
                                               << history(id);
                }
            }
        }
    }

    // The controller whose token a machine obeys may not count its lease as ended before the machine itself does.
    void check_leases() {
        for (Node& n : nodes_) {
            if (!n.core) continue;
            for (const Worker& w : workers_) {
                const auto* tracker = w.there ? n.core->tracker(w.name) : nullptr;
                if (!tracker || tracker->state != state::HostState::expired) continue;
                if (tracker->leaderToken != w.fencingToken || tracker->agentEpoch != w.agentEpoch || !w.renewed)
                    continue;
                EXPECT_GE(now_ - w.sentOk, kLeaseS)
                    << n.settings.member << " counts the lease of " << w.name << " as ended at " << now_
                    << ", the machine counts it from " << w.sentOk;
            }
        }
    }

    struct LateCommands {
        double at;
        std::string host;
        std::uint64_t agentEpoch, fencingToken;
        std::vector<wire::Command> commands;
    };
    struct Copy {
        double at;
        std::size_t node;
        wire::Heartbeat heartbeat;
    };
    std::mt19937 random_, network_random_;
    std::multimap<double, std::function<void()>> network_;  // what is on its way, by arrival
    Scenario scenario_{"mix", nullptr};
    double cancelAtEnd_ = 0.02, outageUntil_ = 0;
    std::map<std::string, double> zoneCutUntil_;
    int starts_ = 0, services_ = 0;
    double now_ = 0;
    InMemoryStateStore store_;
    std::deque<Node> nodes_;
    std::deque<Worker> workers_;
    std::map<std::string, JobNote> jobs_;
    std::vector<std::pair<double, Json>> lateTransactions_;
    std::vector<LateCommands> lateCommands_;
    std::vector<Copy> copies_;
    std::uint64_t incarnations_ = 0;
    int made_ = 0;
};

}  // namespace wellstair::test
