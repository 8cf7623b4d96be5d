#include "controller/core.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::controller {

using state::HostRecord;
using state::HostState;
using state::Job;
using state::JobState;
using state::Task;
using wire::Json;
using workers::HostTracker;

Core::Core(const config::Settings& settings, Tunables tunables, std::uint64_t incarnation)
    : settings_(settings),
      tunables_(tunables),
      context_(settings, incarnation),
      hosts_(settings),
      cancellations_(context_, hosts_, schedule_),
      assignment_(context_),
      limits_(context_, assignment_, schedule_),
      failover_(context_, assignment_, cancellations_, hosts_, peers_, schedule_),
      cloudRole_(context_),
      scaleIn_(context_, cancellations_, hosts_, cloudRole_, idleHosts_),
      eligibility_(context_, hosts_, peers_),
      placementModel_(context_, eligibility_, hosts_, tunables_),
      demand_(context_),
      queueOrder_(context_, placementModel_),
      heldBack_(context_),
      preemption_(context_, schedule_, hosts_, placementModel_, queueOrder_),
      planner_({context_, jobHistories_, eligibility_, placementModel_, demand_, queueOrder_, heldBack_, preemption_},
               schedule_),
      reconciler_(context_, cancellations_, hosts_, jobHistories_, schedule_) {
    reset_state();
}

void Core::reset_state() {
    context_.reset_state(own_layout());
    context_.state().onTaskChange = [this](Job& j, std::uint32_t i, const Task& b, const Task& a) {
        reconciler_.on_task_change(j, i, b, a);
        if (a.host && a.host != b.host) eligibility_.start_seen(a.host->name);
    };
    // A new fencing token, ours again or somebody else's: until the host confirms it, older commands may still reach
    // the host.
    context_.state().onRegistered = [this](HostRecord& h) {
        if (context_.led_here(&h)) {
            HostTracker& n = hosts_.track(h.name);
            n.begin_leadership(h.fencingToken, context_.now().steady);
            spdlog::debug("leader of host {} under fencing token {} at revision {}", h.name, h.fencingToken,
                          h.shard->revision);
            n.address = h.address;
        }
        schedule_.mark_due(h);
        schedule_.request_plan();
    };
    const auto replanFor = [this](HostRecord& h) {
        schedule_.mark_due(h);
        schedule_.request_replan();
    };
    context_.state().onLeaving = replanFor;
    context_.state().onRemoved = replanFor;
    context_.state().onStop = [this](Job& job) { schedule_.mark_job_due(job); };
}

state::TransactionBuilder Core::new_transaction() {
    return {context_.state(), settings_, limits_.write_rules(), settings_.member, context_.member_revision()};
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

std::optional<UserResponse> Core::find_submission(const std::string& id) {
    if (const auto* f = context_.state().final(id))
        return UserResponse{200, {{"ref", id}, {"phase", f->state == JobState::done ? "done" : "aborted"}}, 0};
    if (const Job* job = context_.state().job(id))
        return UserResponse{
            200, {{"ref", id}, {"phase", phase_name(*job)}, {"done", job->done}, {"running", job->placed}}, 0};
    return std::nullopt;
}

UserResponse Core::job_status(const std::string& id) {
    if (auto a = find_submission(id)) return *a;
    return {404, {{"error", "no such job"}}, 0};
}

std::optional<std::string> Core::infeasibility_reason(const wire::JobSpec& s, bool& undetermined) const {
    undetermined = false;
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
    if (context_.state().types().empty()) {
        undetermined = true;
        return std::nullopt;
    }
    std::set<std::string> zones;  // in which a task may run
    for (const auto& [name, t] : context_.state().types()) {
        if (s.machineTypes && std::find(s.machineTypes->begin(), s.machineTypes->end(), name) == s.machineTypes->end())
            continue;
        if (!placement::Need{s.cores, s.gpus, s.ramGb}.fits({t.cores, t.gpus, t.ramGb})) continue;
        for (const std::string& zone : t.zones)
            if (!s.zone || *s.zone == zone) zones.insert(zone);
    }
    if (zones.empty()) return "a task fits no allowed machine type";
    // Co-located tasks, or those of one zone, cannot be spread.
    if (s.spread && whole && s.taskCount > 1 && (s.coLocated || zones.size() < 2))
        return "at most half of a scattered job's tasks may be in one zone, and it may use no other";
    return std::nullopt;
}

std::map<std::string, std::uint64_t> Core::peer_incarnations() const {
    std::map<std::string, std::uint64_t> out;
    for (const auto& m : settings_.members) {
        auto it = context_.state().members().find(m.name);
        out[m.name] = it == context_.state().members().end() ? 0 : it->second.incarnation;
    }
    return out;
}

bool Core::advance_time(Timestamp now) {
    context_.set_now(now);
    bool changed = false;
    jobHistories_.forget_ended(context_.state());
    limits_.expire_rejections(now);
    cancellations_.forget_cached();
    for (auto it = hosts_.all().begin(); it != hosts_.all().end();) {
        const std::string& name = it->first;
        HostTracker& n = it->second;
        HostRecord* h = context_.state().host(name);
        if (context_.state_ready() && h && h->gone()) {
            it = hosts_.all().erase(it);
            continue;
        }
        if (context_.state_ready() && !context_.led_here(h)) {
            if (n.state != HostState::released) {
                n.state.become(HostState::released);
                spdlog::info("no longer leader of host {}", name);
            }
            if (n.lease.age(now.steady) > settings_.leaseS) {
                it = hosts_.all().erase(it);
                continue;
            }
            ++it;
            continue;
        }
        if (n.state == HostState::confirmed && hosts_.is_silent(n, now)) {
            n.state.become(HostState::silent);
            spdlog::info("host {} is silent: lease {}", name, n.lease.describe(now.steady));
            changed = true;
            schedule_.request_plan();
        }
        // Only our own fencing token can renew the lease (the host has confirmed it), and nobody else may use that.
        if (n.state == HostState::silent && n.lease.expired(now.steady, settings_.leaseS)) {
            n.state.become(HostState::expired);
            heartbeatStatistics_.record_lease_expiry();
            spdlog::info(
                "lease of host {} has expired with {} tasks: lease {}, newest heartbeat {}/{}, fencing token {}", name,
                h ? h->placed.size() : 0, n.lease.describe(now.steady), n.agentEpoch, n.sequence, n.leaderToken);
            changed = true;
            schedule_.due_hosts().insert(name);
        }
        ++it;
    }
    if (changed) schedule_.request_round();
    return changed;
}

state::TransactionBuilder Core::round(Timestamp now) {
    context_.set_now(now);
    state::TransactionBuilder builder = new_transaction();
    schedule_.begin_round();
    if (!context_.state_ready() || !context_.serving() || !context_.member_revision()) return builder;
    if (limits_.propose_switch(builder)) return builder;
    limits_.split_shards(builder, now);
    failover_.acquire_hosts(builder, now);
    // Small transactions may be full before the last stage has had its turn: the next round then begins with that.
    constexpr int kStages = 3;
    for (int i = 0; i < kStages; ++i) {
        const int stage = (firstStage_ + i) % kStages;
        if (stage == 0) reconciler_.release_finished_tasks(builder, now);
        if (stage == 1) reconciler_.finish_jobs(builder, holds_cloud_role());
        if (stage == 2) planner_.place(builder, now);
    }
    firstStage_ = schedule_.round_due() ? (firstStage_ + 1) % kStages : 0;
    scaleIn_.propose(builder, now);
    if (builder.empty()) failover_.transfer_hosts(builder, now);
    return builder;
}

peers::PeerStatus Core::own_peer_status(double storeAgeS, Timestamp now) const {
    peers::PeerStatus peerStatus{settings_.member, context_.incarnation(), storeAgeS, context_.serving(), {}};
    for (const auto& [name, n] : hosts_.all()) {
        const HostRecord* h = context_.state().host(name);
        if (context_.led_here(h) && !eligibility_.eligible(*h, now))
            peerStatus.unusable.push_back({name, n.unreachable()});
    }
    peerStatus.sort();
    return peerStatus;
}

}  // namespace wellstair::controller
