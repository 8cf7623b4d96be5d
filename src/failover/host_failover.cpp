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

// Ratios to the heartbeat interval.
constexpr double kStatusFreshFor = 1.0 / 2;           // a peer's status is no older while that peer is well
constexpr double kCollectRequestsFor = 1.0 / 16;      // registrations are collected: each rewrites its shard
constexpr double kAcquireAssignedInterval = 1.0 / 8;  // between searches for hosts of failed leaders
constexpr double kTransferInterval = 1.0 / 4;         // between transfers of a shard
// A worker that comes back sooner than this only repeats what it had under way.
constexpr double kLeastRedirectS = 0.3;
// Leases for which nothing is transferred to a controller that some worker could not reach.
constexpr double kUnreachedLeases = 2;

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
    // The cloud has said that this host is gone: the heartbeat is a late copy.
    if (host && host->gone()) return {};
    if (context_.led_here(host)) return admit_own(heartbeat, *host);
    if (!context_.serving() || !context_.member_revision()) return {};

    std::string leader = host && host->registered() ? host->leader : "";
    if (leader == context_.member()) return {Admission::Decision::acquire, ""};  // an earlier process of this name
    if (leader.empty() || !context_.state().member_live(leader)) {
        const HostShard& shard =
            host && host->shard ? *host->shard : context_.state().shard_of(heartbeat.host, heartbeat.zone);
        leader = assignment_.preferred_leader(shard);
    }
    if (leader == context_.member() || leader.empty()) return {Admission::Decision::acquire, ""};
    return admit_of_peer(heartbeat, leader, now);
}

Admission HostFailover::admit_own(const wire::Heartbeat& heartbeat, const HostRecord& host) const {
    // A higher fencing token was handed out by a controller whose registration the watch has not shown yet, or cannot.
    if (heartbeat.fencingToken > host.fencingToken)
        return context_.serving() ? Admission{Admission::Decision::acquire, ""} : Admission{};
    // Without the state service the host cannot get a higher fencing token: only the end of its agent epoch is sure to
    // end a start that is still under way.
    if (!context_.serving() && cancellations_.may_start_cancelled(host)) return {};
    // Also in an outage: without an answer the worker's lease would expire and its work be lost.
    return {Admission::Decision::accept, ""};
}

// The leader is alive. Workers leave a controller only when it fails them; but a copy of a heartbeat that arrives late
// is no sign of that, nor are the heartbeats of a host that no answer reaches: its leader gets those too and says so in
// its status. A host is taken from a live leader once in a lease at most, or such hosts would be registered over and
// over.
Admission HostFailover::admit_of_peer(const wire::Heartbeat& heartbeat, const std::string& leader, Timestamp now) {
    const config::Settings& settings = context_.settings();
    const peers::ReceivedStatus* peer = peers_.find(leader);
    Redirect& last = redirects_[heartbeat.host];
    const bool newer = std::pair(heartbeat.agentEpoch, heartbeat.sequence) > std::pair(last.agentEpoch, last.sequence);
    const double sinceRedirectS = now.steady - last.sinceS;
    const bool fresh = peer && peer->age(now) < kStatusFreshFor * settings.heartbeatIntervalS;
    const bool unreachable = fresh && peer->status.unreachable(heartbeat.host);
    auto taken = takenOverAtS_.find(heartbeat.host);
    const bool takenLately = taken != takenOverAtS_.end() && now.steady - taken->second <= settings.leaseS;
    const bool mayTakeOver = newer && !unreachable && !takenLately;
    // A leader that no longer serves, or whose status no longer arrives, would only fail the worker again.
    const bool leaderFailing = peer && (!peer->status.serving || !fresh);
    // A worker that is back soon after a redirect could not reach the controller it was sent to.
    const bool cameBack = sinceRedirectS > kLeastRedirectS && sinceRedirectS < settings.leaseS;
    if (mayTakeOver && (leaderFailing || cameBack)) {
        takenOverAtS_[heartbeat.host] = now.steady;
        unreachedAtS_[leader] = now.steady;
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
    const bool membersChanged = membersRevision != membersRevision_;
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
    const bool searchedLately = now.steady - lastAcquisitionS_ < kAcquireAssignedInterval * intervalS;
    if (!membersChanged && rewritten.empty() && searchedLately) return;
    lastAcquisitionS_ = now.steady;
    if (acquire_assigned(builder, rewritten))
        membersRevision_ = membersRevision;
    else
        schedule_.request_round();
}

bool HostFailover::acquire_requested(TransactionBuilder& builder, ShardSet& rewritten, Timestamp now) {
    bool fits = true;
    for (auto it = acquisitionRequests_.begin(); it != acquisitionRequests_.end();) {
        const HostRecord* host = context_.state().host(it->first);
        const bool acquired = context_.led_here(host) && it->second.fencingToken <= host->fencingToken;
        if (acquired || (host && host->gone())) {
            it = acquisitionRequests_.erase(it);
            continue;
        }
        const wire::Heartbeat& heartbeat = (it++)->second;
        if (!builder.acquire(heartbeat, context_.member(), context_.incarnation())) {
            fits = false;  // for another shard; other hosts of the shards that are rewritten may still go along
            continue;
        }
        lastAcquisitionS_ = now.steady;
        // The shard is rewritten anyway: its unowned hosts go along before a small transaction is full of other shards.
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
        // A host that no answer reaches could not confirm the new token.
        if (!tracker.needsFencing || tracker.unreachable() || !context_.led_here(host)) continue;
        if (!builder.acquire(*host, context_.member(), context_.incarnation())) return false;
    }
    return true;
}

bool HostFailover::acquire_assigned(TransactionBuilder& builder, const ShardSet& rewritten) {
    for (const auto& [key, shard] : context_.state().shards()) {
        if (rewritten.count(shard.get())) continue;
        const bool assignedHere = assignment_.assigned_here(*shard);
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
    const bool established = now.wall - record.sinceS > settings.heartbeatIntervalS && peer && peer->status.serving &&
                             peer->age(now) < kStatusFreshFor * settings.heartbeatIntervalS;
    if (!established) return false;
    auto unreached = unreachedAtS_.find(member);
    return unreached == unreachedAtS_.end() || now.steady - unreached->second >= kUnreachedLeases * settings.leaseS;
}

bool HostFailover::transfer_shard(TransactionBuilder& builder, const HostShard& shard, const std::string& member) {
    const std::uint64_t incarnation = context_.state().members().at(member).incarnation;
    bool any = false;
    for (HostRecord* host : shard.hosts) {
        const HostTracker* tracker = hosts_.find(host->name);
        if (!context_.led_here(host) || host->leaves() || !tracker) continue;
        if (tracker->state != HostState::confirmed || tracker->needsFencing || tracker->missedAnswers) continue;
        any = builder.acquire(*host, member, incarnation) || any;
    }
    return any;
}

void HostFailover::transfer_hosts(TransactionBuilder& builder, Timestamp now) {
    if (now.steady - lastTransferS_ < kTransferInterval * context_.settings().heartbeatIntervalS) return;
    lastTransferS_ = now.steady;
    for (const auto& [key, shard] : context_.state().shards()) {
        const std::string& member = assignment_.preferred_leader(*shard);
        if (member.empty() || member == context_.member() || !may_transfer_to(member, now)) continue;
        if (!transfer_shard(builder, *shard, member)) continue;
        spdlog::info("transfer {} to {}", key, member);
        return;
    }
}

}  // namespace wellstair::failover
