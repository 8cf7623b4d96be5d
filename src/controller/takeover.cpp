// Which controller keeps which machine: redirects, registrations, take-overs from those that are gone, hand-overs to
// those that have returned.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

using model::HostNotes;
using model::HostRecord;
using model::HostState;
using model::MemberState;

bool Core::orphan(const HostRecord& h) const {
    auto keeper = view_->members().find(h.keeper);
    return h.registered() && (keeper == view_->members().end() || keeper->second.incarnation != h.incarnation);
}

// The controller that a range of hosts belongs to: of those in its zone (or of all, if there is none) each has an equal
// part of the ranges while all live; the ranges of one that is gone are spread over the others.
const std::string& Core::preferred(const model::HostRange& range) const {
    static const std::string none;
    std::vector<const std::string*> near, all;
    auto consider = [&](const std::string& name, const std::string& zone) {
        all.push_back(&name);
        if (zone == range.hall) near.push_back(&name);
    };
    consider(settings_.member, settings_.location);
    for (const auto& m : settings_.members) consider(m.name, m.zone);
    auto& first = near.empty() ? all : near;
    std::sort(first.begin(), first.end(), [](auto* a, auto* b) { return *a < *b; });
    const std::string& own = *first[range.number % first.size()];
    if (view_->member_live(own)) return own;
    for (auto* group : {&near, &all}) {
        const std::string* best = nullptr;
        for (const std::string* name : *group)
            if (view_->member_live(*name) && (!best || mix(*name, range.key) > mix(*best, range.key))) best = name;
        if (best) return *best;
    }
    return none;
}

Admission Core::admit(const wire::Report& r, Moment now) {
    now_ = now;
    HostRecord* h = view_->host(r.host);
    bool mine = kept_here(h);
    if (member_ == MemberState::alone || member_ == MemberState::joining || !viewReady_) return {};
    // The cloud has said that this machine is gone: what arrives is a late copy.
    if (h && h->gone()) return {};
    if (mine) {
        // A baton above ours was handed out by somebody the watch has not shown yet, or cannot.
        if (r.baton > h->baton) return member_ == MemberState::live ? Admission{Admission::claim, ""} : Admission{};
        // Without the store it cannot be fenced anew: the end of its session is what a start under way can't outlive.
        if (member_ != MemberState::live && may_start_cancelled(*h)) return {};
        // Also in an outage: without our answers the machine's lease would run out and its work be lost.
        return {Admission::kept, ""};
    }
    if (member_ != MemberState::live || !member_stamp()) return {};
    bool kept = h && h->registered();
    std::string to = kept ? h->keeper : "";
    if (to == settings_.member) return {Admission::claim, ""};  // an earlier process of ours
    if (to.empty() || !view_->member_live(to))
        to = preferred(h && h->range ? *h->range : view_->range_of(r.host, r.hall));
    if (to == settings_.member || to.empty()) return {Admission::claim, ""};
    // From here on `to` lives. Workers leave a controller only when it fails them; but a copy of a report, late by
    // anything from seconds to minutes, is no sign of that, and nor are the reports of a machine that hears nobody: its
    // keeper hears those, and says so. Taking one host from a live keeper is done once a lease at most, or such hosts
    // would be registered again and again.
    auto hint = hints_.find(to);
    Redirected& last = redirected_[r.host];
    bool newer = std::pair(r.tenure, r.tick) > std::pair(last.tenure, last.tick);
    double since = now.steady - last.atS;
    bool fresh = hint != hints_.end() && now.steady - hint->second.atS < settings_.reportS / 2;
    bool deaf = fresh && hint->second.hint.deaf(r.host);
    auto taken = takenS_.find(r.host);
    bool mayTake = newer && !deaf && (taken == takenS_.end() || now.steady - taken->second > settings_.leaseS);
    // One that says it has let go, or that has gone quiet among the controllers, too, would only fail this one again.
    bool quiet = hint != hints_.end() && (!hint->second.hint.live || !fresh);
    // A host that comes back soon after being sent away could not reach the one it was sent to.
    bool cameBack = since > 0.3 && since < settings_.leaseS;
    if (mayTake && (quiet || cameBack)) {
        takenS_[r.host] = now.steady;
        unreached_[to] = now.steady;
        last = {now.steady, r.tenure, r.tick};
        return {Admission::claim, ""};
    }
    if (newer || last.atS < 0) last = {since < settings_.leaseS ? last.atS : now.steady, r.tenure, r.tick};
    return {Admission::redirect, to};
}

void Core::note_claim(const wire::Report& r) {
    claims_[r.host] = r;
    dirty_ = true;
}

// Takes the keepership of hosts that report here, and of all others in the same range that nobody keeps; of ranges that
// have become this controller's, before their hosts report. Their registrations are collected for a moment, since each
// rewrites its range.
void Core::claim_hosts(Draft& draft, Moment now) {
    std::uint64_t members = 0;
    for (const auto& [name, m] : view_->members()) members = std::max(members, m.stamp) + 1;
    bool changed = members != membersSeen_;
    if (!changed && now.steady - claimedS_ < settings_.reportS / 16) {
        if (!claims_.empty()) dirty_ = true;
        return;
    }
    std::set<model::HostRange*> ranges;
    bool full = false;
    for (auto it = claims_.begin(); it != claims_.end();) {
        HostRecord* h = view_->host(it->first);
        if ((kept_here(h) && it->second.baton <= h->baton) || (h && h->gone())) {
            it = claims_.erase(it);
            continue;
        }
        const wire::Report& report = (it++)->second;
        if (!draft.claim(report, settings_.member, incarnation_)) {
            full = true;  // of ranges; others of the ranges that it has may still go with it
            continue;
        }
        claimedS_ = now.steady;
        // The range is rewritten anyway: all that nobody keeps goes with it, before small transactions are full of
        // other ranges.
        if (h && h->range && ranges.insert(h->range).second && !claim_orphans(draft, *h->range)) full = true;
    }
    if (full) {
        dirty_ = true;
        return;
    }
    for (auto& [name, n] : notes_) {
        HostRecord* h = view_->host(name);
        // Not of one that would not hear of it.
        if (!n.needFence || n.deaf() || !kept_here(h)) continue;
        if (!draft.claim(*h, settings_.member, incarnation_)) return;
    }
    if (!changed && ranges.empty() && now.steady - claimedS_ < settings_.reportS / 8) return;
    claimedS_ = now.steady;
    bool fits = true;
    for (const auto& [key, range] : view_->ranges()) {
        if (ranges.count(range.get())) continue;
        bool mine = preferred(*range) == settings_.member;
        for (HostRecord* h : range->hosts) {
            if (!fits || !orphan(*h) || h->gone() || claims_.count(h->name)) continue;
            if (mine || h->keeper == settings_.member) fits = draft.claim(*h, settings_.member, incarnation_);
        }
    }
    if (fits)
        membersSeen_ = members;
    else
        dirty_ = true;
}

bool Core::claim_orphans(Draft& draft, const model::HostRange& range) {
    for (HostRecord* h : range.hosts)
        if (orphan(*h) && !h->gone() && !claims_.count(h->name) && !draft.claim(*h, settings_.member, incarnation_))
            return false;
    return true;
}

// Gives ranges back to the controller that they belong to when it has returned, one at a time: otherwise a rolling
// restart would leave all hosts with whoever was restarted first.
void Core::hand_over(Draft& draft, Moment now) {
    if (now.steady - handedS_ < settings_.reportS / 4) return;
    handedS_ = now.steady;
    for (const auto& [key, range] : view_->ranges()) {
        const std::string& to = preferred(*range);
        if (to.empty() || to == settings_.member) continue;
        auto member = view_->members().find(to);
        auto hint = hints_.find(to);
        bool settledIn = now.wall - member->second.sinceS > settings_.reportS && hint != hints_.end() &&
                         hint->second.hint.live && now.steady - hint->second.atS < settings_.reportS / 2;
        auto unreached = unreached_.find(to);
        if (!settledIn || (unreached != unreached_.end() && now.steady - unreached->second < 2 * settings_.leaseS))
            continue;
        bool any = false;
        for (HostRecord* h : range->hosts) {
            HostNotes* n = notes(h->name);
            if (!kept_here(h) || h->leaves() || !n || n->state != HostState::fenced || n->needFence || n->gaps)
                continue;
            any = draft.claim(*h, to, member->second.incarnation) || any;
        }
        if (any) {
            spdlog::info("hand {} over to {}", key, to);
            return;
        }
    }
}

}  // namespace wellstair::controller
