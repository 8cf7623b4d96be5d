#include "failover/host_failover.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace wellstair::failover {

using leadership::ControllerContext;
using state::Availability;
using state::HostRecord;
using state::HostShard;
using state::HostState;
using state::TransactionBuilder;
using workers::HostTracker;

namespace {

// Fractions of the heartbeat interval.
constexpr double kStatusFreshFor = 1.0 / 2;           // maximum age of the status of a healthy peer
constexpr double kCollectRequestsFor = 1.0 / 16;      // requests are batched: each registration rewrites its shard
constexpr double kAcquireAssignedInterval = 1.0 / 8;  // between searches for hosts of failed leaders
constexpr double kTransferInterval = 1.0 / 4;         // between transfers of a shard
// A heartbeat that arrives sooner than this after a redirect repeats one that was in flight when the worker got it.
constexpr double kMinRedirectS = 0.3;
// Leases for which no shard is transferred to a controller that a worker could not reach.
constexpr double kUnreachableLeases = 2;

}  // namespace

HostFailover::HostFailover(ControllerContext& context, const leadership::ShardAssignment& assignment,
                           const leadership::CancellationRegistry& cancellations, const workers::HostTable& hosts,
                           const peers::PeerTable& peers, leadership::RoundSchedule& schedule)
    : context_(context),
      assignment_(assignment),
      cancellations_(cancellations),
      hosts_(hosts),
      peers_(peers),
      schedule_(schedule) {}

Admission HostFailover::admit(const wire::Heartbeat& heartbeat, Timestamp now) {
    context_.set_now(now);
    const HostRecord* host = context_.state().host(heartbeat.host);
    const Availability availability = context_.availability();
    if (availability == Availability::isolated || availability == Availability::joining || !context_.state_ready())
        return {};
    // The cloud has reported this host as gone: the heartbeat is a delayed copy.
    if (host && host->gone()) return {};
    if (context_.leads_host(host)) return admit_own(heartbeat, *host);
    if (!context_.serving() || !context_.member_revision()) return {};

    std::string leader = host && host->registered() ? host->leader : "";
    // Led by an earlier process of this member.
    if (leader == context_.member()) return {Admission::Decision::acquire, ""};
    if (leader.empty() || !context_.state().member_live(leader)) {
        const HostShard& shard =
            host && host->shard ? *host->shard : context_.state().shard_of(heartbeat.host, heartbeat.zone);
        leader = assignment_.preferred_leader(shard);
    }
    if (leader == context_.member() || leader.empty()) return {Admission::Decision::acquire, ""};
    return admit_for_peer(heartbeat, leader, now);
}

Admission HostFailover::admit_own(const wire::Heartbeat& heartbeat, const HostRecord& host) const {
    // Another controller has issued a higher fencing token; its registration has not arrived through the watch, or
    // cannot arrive during an outage.
    if (heartbeat.fencingToken > host.fencingToken)
        return context_.serving() ? Admission{Admission::Decision::acquire, ""} : Admission{};
    // Without the state service the host cannot get a higher fencing token. Only the end of its agent epoch reliably
    // prevents the execution of a start command in flight.
    if (!context_.serving() && cancellations_.may_start_cancelled(host)) return {};
    // Also during an outage: without an answer the worker's lease would expire and its work would be lost.
    return {Admission::Decision::accept, ""};
}

// Decides for a host whose leader is alive. Workers try another controller only when their leader fails them. Two kinds
// of heartbeat do not indicate that: a delayed copy, and those of a host that no answer reaches, which its leader
// receives as well and reports in its status. A host is taken from a live leader at most once per lease; otherwise such
// hosts would be registered again and again.
Admission HostFailover::admit_for_peer(const wire::Heartbeat& heartbeat, const std::string& leader, Timestamp now) {
    const config::Settings& settings = context_.settings();
    const peers::ReceivedStatus* peer = peers_.find(leader);
    Redirect& last = redirects_[heartbeat.host];
    const bool newer = std::pair(heartbeat.agentEpoch, heartbeat.sequence) > std::pair(last.agentEpoch, last.sequence);
    const double sinceRedirectS = now.steady - last.sinceS;
    const bool fresh = peer && peer->age(now) < kStatusFreshFor * settings.heartbeatIntervalS;
    const bool unreachable = fresh && peer->status.unreachable(heartbeat.host);
    auto taken = takenOverAtS_.find(heartbeat.host);
    const bool takenRecently = taken != takenOverAtS_.end() && now.steady - taken->second <= settings.leaseS;
    const bool mayTakeOver = newer && !unreachable && !takenRecently;
    // A leader that is not serving, or whose status no longer arrives, would fail the worker again.
    const bool leaderFailing = peer && (!peer->status.serving || !fresh);
    // A worker that returns within a lease of its redirect could not reach the controller that it was sent to.
    const bool returned = sinceRedirectS > kMinRedirectS && sinceRedirectS < settings.leaseS;
    if (mayTakeOver && (leaderFailing || returned)) {
        takenOverAtS_[heartbeat.host] = now.steady;
        unreachableAtS_[leader] = now.steady;
        last = {now.steady, heartbeat.agentEpoch, heartbeat.sequence};
        return {Admission::Decision::acquire, ""};
    }
    if (newer || last.sinceS < 0)
        last = {sinceRedirectS < settings.leaseS ? last.sinceS : now.steady, heartbeat.agentEpoch, heartbeat.sequence};
    return {Admission::Decision::redirect, leader};
}

void HostFailover::request_acquisition(const wire::Heartbeat& heartbeat) {
    acquisitionRequests_[heartbeat.host] = heartbeat;
    schedule_.request_round();
}

void HostFailover::acquire_hosts(TransactionBuilder& builder, Timestamp now) {
    std::uint64_t membersRevision = 0;
    for (const auto& [name, member] : context_.state().members())
        membersRevision = std::max(membersRevision, member.revision) + 1;
    const double intervalS = context_.settings().heartbeatIntervalS;
    const bool membersChanged = membersRevision != acquiredMembersRevision_;
    if (!membersChanged && now.steady - lastAcquisitionS_ < kCollectRequestsFor * intervalS) {
        if (!acquisitionRequests_.empty()) schedule_.request_round();
        return;
    }
    ShardSet rewritten;
    if (!acquire_requested(builder, rewritten, now)) {
        schedule_.request_round();
        return;
    }
    if (!renew_fencing_tokens(builder)) return;
    const bool searchedRecently = now.steady - lastAcquisitionS_ < kAcquireAssignedInterval * intervalS;
    if (!membersChanged && rewritten.empty() && searchedRecently) return;
    lastAcquisitionS_ = now.steady;
    if (acquire_assigned(builder, rewritten))
        acquiredMembersRevision_ = membersRevision;
    else
        schedule_.request_round();
}

bool HostFailover::acquire_requested(TransactionBuilder& builder, ShardSet& rewritten, Timestamp now) {
    bool fits = true;
    for (auto it = acquisitionRequests_.begin(); it != acquisitionRequests_.end();) {
        const HostRecord* host = context_.state().host(it->first);
        const bool acquired = context_.leads_host(host) && it->second.fencingToken <= host->fencingToken;
        if (acquired || (host && host->gone())) {
            it = acquisitionRequests_.erase(it);
            continue;
        }
        const wire::Heartbeat& heartbeat = (it++)->second;
        if (!builder.acquire(heartbeat, context_.member(), context_.incarnation())) {
            fits = false;  // no room for another shard; hosts of shards that are rewritten already may still fit
            continue;
        }
        lastAcquisitionS_ = now.steady;
        // The shard is rewritten anyway, so its unowned hosts are added before other shards fill a small transaction.
        const bool firstOfShard = host && host->shard && rewritten.insert(host->shard).second;
        if (firstOfShard && !acquire_unowned(builder, *host->shard)) fits = false;
    }
    return fits;
}

bool HostFailover::may_acquire_unowned(const HostRecord& host) const {
    return context_.unowned(host) && !host.gone() && !acquisitionRequests_.count(host.name);
}

bool HostFailover::acquire_unowned(TransactionBuilder& builder, const HostShard& shard) {
    return std::all_of(shard.hosts.begin(), shard.hosts.end(), [&](HostRecord* host) {
        return !may_acquire_unowned(*host) || builder.acquire(*host, context_.member(), context_.incarnation());
    });
}

bool HostFailover::renew_fencing_tokens(TransactionBuilder& builder) {
    for (const auto& [name, tracker] : hosts_.all()) {
        HostRecord* host = context_.state().host(name);
        // An unreachable host could not confirm the new token.
        if (!tracker.needsFencing || tracker.unreachable() || !context_.leads_host(host)) continue;
        if (!builder.acquire(*host, context_.member(), context_.incarnation())) return false;
    }
    return true;
}

bool HostFailover::acquire_assigned(TransactionBuilder& builder, const ShardSet& rewritten) {
    for (const auto& [key, shard] : context_.state().shards()) {
        if (rewritten.count(shard.get())) continue;
        const bool assignedHere = assignment_.assigned_to_self(*shard);
        for (HostRecord* host : shard->hosts) {
            if (!may_acquire_unowned(*host)) continue;
            if (!assignedHere && host->leader != context_.member()) continue;
            if (!builder.acquire(*host, context_.member(), context_.incarnation())) return false;
        }
    }
    return true;
}

bool HostFailover::may_transfer_to(const std::string& member, Timestamp now) const {
    const config::Settings& settings = context_.settings();
    const state::MemberRecord& record = context_.state().members().at(member);
    const peers::ReceivedStatus* peer = peers_.find(member);
    const bool established = now.wall - record.joinedAtS > settings.heartbeatIntervalS && peer &&
                             peer->status.serving && peer->age(now) < kStatusFreshFor * settings.heartbeatIntervalS;
    if (!established) return false;
    auto unreachable = unreachableAtS_.find(member);
    return unreachable == unreachableAtS_.end() ||
           now.steady - unreachable->second >= kUnreachableLeases * settings.leaseS;
}

bool HostFailover::transfer_shard(TransactionBuilder& builder, const HostShard& shard, const std::string& member) {
    const std::uint64_t incarnation = context_.state().members().at(member).incarnation;
    bool transferred = false;
    for (HostRecord* host : shard.hosts) {
        const HostTracker* tracker = hosts_.find(host->name);
        if (!context_.leads_host(host) || host->returning() || !tracker) continue;
        if (tracker->state != HostState::confirmed || tracker->needsFencing || tracker->missedAnswers) continue;
        transferred = builder.acquire(*host, member, incarnation) || transferred;
    }
    return transferred;
}

void HostFailover::transfer_hosts(TransactionBuilder& builder, Timestamp now) {
    if (now.steady - lastTransferS_ < kTransferInterval * context_.settings().heartbeatIntervalS) return;
    lastTransferS_ = now.steady;
    for (const auto& [key, shard] : context_.state().shards()) {
        const std::string& member = assignment_.preferred_leader(*shard);
        if (member.empty() || member == context_.member() || !may_transfer_to(member, now)) continue;
        if (!transfer_shard(builder, *shard, member)) continue;
        spdlog::info("transferring host shard {} to its assigned controller {}", key, member);
        return;
    }
}

}  // namespace wellstair::failover
