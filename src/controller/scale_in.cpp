// Which machines go back to the cloud: surplus, faulty, lost, and silent ones that something waits for.
#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

using state::HostRecord;
using state::HostState;
using state::TaskRef;

namespace {

// Heartbeat intervals after which a silent machine that holds a replica is returned: the cloud's word is a sooner proof
// than the lease. A machine that is well is never quiet for as long.
constexpr double kServiceSilentHeartbeats = 2;

}  // namespace

void Core::propose_scale_in(state::TransactionBuilder& builder, Timestamp now) {
    if (now.steady - scaleInProposedS_ < settings_.heartbeatIntervalS / 4) return;
    scaleInProposedS_ = now.steady;
    auto at = static_cast<std::int64_t>(now.wall);
    // What is lost has nothing to save: it is returned at once.
    auto lostAt = static_cast<std::int64_t>(now.wall - settings_.leaseS);
    // Since when a gang has surely noticed that a task's machine is gone.
    double noticed = hosts_.silent_after() + settings_.gangPeerS;
    std::map<std::string, std::pair<std::size_t, std::size_t>> quietOf;  // by zone: how many, of how many
    std::size_t quietHere = 0, allHere = 0;
    for (auto& [name, n] : hosts_.all()) {
        HostRecord* h = context_.state().host(name);
        if (!context_.led_here(h) || h->leaves()) continue;
        auto& [quiet, all] = quietOf[h->zone];
        quiet += hosts_.silent(n, now);
        quietHere += hosts_.silent(n, now);
        ++all, ++allHere;
    }
    for (auto& [name, n] : hosts_.all()) {
        HostRecord* h = context_.state().host(name);
        if (!context_.led_here(h) || h->leaves()) continue;
        bool faulty = n.failedJobs.size() >= 2 && n.failures >= 3;
        bool confirmed = n.state == HostState::confirmed || n.state == HostState::silent;
        // Expired, or never confirmed and silent since: only the cloud's word frees what the latter may hold.
        bool lost = !confirmed && n.lease.begun() && n.lease.age(now.steady) > 2 * settings_.leaseS;
        // It heartbeats and hears nobody: no work can be sent there, and heartbeats alone prove nothing of what it
        // holds.
        bool unreachable = (n.unreachable() && now.steady - n.unreachableSinceS > 2 * settings_.leaseS) ||
                           (n.state == HostState::led && now.steady - n.unconfirmedS > 3 * settings_.leaseS);
        // A machine that has been silent for so long has broken the gangs that had tasks there, and their next attempt
        // waits for the proof that these are gone. The cloud's word comes sooner than the end of the lease. Where much
        // of a zone is silent, it is rather the network, or a controller without the store still answers these
        // machines.
        const auto& [quiet, all] = quietOf[h->zone];
        bool holdsUp =
            n.lease.age(now.steady) > noticed && 3 * quiet <= all &&
            std::any_of(h->placed.begin(), h->placed.end(), [](const TaskRef& ref) { return ref.job->wide_gang(); });
        // Where half of all is silent, it is rather this controller that is cut off, and others take them over.
        const bool cutOff = 2 * quietHere >= allHere;
        bool cancelled = !cutOff && cancellations_.holds_cancelled(*h, n, now);
        bool service = !cutOff && 3 * quiet <= all && n.state == HostState::silent &&
                       n.lease.age(now.steady) > kServiceSilentHeartbeats * settings_.heartbeatIntervalS &&
                       holds_service(*h);
        if (faulty || lost || unreachable || holdsUp || cancelled || service) {
            bool saves = (faulty || unreachable) && !cancelled;
            const char* why = faulty        ? "faulty"
                              : lost        ? "lost"
                              : unreachable ? "unreachable"
                              : holdsUp     ? "silent, holds up a gang"
                              : service     ? "silent, holds a replica"
                                            : "silent, holds a cancelled task";
            if (!builder.mark_for_return(name, h->zone, saves ? at : lostAt, false, why)) return;
        }
    }
    if (!holds_cloud_role()) return;
    std::vector<HostRecord*> removable;
    for (const auto& [name, h] : context_.state().hosts()) {
        if (!h->shard) continue;
        if (h->gone() && h->placed.empty() && now.wall - h->leavingAtS > 3 * settings_.leaseS)
            removable.push_back(h.get());
        if (h->leaves() || !h->registered()) continue;
        // Nobody keeps it: either it finds another controller soon, or it is dead or cut off.
        auto [it, fresh] = unownedSince_.try_emplace(name, now.steady);
        if (!context_.unowned(*h))
            unownedSince_.erase(it);
        else if (now.steady - it->second > 1.5 * settings_.leaseS)
            builder.mark_for_return(name, h->zone, at, false, "unowned");
        if (auto idle = idleSince_.find(name); idle != idleSince_.end() && h->placed.empty()) {
            const auto* t = context_.state().type(h->machineType);
            if (t && now.steady - idle->second > std::max(6 * settings_.leaseS, 3 * t->startupS))
                builder.mark_for_return(name, h->zone, at, false, "surplus");
        }
    }
    for (HostRecord* h : removable)
        if (!builder.remove_host(*h)) return;
    for (const auto& m : cloud_.machines) {
        HostRecord* h = context_.state().host(m.name);
        if (h && h->leaves()) continue;
        const auto* t = context_.state().type(m.machineType);
        double boot = t ? t->startupS : 60;
        bool known = h && h->registered();
        bool stuck = m.phase != "running" && !known && m.heldS > 4 * boot + settings_.listLagS;
        bool mute = m.phase == "running" && !known && m.heldS > 6 * boot + 3 * settings_.leaseS;
        if (m.phase == "failed" || stuck || mute)
            if (!builder.mark_for_return(m.name, m.zone, at, false, m.phase == "failed" ? "failed" : "stuck")) return;
    }
}

std::vector<std::string> Core::scale_in_due(Timestamp now) {
    std::vector<std::string> out;
    if (!holds_cloud_role()) return out;
    for (const auto& [name, h] : context_.state().hosts()) {
        if (h->leaving != state::Leaving::marked) continue;
        // What runs there gets the time to save; a machine that is lost has nothing to save.
        if (h->placed.empty() || now.wall - h->leavingAtS > settings_.leaseS / 2) out.push_back(name);
        if (out.size() == 100) break;
    }
    return out;
}

void Core::mark_gone(state::TransactionBuilder& builder, const std::vector<std::string>& hosts, Timestamp now) {
    for (const std::string& name : hosts) {
        HostRecord* h = context_.state().host(name);
        if (h && h->leaving == state::Leaving::marked)
            builder.mark_for_return(name, h->zone, static_cast<std::int64_t>(now.wall), true, "returned");
    }
}

}  // namespace wellstair::controller
