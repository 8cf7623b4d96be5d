#include "controller/core.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::controller {

using state::Availability;
using state::HostRecord;
using state::HostState;
using state::Job;
using state::JobState;
using state::Task;
using wire::Json;
using workers::HostTracker;

std::uint64_t Core::stable_hash(std::string_view a, std::string_view b) {
    std::uint64_t h = 1469598103934665603ull;
    for (std::string_view s : {a, std::string_view("|"), b})
        for (unsigned char c : s) h = (h ^ c) * 1099511628211ull;
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdull;
    return h ^ (h >> 33);
}

Core::Core(const config::Settings& settings, Tunables tunables, std::uint64_t incarnation)
    : settings_(settings), tunables_(tunables), incarnation_(incarnation) {
    reset_state();
}

void Core::reset_state() {
    const state::LayoutRecord layout = own_layout();
    state_ = std::make_unique<state::StateCache>(layout.chunkSize, layout.shardWidth);
    state_->on_task_change = [this](Job& j, std::uint32_t i, const Task& b, const Task& a) {
        on_task_change(j, i, b, a);
    };
    // A new fencing token, ours again or somebody else's: until the host confirms it, older commands may still reach
    // the host.
    state_->on_registered = [this](HostRecord& h) {
        if (led_here(&h)) {
            HostTracker& n = trackers_[h.name];
            n.begin_leadership(h.fencingToken, now_.steady);
            spdlog::debug("leader of host {} under fencing token {} at revision {}", h.name, h.fencingToken,
                          h.shard->revision);
            n.address = h.address;
        }
        mark_due(h);
        planDue_ = true;
    };
    const auto replan_for = [this](HostRecord& h) {
        mark_due(h);
        roundDue_ = planDue_ = true;
    };
    state_->on_leaving = replan_for;
    state_->on_removed = replan_for;
    state_->on_stop = [this](Job& job) { mark_job_due(job); };
    stateReady_ = false;
}

std::uint64_t Core::member_revision() const {
    auto it = state_->members().find(settings_.member);
    return it != state_->members().end() && it->second.incarnation == incarnation_ ? it->second.revision : 0;
}

void Core::set_availability(Availability s, Timestamp now) {
    Availability before = availability_;
    if (availability_.become(s)) {
        if (s == Availability::serving) liveSinceS_ = now.steady;
        spdlog::info("availability {} -> {}", state::AvailabilityTraits::name(before),
                     state::AvailabilityTraits::name(s));
    }
}

state::TransactionBuilder Core::new_transaction() {
    state::WriteRules rules{state_limits(), splitting_allowed(), {}};
    for (const auto& [key, until] : rejectedKeysUntil_) rules.rejectedKeys.insert(key);
    return state::TransactionBuilder(*state_, settings_, std::move(rules), settings_.member, member_revision());
}

HostTracker* Core::tracker(const std::string& host) {
    auto it = trackers_.find(host);
    return it == trackers_.end() ? nullptr : &it->second;
}

const char* Core::phase_name(const Job& job) {
    switch (job.state.state()) {
        case JobState::cancelled:
        case JobState::aborted:
            return "aborted";
        case JobState::done:
            return "done";
        case JobState::active:
            break;
    }
    return job.placed > 0 ? "running" : "queued";
}

std::optional<Answer> Core::known(const std::string& id) {
    if (const auto* f = state_->final(id))
        return Answer{200, {{"ref", id}, {"phase", f->state == JobState::done ? "done" : "aborted"}}, 0};
    if (const Job* job = state_->job(id))
        return Answer{
            200, {{"ref", id}, {"phase", phase_name(*job)}, {"done", job->done}, {"running", job->placed}}, 0};
    return std::nullopt;
}

Answer Core::poll(const std::string& id) {
    if (auto a = known(id)) return *a;
    return {404, {{"error", "no such job"}}, 0};
}

std::optional<std::string> Core::never_runs(const wire::JobSpec& s, bool& unsure) const {
    unsure = false;
    const config::Team* team = settings_.team(s.team);
    if (!team) return "unknown team " + s.team;
    // All of a gang, and all replicas of a service, run at the same time.
    const bool whole = s.kind == wire::JobKind::gang || s.service();
    double tasks = whole ? s.taskCount : 1;
    if (team->cpusMax > 0 && s.cores * tasks > team->cpusMax + 1e-9)
        return "more cores than the limit of team " + s.team;
    if (team->gpusMax > 0 && s.gpus * tasks > team->gpusMax + 1e-9) return "more GPUs than the limit of team " + s.team;
    if (state::TransactionBuilder::submission_size(s) > state_limits().value_bytes())
        return "the description is larger than can be stored";
    if (state_->types().empty()) {
        unsure = true;
        return std::nullopt;
    }
    std::set<std::string> zones;  // in which a task may run
    for (const auto& [name, t] : state_->types()) {
        if (s.machineTypes && std::find(s.machineTypes->begin(), s.machineTypes->end(), name) == s.machineTypes->end())
            continue;
        if (!placement::Need{s.cores, s.gpus, s.ramGb}.fits({t.cores, t.gpus, t.ramGb})) continue;
        for (const std::string& zone : t.zones)
            if (!s.zone || *s.zone == zone) zones.insert(zone);
    }
    if (zones.empty()) return "a task fits no allowed machine type";
    // Its tasks are where they may be together, or never.
    if (s.spread && whole && s.taskCount > 1 && (s.coLocated || zones.size() < 2))
        return "at most half of a scattered job's tasks may be in one zone, and it may use no other";
    return std::nullopt;
}

bool Core::led_here(const HostRecord* h) const {
    return h && h->registered() && h->leader == settings_.member && h->incarnation == incarnation_;
}

void Core::mark_job_due(const Job& job) {
    roundDue_ = true;
    for (const auto& chunk : job.chunks)
        if (chunk.placed)
            for (const Task& task : chunk.tasks)
                if (task.host) mark_due(*task.host);
}

std::map<std::string, std::uint64_t> Core::others() const {
    std::map<std::string, std::uint64_t> out;
    for (const auto& m : settings_.members) {
        auto it = state_->members().find(m.name);
        out[m.name] = it == state_->members().end() ? 0 : it->second.incarnation;
    }
    return out;
}

bool Core::responsible(const Job& job) const {
    if (state_->member_live(job.owner)) return job.owner == settings_.member;
    // Its owner is gone: the live ones agree by a hash.
    const std::string* best = nullptr;
    for (const auto& [name, m] : state_->members())
        if (!best || stable_hash(name, job.id) > stable_hash(*best, job.id)) best = &name;
    return best && *best == settings_.member;
}

// The role hangs on this process's lease. Inherited by name alone it would end with the lease of the one before, in the
// middle of this one's calls.
bool Core::take_cloud_role(state::TransactionBuilder& builder, std::uint64_t leaseId) const {
    Json holder = {{"by", settings_.member}, {"inc", incarnation_}};
    return builder.put(state::keys::kCloudRole, state_->cloud_role_revision(), std::move(holder), leaseId);
}

bool Core::advance_time(Timestamp now) {
    now_ = now;
    bool changed = false;
    std::erase_if(replicaLostS_, [&](const auto& e) { return !state_->job(e.first); });
    std::erase_if(rejectedKeysUntil_, [&](const auto& e) { return e.second < now.steady; });
    std::erase_if(cancelled_, [&](const std::string& id) {
        const Job* job = state_->job(id);
        return state_->final(id) || (job && job->state == JobState::cancelled);
    });
    for (auto it = trackers_.begin(); it != trackers_.end();) {
        const std::string& name = it->first;
        HostTracker& n = it->second;
        HostRecord* h = state_->host(name);
        if (stateReady_ && h && h->gone()) {
            it = trackers_.erase(it);
            continue;
        }
        if (stateReady_ && !led_here(h)) {
            if (n.state != HostState::released) {
                n.state.become(HostState::released);
                spdlog::info("no longer leader of host {}", name);
            }
            if (n.lease.age(now.steady) > settings_.leaseS) {
                it = trackers_.erase(it);
                continue;
            }
            ++it;
            continue;
        }
        if (n.state == HostState::confirmed && silent(n, now)) {
            n.state.become(HostState::silent);
            spdlog::info("host {} is silent: lease {}", name, n.lease.describe(now.steady));
            changed = true;
            planDue_ = true;
        }
        // Only our own fencing token can renew the lease (the host has confirmed it), and nobody else may use that.
        if (n.state == HostState::silent && n.lease.ended(now.steady, settings_.leaseS)) {
            n.state.become(HostState::expired);
            heartbeatStatistics_.lease_ended();
            spdlog::info(
                "lease of host {} has expired with {} tasks: lease {}, newest heartbeat {}/{}, fencing token {}", name,
                h ? h->placed.size() : 0, n.lease.describe(now.steady), n.agentEpoch, n.sequence, n.leaderToken);
            changed = true;
            dueHosts_.insert(name);
        }
        ++it;
    }
    if (changed) roundDue_ = true;
    return changed;
}

state::TransactionBuilder Core::round(Timestamp now) {
    now_ = now;
    state::TransactionBuilder builder = new_transaction();
    roundDue_ = false;
    if (!stateReady_ || availability_ != Availability::serving || !member_revision()) return builder;
    if (propose_switch(builder)) return builder;
    split_shards(builder, now);
    acquire_hosts(builder, now);
    // Small transactions may be full before the last of these has had its turn: the next round then begins with it.
    constexpr int kStages = 3;
    for (int i = 0; i < kStages; ++i) {
        const int stage = (firstStage_ + i) % kStages;
        if (stage == 0) release_finished_tasks(builder, now);
        if (stage == 1) finish_jobs(builder);
        if (stage == 2) place(builder, now);
    }
    firstStage_ = roundDue_ ? (firstStage_ + 1) % kStages : 0;
    propose_scale_in(builder, now);
    if (builder.empty()) transfer_hosts(builder, now);
    return builder;
}

void Core::finish_jobs(state::TransactionBuilder& builder) {
    for (const auto& [order, job] : state_->queue()) {
        bool gangDone = job->gang() && job->done > 0 && job->placed == 0;  // see clear_ended
        bool done = job->state == JobState::active && (job->done == job->spec->taskCount || gangDone);
        bool aborted = job->state == JobState::cancelled && job->placed == 0;
        if ((!done && !aborted) || !responsible(*job)) continue;
        if (!builder.finish(*job, done ? JobState::done : JobState::aborted)) {
            roundDue_ = true;
            return;
        }
    }
    if (holds_cloud_role())
        for (const auto& [path, revision] : state_->orphaned_chunks())
            if (!builder.garbage_collect(path, revision)) return;
}

void Core::set_peer_status(const peers::PeerStatus& peerStatus, Timestamp now) {
    peerStatuses_[peerStatus.member] = {peerStatus, now.steady};
}

peers::PeerStatus Core::own_peer_status(double storeAgeS, Timestamp now) const {
    peers::PeerStatus peerStatus{settings_.member, incarnation_, storeAgeS, availability_ == Availability::serving, {}};
    for (const auto& [name, n] : trackers_) {
        HostRecord* h = state_->host(name);
        if (led_here(h) && !usable(*h, now)) peerStatus.unusable.push_back({name, n.unreachable()});
    }
    peerStatus.sort();
    return peerStatus;
}

bool Core::peer_heard(Timestamp now) const {
    for (const auto& [name, n] : peerStatuses_)
        if (now.steady - n.atS < 1.5) return true;
    return false;
}

bool Core::peer_has_store(Timestamp now) const {
    // As of now, not as of when it was said: at the beginning of an outage that everybody has, the others' last words
    // still tell of a store that answers, and to let go for that would cost every machine its leader.
    for (const auto& [name, n] : peerStatuses_)
        if (n.peerStatus.serving && n.peerStatus.storeAgeS + (now.steady - n.atS) < 0.75) return true;
    return false;
}

}  // namespace wellstair::controller
