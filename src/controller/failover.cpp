// Which controller keeps which machine: redirects, registrations, failovers from those that are gone, transfers to
// those that have returned.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

using state::Availability;
using state::HostRecord;
using state::HostState;
using workers::HostTracker;

bool Core::unowned(const HostRecord& h) const {
    auto leader = state_->members().find(h.leader);
    return h.registered() && (leader == state_->members().end() || leader->second.incarnation != h.incarnation);
}

// The controller that a range of hosts belongs to: of those in its zone (or of all, if there is none) each has an equal
// part of the ranges while all live; the ranges of one that is gone are spread over the others.
const std::string& Core::preferred_leader(const state::HostShard& shard) const {
    static const std::string none;
    std::vector<const std::string*> near, all;
    auto consider = [&](const std::string& name, const std::string& zone) {
        all.push_back(&name);
        if (zone == shard.zone) near.push_back(&name);
    };
    consider(settings_.member, settings_.location);
    for (const auto& m : settings_.members) consider(m.name, m.zone);
    auto& first = near.empty() ? all : near;
    std::sort(first.begin(), first.end(), [](auto* a, auto* b) { return *a < *b; });
    const std::string& own = *first[shard.number % first.size()];
    if (state_->member_live(own)) return own;
    for (auto* group : {&near, &all}) {
        const std::string* best = nullptr;
        for (const std::string* name : *group)
            if (state_->member_live(*name) && (!best || stable_hash(*name, shard.key) > stable_hash(*best, shard.key)))
                best = name;
        if (best) return *best;
    }
    return none;
}

Admission Core::admit(const wire::Heartbeat& r, Timestamp now) {
    now_ = now;
    HostRecord* h = state_->host(r.host);
    bool mine = led_here(h);
    if (availability_ == Availability::isolated || availability_ == Availability::joining || !stateReady_) return {};
    // The cloud has said that this machine is gone: what arrives is a late copy.
    if (h && h->gone()) return {};
    if (mine) {
        // A fencing token above ours was handed out by somebody the watch has not shown yet, or cannot.
        if (r.fencingToken > h->fencingToken)
            return availability_ == Availability::serving ? Admission{Admission::acquire, ""} : Admission{};
        // Without the store it cannot be given a new token: the end of its session is what a start under way can't
        // outlive.
        if (availability_ != Availability::serving && may_start_cancelled(*h)) return {};
        // Also in an outage: without our answers the machine's lease would run out and its work be lost.
        return {Admission::kept, ""};
    }
    if (availability_ != Availability::serving || !member_revision()) return {};
    bool kept = h && h->registered();
    std::string to = kept ? h->leader : "";
    if (to == settings_.member) return {Admission::acquire, ""};  // an earlier process of ours
    if (to.empty() || !state_->member_live(to))
        to = preferred_leader(h && h->shard ? *h->shard : state_->shard_of(r.host, r.zone));
    if (to == settings_.member || to.empty()) return {Admission::acquire, ""};
    // From here on `to` lives. Workers leave a controller only when it fails them; but a copy of a heartbeat, late by
    // anything from seconds to minutes, is no sign of that, and nor are the heartbeats of a machine that hears nobody:
    // its leader hears those, and says so. Taking one host from a live leader is done once a lease at most, or such
    // hosts would be registered again and again.
    auto peerStatus = peerStatuses_.find(to);
    Redirected& last = redirected_[r.host];
    bool newer = std::pair(r.agentEpoch, r.sequence) > std::pair(last.agentEpoch, last.sequence);
    double since = now.steady - last.atS;
    bool fresh =
        peerStatus != peerStatuses_.end() && now.steady - peerStatus->second.atS < settings_.heartbeatIntervalS / 2;
    bool unreachable = fresh && peerStatus->second.peerStatus.unreachable(r.host);
    auto taken = takenOverS_.find(r.host);
    bool mayTakeOver =
        newer && !unreachable && (taken == takenOverS_.end() || now.steady - taken->second > settings_.leaseS);
    // One that says it has let go, or that has gone quiet among the controllers, too, would only fail this one again.
    bool quiet = peerStatus != peerStatuses_.end() && (!peerStatus->second.peerStatus.serving || !fresh);
    // A host that comes back soon after being sent away could not reach the one it was sent to.
    bool cameBack = since > 0.3 && since < settings_.leaseS;
    if (mayTakeOver && (quiet || cameBack)) {
        takenOverS_[r.host] = now.steady;
        unreached_[to] = now.steady;
        last = {now.steady, r.agentEpoch, r.sequence};
        return {Admission::acquire, ""};
    }
    if (newer || last.atS < 0) last = {since < settings_.leaseS ? last.atS : now.steady, r.agentEpoch, r.sequence};
    return {Admission::redirect, to};
}

void Core::request_acquisition(const wire::Heartbeat& r) {
    acquisitionRequests_[r.host] = r;
    roundDue_ = true;
}

// Takes the leadership of hosts that heartbeat here, and of all others in the same range that nobody keeps; of ranges
// that have become this controller's, before their hosts heartbeat. Their registrations are collected for a moment,
// since each rewrites its range.
void Core::acquire_hosts(state::TransactionBuilder& builder, Timestamp now) {
    std::uint64_t members = 0;
    for (const auto& [name, m] : state_->members()) members = std::max(members, m.revision) + 1;
    bool changed = members != membersRevision_;
    if (!changed && now.steady - acquiredS_ < settings_.heartbeatIntervalS / 16) {
        if (!acquisitionRequests_.empty()) roundDue_ = true;
        return;
    }
    std::set<state::HostShard*> shards;
    bool full = false;
    for (auto it = acquisitionRequests_.begin(); it != acquisitionRequests_.end();) {
        HostRecord* h = state_->host(it->first);
        if ((led_here(h) && it->second.fencingToken <= h->fencingToken) || (h && h->gone())) {
            it = acquisitionRequests_.erase(it);
            continue;
        }
        const wire::Heartbeat& heartbeat = (it++)->second;
        if (!builder.acquire(heartbeat, settings_.member, incarnation_)) {
            full = true;  // of ranges; others of the ranges that it has may still go with it
            continue;
        }
        acquiredS_ = now.steady;
        // The range is rewritten anyway: all that nobody keeps goes with it, before small transactions are full of
        // other ranges.
        if (h && h->shard && shards.insert(h->shard).second && !acquire_unowned(builder, *h->shard)) full = true;
    }
    if (full) {
        roundDue_ = true;
        return;
    }
    for (auto& [name, n] : trackers_) {
        HostRecord* h = state_->host(name);
        // Not of one that would not hear of it.
        if (!n.needFence || n.unreachable() || !led_here(h)) continue;
        if (!builder.acquire(*h, settings_.member, incarnation_)) return;
    }
    if (!changed && shards.empty() && now.steady - acquiredS_ < settings_.heartbeatIntervalS / 8) return;
    acquiredS_ = now.steady;
    bool fits = true;
    for (const auto& [key, shard] : state_->shards()) {
        if (shards.count(shard.get())) continue;
        bool mine = preferred_leader(*shard) == settings_.member;
        for (HostRecord* h : shard->hosts) {
            if (!fits || !unowned(*h) || h->gone() || acquisitionRequests_.count(h->name)) continue;
            if (mine || h->leader == settings_.member) fits = builder.acquire(*h, settings_.member, incarnation_);
        }
    }
    if (fits)
        membersRevision_ = members;
    else
        roundDue_ = true;
}

bool Core::acquire_unowned(state::TransactionBuilder& builder, const state::HostShard& shard) {
    for (HostRecord* h : shard.hosts)
        if (unowned(*h) && !h->gone() && !acquisitionRequests_.count(h->name) &&
            !builder.acquire(*h, settings_.member, incarnation_))
            return false;
    return true;
}

// Gives ranges back to the controller that they belong to when it has returned, one at a time: otherwise a rolling
// restart would leave all hosts with whoever was restarted first.
void Core::transfer_hosts(state::TransactionBuilder& builder, Timestamp now) {
    if (now.steady - transferredS_ < settings_.heartbeatIntervalS / 4) return;
    transferredS_ = now.steady;
    for (const auto& [key, shard] : state_->shards()) {
        const std::string& to = preferred_leader(*shard);
        if (to.empty() || to == settings_.member) continue;
        auto member = state_->members().find(to);
        auto peerStatus = peerStatuses_.find(to);
        bool established = now.wall - member->second.sinceS > settings_.heartbeatIntervalS &&
                           peerStatus != peerStatuses_.end() && peerStatus->second.peerStatus.serving &&
                           now.steady - peerStatus->second.atS < settings_.heartbeatIntervalS / 2;
        auto unreached = unreached_.find(to);
        if (!established || (unreached != unreached_.end() && now.steady - unreached->second < 2 * settings_.leaseS))
            continue;
        bool any = false;
        for (HostRecord* h : shard->hosts) {
            HostTracker* n = tracker(h->name);
            if (!led_here(h) || h->leaves() || !n || n->state != HostState::confirmed || n->needFence ||
                n->missedAnswers)
                continue;
            any = builder.acquire(*h, to, member->second.incarnation) || any;
        }
        if (any) {
            spdlog::info("transfer {} to {}", key, to);
            return;
        }
    }
}

}  // namespace wellstair::controller
