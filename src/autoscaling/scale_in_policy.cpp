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

// Heartbeat intervals.
constexpr double kProposalInterval = 1.0 / 4;
// A silent host with a replica of a service is returned after this: the cloud's confirmation proves sooner than the
// lease that the replica is gone. A host that is well is never silent for as long.
constexpr double kServiceSilentHeartbeats = 2;

// Leases.
constexpr double kLostLeases = 2;
constexpr double kUnreachableLeases = 2;
constexpr double kUnconfirmedLeases = 3;  // never confirmed its leader
constexpr double kUnownedLeases = 1.5;
constexpr double kSurplusLeases = 6;
constexpr double kRemoveRecordLeases = 3;  // after the cloud's confirmation
constexpr double kEvictionLeases = 0.5;    // for what runs on a marked host to write checkpoints

// A host that failed tasks of so many jobs, so many times in a row, is faulty.
constexpr std::size_t kFaultyJobs = 2;
constexpr int kFaultyFailures = 3;

// Boot times.
constexpr double kSurplusBoots = 3;
constexpr double kStuckBoots = 4;            // listed, but not running
constexpr double kNeverRegisteredBoots = 6;  // running, but never heard of
constexpr double kNeverRegisteredLeases = 3;
constexpr double kUnknownBootS = 60;  // of a machine type that is not known

constexpr std::size_t kHostsPerCall = 100;

// Where more than a third of a zone is silent, it is rather the network, or a controller without the state service that
// still answers these hosts.
template <typename Count>
bool mostly_heard(const Count& zone) {
    return 3 * zone.silent <= zone.all;
}

}  // namespace

ScaleInPolicy::ScaleInPolicy(ControllerContext& context, const leadership::CancellationRegistry& cancellations,
                             const workers::HostTable& hosts, const CloudRole& role, const IdleHosts& idleHosts)
    : context_(context), cancellations_(cancellations), hosts_(hosts), role_(role), idleHosts_(idleHosts) {}

void ScaleInPolicy::propose(TransactionBuilder& builder, Timestamp now) {
    if (now.steady - lastProposalS_ < kProposalInterval * context_.settings().heartbeatIntervalS) return;
    lastProposalS_ = now.steady;
    if (!mark_led(builder, now) || !role_.held_here()) return;
    if (!mark_unowned_and_surplus(builder, now)) return;
    mark_unregistered(builder, now);
}

ScaleInPolicy::Silence ScaleInPolicy::count_silent(Timestamp now) const {
    Silence silence;
    for (const auto& [name, tracker] : hosts_.all()) {
        const HostRecord* host = context_.state().host(name);
        if (!context_.led_here(host) || host->leaves()) continue;
        const bool silent = hosts_.is_silent(tracker, now);
        for (SilentCount* count : {&silence.byZone[host->zone], &silence.total}) {
            count->silent += silent;
            ++count->all;
        }
    }
    return silence;
}

// Expired, or never confirmed and silent since: only the cloud's confirmation releases what the latter may hold.
bool ScaleInPolicy::lost(const HostTracker& tracker, Timestamp now) const {
    const bool confirmed = tracker.state == HostState::confirmed || tracker.state == HostState::silent;
    return !confirmed && tracker.lease.begun() &&
           tracker.lease.age(now.steady) > kLostLeases * context_.settings().leaseS;
}

// Its heartbeats arrive and no answer reaches it: no work can be sent there, and heartbeats alone do not prove what it
// holds.
bool ScaleInPolicy::unreachable_for_long(const HostTracker& tracker, Timestamp now) const {
    const double leaseS = context_.settings().leaseS;
    if (tracker.unreachable() && now.steady - tracker.unreachableSinceS > kUnreachableLeases * leaseS) return true;
    return tracker.state == HostState::led && now.steady - tracker.unconfirmedS > kUnconfirmedLeases * leaseS;
}

bool ScaleInPolicy::holds_service(const HostRecord& host) const {
    return std::any_of(host.placed.begin(), host.placed.end(),
                       [&](const TaskRef& ref) { return ref.job->service() && !cancellations_.cancelled(*ref.job); });
}

ScaleInPolicy::Verdict ScaleInPolicy::judge_led(const HostRecord& host, const HostTracker& tracker,
                                                const Silence& silence, Timestamp now) const {
    const config::Settings& settings = context_.settings();
    const double silentS = tracker.lease.age(now.steady);
    const bool zoneHeard = mostly_heard(silence.byZone.at(host.zone));
    // Where half of all hosts are silent, it is rather this controller that is cut off, and others take them over.
    const bool cutOff = 2 * silence.total.silent >= silence.total.all;

    const bool faulty = tracker.failedJobs.size() >= kFaultyJobs && tracker.failures >= kFaultyFailures;
    const bool isLost = lost(tracker, now);
    const bool unreachable = unreachable_for_long(tracker, now);
    // A host that has been silent for so long has broken the gangs that had tasks there, and their next attempt waits
    // for the proof that these are gone. The cloud's confirmation comes sooner than the lease expiry.
    const bool holdsUpGang =
        silentS > hosts_.silent_after() + settings.gangPeerS && zoneHeard &&
        std::any_of(host.placed.begin(), host.placed.end(), [](const TaskRef& ref) { return ref.job->wide_gang(); });
    const bool holdsCancelled = !cutOff && cancellations_.holds_cancelled(host, tracker, now);
    const bool holdsReplica = !cutOff && zoneHeard && tracker.state == HostState::silent &&
                              silentS > kServiceSilentHeartbeats * settings.heartbeatIntervalS && holds_service(host);

    const bool maySave = (faulty || unreachable) && !holdsCancelled;
    if (faulty) return {Reason::faulty, maySave};
    if (isLost) return {Reason::lost, maySave};
    if (unreachable) return {Reason::unreachable, maySave};
    if (holdsUpGang) return {Reason::holds_up_gang, maySave};
    if (holdsReplica) return {Reason::holds_replica, maySave};
    if (holdsCancelled) return {Reason::holds_cancelled, maySave};
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
        case Reason::holds_up_gang:
            return "silent, holds up a gang";
        case Reason::holds_replica:
            return "silent, holds a replica";
        case Reason::holds_cancelled:
            return "silent, holds a cancelled task";
    }
    return "none";
}

bool ScaleInPolicy::mark_led(TransactionBuilder& builder, Timestamp now) {
    const auto markedAtS = static_cast<std::int64_t>(now.wall);
    // What cannot save is returned at once, as if it had been marked a lease ago.
    const auto expiredAtS = static_cast<std::int64_t>(now.wall - context_.settings().leaseS);
    const Silence silence = count_silent(now);
    for (const auto& [name, tracker] : hosts_.all()) {
        const HostRecord* host = context_.state().host(name);
        if (!context_.led_here(host) || host->leaves()) continue;
        const Verdict verdict = judge_led(*host, tracker, silence, now);
        if (verdict.reason == Reason::none) continue;
        const auto atS = verdict.maySave ? markedAtS : expiredAtS;
        if (!builder.mark_for_return(name, host->zone, atS, false, to_string(verdict.reason))) return false;
    }
    return true;
}

bool ScaleInPolicy::mark_unowned_and_surplus(TransactionBuilder& builder, Timestamp now) {
    const auto markedAtS = static_cast<std::int64_t>(now.wall);
    const double leaseS = context_.settings().leaseS;
    std::vector<HostRecord*> removable;
    for (const auto& [name, host] : context_.state().hosts()) {
        if (!host->shard) continue;
        if (host->gone() && host->placed.empty() && now.wall - host->leavingAtS > kRemoveRecordLeases * leaseS)
            removable.push_back(host.get());
        if (host->leaves() || !host->registered()) continue;
        // Its leader has failed: either it finds another controller soon, or it is dead or cut off.
        auto [since, isNew] = unownedSinceS_.try_emplace(name, now.steady);
        if (!context_.unowned(*host))
            unownedSinceS_.erase(since);
        else if (now.steady - since->second > kUnownedLeases * leaseS)
            builder.mark_for_return(name, host->zone, markedAtS, false, "unowned");
        auto idle = idleHosts_.find(name);
        if (idle == idleHosts_.end() || !host->placed.empty()) continue;
        const auto* type = context_.state().type(host->machineType);
        if (type && now.steady - idle->second > std::max(kSurplusLeases * leaseS, kSurplusBoots * type->startupS))
            builder.mark_for_return(name, host->zone, markedAtS, false, "surplus");
    }
    return remove_gone(builder, removable);
}

bool ScaleInPolicy::remove_gone(TransactionBuilder& builder, const std::vector<HostRecord*>& hosts) const {
    return std::all_of(hosts.begin(), hosts.end(), [&](HostRecord* host) { return builder.remove_host(*host); });
}

bool ScaleInPolicy::mark_unregistered(TransactionBuilder& builder, Timestamp now) const {
    const config::Settings& settings = context_.settings();
    for (const wire::Machine& machine : machines_) {
        const HostRecord* host = context_.state().host(machine.name);
        if (host && host->leaves()) continue;
        const auto* type = context_.state().type(machine.machineType);
        const double bootS = type ? type->startupS : kUnknownBootS;
        const bool registered = host && host->registered();
        const bool running = machine.phase == "running";
        const bool failed = machine.phase == "failed";
        const bool stuck = !running && !registered && machine.heldS > kStuckBoots * bootS + settings.listLagS;
        const bool neverRegistered =
            running && !registered &&
            machine.heldS > kNeverRegisteredBoots * bootS + kNeverRegisteredLeases * settings.leaseS;
        if (!failed && !stuck && !neverRegistered) continue;
        const auto markedAtS = static_cast<std::int64_t>(now.wall);
        if (!builder.mark_for_return(machine.name, machine.zone, markedAtS, false, failed ? "failed" : "stuck"))
            return false;
    }
    return true;
}

std::vector<std::string> ScaleInPolicy::due(Timestamp now) const {
    std::vector<std::string> hosts;
    if (!role_.held_here()) return hosts;
    for (const auto& [name, host] : context_.state().hosts()) {
        if (host->leaving != state::Leaving::marked) continue;
        // What runs there gets the time to save.
        const bool evictionOver = now.wall - host->leavingAtS > kEvictionLeases * context_.settings().leaseS;
        if (host->placed.empty() || evictionOver) hosts.push_back(name);
        if (hosts.size() == kHostsPerCall) break;
    }
    return hosts;
}

void ScaleInPolicy::mark_gone(TransactionBuilder& builder, const std::vector<std::string>& hosts, Timestamp now) {
    for (const std::string& name : hosts) {
        const HostRecord* host = context_.state().host(name);
        if (host && host->leaving == state::Leaving::marked)
            builder.mark_for_return(name, host->zone, static_cast<std::int64_t>(now.wall), true, "returned");
    }
}

}  // namespace wellstair::autoscaling
