#include "controller/core.hpp"

#include <spdlog/fmt/fmt.h>
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
      hostCommands_(context_, cancellations_, hosts_, schedule_, decisionStatistics_),
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
      reconciler_(context_, cancellations_, hosts_, jobHistories_, schedule_, decisionStatistics_) {
    reset_state();
}

void Core::reset_state() {
    context_.reset_state(own_layout());
    reconciler_.reset_state();
    context_.state().onTaskChange = [this](Job& job, std::uint32_t index, const Task& before, const Task& after) {
        reconciler_.on_task_change(job, index, before, after);
        if (after.host && after.host != before.host) eligibility_.record_start(after.host->name);
    };
    // The host has a new fencing token, from this controller or another one. Until the host confirms it, commands under
    // an older token may still reach the host.
    context_.state().onRegistered = [this](HostRecord& host) {
        if (context_.leads_host(&host)) {
            HostTracker& tracker = hosts_.track(host.name);
            tracker.begin_leadership(state::granted_tokens(host.fencingToken, host.shard->revision),
                                     context_.now().steady);
            spdlog::info("now leader of host {}: fencing tokens {} to {}, shard revision {}", host.name,
                         tracker.tokens.first, tracker.tokens.last, host.shard->revision);
            tracker.address = host.address;
        }
        schedule_.mark_due(host);
        schedule_.request_plan();
    };
    const auto replanFor = [this](HostRecord& host) {
        schedule_.mark_due(host);
        schedule_.request_replan();
    };
    context_.state().onReturnStateChange = replanFor;
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
    if (const auto* finalJob = context_.state().outcome(id))
        return UserResponse{200, {{"ref", id}, {"phase", finalJob->state == JobState::done ? "done" : "aborted"}}, 0};
    if (const Job* job = context_.state().job(id))
        return UserResponse{
            200, {{"ref", id}, {"phase", phase_name(*job)}, {"done", job->done}, {"running", job->placed}}, 0};
    return std::nullopt;
}

UserResponse Core::job_status(const std::string& id) {
    if (auto response = find_submission(id)) return *response;
    return {404, {{"error", "no such job"}}, 0};
}

std::optional<std::string> Core::infeasibility_reason(const wire::JobSpec& spec, bool& undetermined) const {
    constexpr double kRoundingTolerance = 1e-9;  // of sums of cores or GPUs
    undetermined = false;
    const config::Team* team = settings_.team(spec.team);
    if (!team) return fmt::format("crew: \"{}\" is not a team of this cluster", spec.team);
    // All tasks of a gang and all replicas of a service run at the same time.
    const bool concurrent = spec.kind == wire::JobKind::gang || spec.service();
    double tasks = concurrent ? spec.taskCount : 1;
    if (team->cpusMax > 0 && spec.cores * tasks > team->cpusMax + kRoundingTolerance)
        return fmt::format("cores: the job needs {:g} at the same time, but the limit of team {} is {:g}",
                           spec.cores * tasks, spec.team, team->cpusMax);
    if (team->gpusMax > 0 && spec.gpus * tasks > team->gpusMax + kRoundingTolerance)
        return fmt::format("gpus: the job needs {:g} at the same time, but the limit of team {} is {:g}",
                           spec.gpus * tasks, spec.team, team->gpusMax);
    const std::size_t maxSize = state::TransactionBuilder::max_submission_size(state_limits());
    if (state::TransactionBuilder::submission_size(spec) > maxSize)
        return fmt::format("the job description exceeds {} bytes, the most that can be stored", maxSize);
    if (context_.state().machine_types().empty()) {
        undetermined = true;
        return std::nullopt;
    }
    std::set<std::string> zones;  // where a task can run
    for (const auto& [name, type] : context_.state().machine_types()) {
        if (spec.machineTypes &&
            std::find(spec.machineTypes->begin(), spec.machineTypes->end(), name) == spec.machineTypes->end())
            continue;
        if (!placement::Resources{spec.cores, spec.gpus, spec.ramGb}.fits({type.cores, type.gpus, type.ramGb}))
            continue;
        for (const std::string& zone : type.zones)
            if (!spec.zone || *spec.zone == zone) zones.insert(zone);
    }
    if (zones.empty())
        return fmt::format(
            "a task with {:g} cores, {:g} GPUs and {:g} GB of RAM fits no machine type and zone that the job allows",
            spec.cores, spec.gpus, spec.ramGb);
    // Co-located tasks, and tasks that can run in one zone only, cannot be spread.
    if (spec.spread && concurrent && spec.taskCount > 1 && (spec.coLocated || zones.size() < 2))
        return "scatter: at most half of the tasks may run in one zone, but this job can use only one zone";
    return std::nullopt;
}

std::map<std::string, std::uint64_t> Core::peer_incarnations() const {
    std::map<std::string, std::uint64_t> out;
    for (const auto& member : settings_.members) {
        auto it = context_.state().members().find(member.name);
        out[member.name] = it == context_.state().members().end() ? 0 : it->second.incarnation;
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
        HostTracker& tracker = it->second;
        HostRecord* host = context_.state().host(name);
        if (context_.state_ready() && host && host->gone()) {
            it = hosts_.all().erase(it);
            continue;
        }
        if (context_.state_ready() && !context_.leads_host(host)) {
            if (tracker.state != HostState::released) {
                tracker.state.transition_to(HostState::released);
                spdlog::info("no longer leader of host {}", name);
            }
            if (tracker.lease.age(now.steady) > settings_.leaseS) {
                it = hosts_.all().erase(it);
                continue;
            }
            ++it;
            continue;
        }
        if (tracker.state == HostState::confirmed && hosts_.is_silent(tracker, now)) {
            tracker.state.transition_to(HostState::silent);
            spdlog::info("host {} is silent: no heartbeat for more than {:.1f} s, lease {}", name,
                         hosts_.silent_after(), tracker.lease.describe(now.steady));
            changed = true;
            schedule_.request_plan();
        }
        // The host has confirmed our fencing token, so only this controller can renew its lease, or start a task in an
        // agent epoch that begins without a renewal.
        if (tracker.state == HostState::silent && tracker.lease.expired(now.steady, settings_.leaseS)) {
            tracker.state.transition_to(HostState::expired);
            const double marginS = tracker.since_latest_lease_end(now.steady, settings_.leaseS);
            heartbeatStatistics_.record_lease_expiry();
            decisionStatistics_.record_lease_expiry(marginS);
            spdlog::info(
                "lease of host {} has expired with {} tasks placed: lease {}, newest status {}/{}, fencing token {}, "
                "{:.3f} s after its latest end at the worker",
                name, host ? host->placed.size() : 0, tracker.lease.describe(now.steady), tracker.agentEpoch,
                tracker.sequence, tracker.fencingToken, marginS);
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
    if (limits_.propose_layout_switch(builder)) return builder;
    limits_.split_shards(builder, now);
    failover_.acquire_hosts(builder, now);
    // A small transaction may be full before the last stage runs. The next round then begins one stage later, so that
    // every stage gets its turn.
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

peers::PeerStatus Core::own_peer_status(double storeContactAgeS, Timestamp now) const {
    peers::PeerStatus peerStatus{settings_.member, context_.incarnation(), storeContactAgeS, context_.serving(), {}};
    for (const auto& [name, tracker] : hosts_.all()) {
        const HostRecord* host = context_.state().host(name);
        if (context_.leads_host(host) && !eligibility_.eligible(*host, now))
            peerStatus.unusable.push_back({name, tracker.unreachable()});
    }
    peerStatus.sort();
    return peerStatus;
}

}  // namespace wellstair::controller
