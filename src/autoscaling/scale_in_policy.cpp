#include "autoscaling/scale_in_policy.hpp"

#include <algorithm>
#include <cstdint>

namespace wellstair::autoscaling {

using leadership::ControllerContext;
using state::HostRecord;
using state::HostState;
using state::TaskRef;
using state::TransactionBuilder;
using workers::HostTracker;

namespace {

// In heartbeat intervals.
constexpr double kProposalIntervalHeartbeats = 1.0 / 4;
// A silent host with a service replica is returned after this time, because the cloud's confirmation proves earlier
// than the lease expiry that the replica is gone. A healthy host is never silent for this long.
constexpr double kServiceSilentHeartbeats = 2;

// In lease durations.
constexpr double kLostLeases = 2;
constexpr double kUnreachableLeases = 2;
constexpr double kUnconfirmedLeases = 3;  // has not confirmed its leader
constexpr double kUnownedLeases = 1.5;
constexpr double kSurplusLeases = 6;
constexpr double kRemoveRecordLeases = 3;  // after the cloud's confirmation
constexpr double kCheckpointLeases = 0.5;  // for the tasks on a marked host to write checkpoints

// A host is faulty once it has failed tasks of this many jobs, with this many failures in a row.
constexpr std::size_t kFaultyDistinctJobs = 2;
constexpr int kFaultyConsecutiveFailures = 3;

// In boot times of the machine type.
constexpr double kSurplusBootTimes = 3;
constexpr double kStuckBootTimes = 4;            // listed by the cloud, but not running
constexpr double kNeverRegisteredBootTimes = 6;  // running, but never registered
constexpr double kNeverRegisteredLeases = 3;

constexpr std::size_t kMaxHostsPerCall = 100;

// False if more than a third of the hosts of a zone are silent: the likely cause is then the network, or a controller
// that lost the state service and still answers these hosts, and not the hosts themselves.
template <typename Count>
bool mostly_responsive(const Count& zone) {
    return 3 * zone.silent <= zone.all;
}

}  // namespace

ScaleInPolicy::ScaleInPolicy(ControllerContext& context, const leadership::CancellationRegistry& cancellations,
                             const workers::HostTable& hosts, const CloudRole& role, const IdleHosts& idleHosts)
    : context_(context), cancellations_(cancellations), hosts_(hosts), role_(role), idleHosts_(idleHosts) {}

void ScaleInPolicy::propose(TransactionBuilder& builder, Timestamp now) {
    if (now.steady - lastProposalS_ < kProposalIntervalHeartbeats * context_.settings().heartbeatIntervalS) return;
    lastProposalS_ = now.steady;
    if (!mark_led_hosts(builder, now) || !role_.held_here()) return;
    if (!mark_unowned_and_surplus_hosts(builder, now)) return;
    mark_unregistered_machines(builder, now);
}

ScaleInPolicy::Silence ScaleInPolicy::count_silent(Timestamp now) const {
    Silence silence;
    for (const auto& [name, tracker] : hosts_.all()) {
        const HostRecord* host = context_.state().host(name);
        if (!context_.leads_host(host) || host->returning()) continue;
        const bool silent = hosts_.is_silent(tracker, now);
        for (SilentCount* count : {&silence.byZone[host->zone], &silence.total}) {
            count->silent += silent;
            ++count->all;
        }
    }
    return silence;
}

// Whether the lease has expired, or was never confirmed and the host has been silent since. In the second case only the
// cloud's confirmation proves that the tasks the host may run are gone.
bool ScaleInPolicy::lost(const HostTracker& tracker, Timestamp now) const {
    const bool confirmed = tracker.state == HostState::confirmed || tracker.state == HostState::silent;
    return !confirmed && tracker.lease.begun() &&
           tracker.lease.renewal_age(now.steady) > kLostLeases * context_.settings().leaseS;
}

// Whether heartbeats arrive but answers have not reached the host for too long. No work can be sent there, and
// heartbeats alone do not prove which tasks it runs.
bool ScaleInPolicy::unreachable_too_long(const HostTracker& tracker, Timestamp now) const {
    const double leaseS = context_.settings().leaseS;
    if (tracker.unreachable() && now.steady - tracker.unreachableSinceS > kUnreachableLeases * leaseS) return true;
    return tracker.state == HostState::led && now.steady - tracker.unconfirmedS > kUnconfirmedLeases * leaseS;
}

bool ScaleInPolicy::runs_service_replica(const HostRecord& host) const {
    return std::any_of(host.placed.begin(), host.placed.end(),
                       [&](const TaskRef& ref) { return ref.job->service() && !cancellations_.cancelled(*ref.job); });
}

ScaleInPolicy::Verdict ScaleInPolicy::evaluate_led_host(const HostRecord& host, const HostTracker& tracker,
                                                        const Silence& silence, Timestamp now) const {
    const config::Settings& settings = context_.settings();
    const double silentS = tracker.lease.renewal_age(now.steady);
    const bool zoneResponsive = mostly_responsive(silence.byZone.at(host.zone));
    // If at least half of all led hosts are silent, this controller is more likely isolated itself, and other
    // controllers take the hosts over.
    const bool isolated = 2 * silence.total.silent >= silence.total.all;

    const bool faulty =
        tracker.failedJobs.size() >= kFaultyDistinctJobs && tracker.failures >= kFaultyConsecutiveFailures;
    const bool isLost = lost(tracker, now);
    const bool unreachable = unreachable_too_long(tracker, now);
    // A host that is silent for this long has broken the gangs with tasks on it, and their next attempt waits for proof
    // that these tasks are gone. The cloud's confirmation arrives before the lease expires.
    const bool blocksGang = silentS > hosts_.silent_after() + settings.gangPeerTimeoutS && zoneResponsive &&
                            std::any_of(host.placed.begin(), host.placed.end(),
                                        [](const TaskRef& ref) { return ref.job->multi_task_gang(); });
    const bool holdsCancelled = !isolated && cancellations_.holds_cancelled(host, tracker, now);
    const bool holdsReplica = !isolated && zoneResponsive && tracker.state == HostState::silent &&
                              silentS > kServiceSilentHeartbeats * settings.heartbeatIntervalS &&
                              runs_service_replica(host);

    const bool allowCheckpoint = (faulty || unreachable) && !holdsCancelled;
    if (faulty) return {Reason::faulty, allowCheckpoint};
    if (isLost) return {Reason::lost, allowCheckpoint};
    if (unreachable) return {Reason::unreachable, allowCheckpoint};
    if (blocksGang) return {Reason::blocks_gang, allowCheckpoint};
    if (holdsReplica) return {Reason::holds_replica, allowCheckpoint};
    if (holdsCancelled) return {Reason::holds_cancelled, allowCheckpoint};
    return {};
}

const char* ScaleInPolicy::to_string(Reason reason) {
    switch (reason) {
        case Reason::none:
            return "none";
        case Reason::faulty:
            return "faulty";
        case Reason::lost:
            return "lost";
        case Reason::unreachable:
            return "unreachable";
        case Reason::blocks_gang:
            return "silent, holds up a gang";
        case Reason::holds_replica:
            return "silent, holds a replica";
        case Reason::holds_cancelled:
            return "silent, holds a cancelled task";
    }
    return "none";
}

bool ScaleInPolicy::mark_led_hosts(TransactionBuilder& builder, Timestamp now) {
    const auto markedAtS = static_cast<std::int64_t>(now.wall);
    // A host whose tasks get no time for checkpoints is returned immediately: it is marked as of one lease ago.
    const auto markedOneLeaseAgoS = static_cast<std::int64_t>(now.wall - context_.settings().leaseS);
    const Silence silence = count_silent(now);
    for (const auto& [name, tracker] : hosts_.all()) {
        const HostRecord* host = context_.state().host(name);
        if (!context_.leads_host(host) || host->returning()) continue;
        const Verdict verdict = evaluate_led_host(*host, tracker, silence, now);
        if (verdict.reason == Reason::none) continue;
        const auto atS = verdict.allowCheckpoint ? markedAtS : markedOneLeaseAgoS;
        if (!builder.mark_for_return(name, host->zone, atS, false, to_string(verdict.reason))) return false;
    }
    return true;
}

bool ScaleInPolicy::mark_unowned_and_surplus_hosts(TransactionBuilder& builder, Timestamp now) {
    const auto markedAtS = static_cast<std::int64_t>(now.wall);
    const double leaseS = context_.settings().leaseS;
    std::vector<HostRecord*> removable;
    for (const auto& [name, host] : context_.state().hosts()) {
        if (!host->shard) continue;
        if (host->gone() && host->placed.empty() && now.wall - host->returnStateAtS > kRemoveRecordLeases * leaseS)
            removable.push_back(host.get());
        if (host->returning() || !host->registered()) continue;
        // A host whose leader has failed soon finds another controller, unless it is dead or isolated.
        auto [since, isNew] = unownedSinceS_.try_emplace(name, now.steady);
        if (!context_.unowned(*host))
            unownedSinceS_.erase(since);
        else if (now.steady - since->second > kUnownedLeases * leaseS)
            builder.mark_for_return(name, host->zone, markedAtS, false, "unowned");
        auto idle = idleHosts_.find(name);
        if (idle == idleHosts_.end() || !host->placed.empty()) continue;
        const auto* type = context_.state().machine_type(host->machineType);
        if (type && now.steady - idle->second > std::max(kSurplusLeases * leaseS, kSurplusBootTimes * type->startupS))
            builder.mark_for_return(name, host->zone, markedAtS, false, "surplus");
    }
    return remove_records(builder, removable);
}

bool ScaleInPolicy::remove_records(TransactionBuilder& builder, const std::vector<HostRecord*>& hosts) const {
    return std::all_of(hosts.begin(), hosts.end(), [&](HostRecord* host) { return builder.remove_host(*host); });
}

bool ScaleInPolicy::mark_unregistered_machines(TransactionBuilder& builder, Timestamp now) const {
    const config::Settings& settings = context_.settings();
    for (const wire::Machine& machine : machines_) {
        const HostRecord* host = context_.state().host(machine.name);
        if (host && host->returning()) continue;
        const double bootS = context_.state().boot_time_s(machine.machineType);
        const bool registered = host && host->registered();
        const bool running = machine.phase == "running";
        const bool failed = machine.phase == "failed";
        const bool stuck = !running && !registered && machine.ageS > kStuckBootTimes * bootS + settings.listLagS;
        const bool neverRegistered =
            running && !registered &&
            machine.ageS > kNeverRegisteredBootTimes * bootS + kNeverRegisteredLeases * settings.leaseS;
        if (!failed && !stuck && !neverRegistered) continue;
        const auto markedAtS = static_cast<std::int64_t>(now.wall);
        if (!builder.mark_for_return(machine.name, machine.zone, markedAtS, false, failed ? "failed" : "stuck"))
            return false;
    }
    return true;
}

std::vector<std::string> ScaleInPolicy::hosts_due_for_return(Timestamp now) const {
    std::vector<std::string> hosts;
    if (!role_.held_here()) return hosts;
    for (const auto& [name, host] : context_.state().hosts()) {
        if (host->returnState != state::ReturnState::marked) continue;
        // Tasks that still run on the host get time to write checkpoints.
        const bool checkpointTimeOver =
            now.wall - host->returnStateAtS > kCheckpointLeases * context_.settings().leaseS;
        if (host->placed.empty() || checkpointTimeOver) hosts.push_back(name);
        if (hosts.size() == kMaxHostsPerCall) break;
    }
    return hosts;
}

void ScaleInPolicy::mark_gone(TransactionBuilder& builder, const std::vector<std::string>& hosts, Timestamp now) {
    for (const std::string& name : hosts) {
        const HostRecord* host = context_.state().host(name);
        if (host && host->returnState == state::ReturnState::marked)
            builder.mark_for_return(name, host->zone, static_cast<std::int64_t>(now.wall), true, "returned");
    }
}

}  // namespace wellstair::autoscaling
