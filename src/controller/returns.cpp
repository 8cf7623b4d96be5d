// Which machines go back to the cloud: surplus, faulty, lost, and silent ones that something waits for.
#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

using model::HostRecord;
using model::HostState;
using model::StepRef;

namespace {

// Report intervals after which a silent machine that holds a replica is returned: the cloud's word is a sooner proof
// than the lease. A machine that is well is never quiet for as long.
constexpr double kServiceSilentReports = 2;

}  // namespace

void Core::propose_returns(Draft& draft, Moment now) {
    if (now.steady - returnsS_ < settings_.reportS / 4) return;
    returnsS_ = now.steady;
    auto at = static_cast<std::int64_t>(now.wall);
    // What is lost has nothing to save: it is returned at once.
    auto lostAt = static_cast<std::int64_t>(now.wall - settings_.leaseS);
    // Since when a gang has surely noticed that a task's machine is gone.
    double noticed = kSilentReports * settings_.reportS + settings_.gangPeerS;
    std::map<std::string, std::pair<std::size_t, std::size_t>> quietOf;  // by zone: how many, of how many
    std::size_t quietHere = 0, allHere = 0;
    for (auto& [name, n] : notes_) {
        HostRecord* h = view_->host(name);
        if (!kept_here(h) || h->leaves()) continue;
        auto& [quiet, all] = quietOf[h->hall];
        quiet += silent(n, now);
        quietHere += silent(n, now);
        ++all, ++allHere;
    }
    for (auto& [name, n] : notes_) {
        HostRecord* h = view_->host(name);
        if (!kept_here(h) || h->leaves()) continue;
        bool faulty = n.failedJobs.size() >= 2 && n.failures >= 3;
        bool confirmed = n.state == HostState::fenced || n.state == HostState::silent;
        // Expired, or never confirmed and silent since: only the cloud's word frees what the latter may hold.
        bool lost = !confirmed && n.lease.begun() && n.lease.age(now.steady) > 2 * settings_.leaseS;
        // It reports and hears nobody: no work can be sent there, and reports alone prove nothing of what it holds.
        bool deaf = (n.deaf() && now.steady - n.deafSinceS > 2 * settings_.leaseS) ||
                    (n.state == HostState::kept && now.steady - n.unconfirmedS > 3 * settings_.leaseS);
        // A machine that has been silent for so long has broken the gangs that had tasks there, and their next attempt
        // waits for the proof that these are gone. The cloud's word comes sooner than the end of the lease. Where much
        // of a zone is silent, it is rather the network, or a controller without the store still answers these
        // machines.
        const auto& [quiet, all] = quietOf[h->hall];
        bool holdsUp =
            n.lease.age(now.steady) > noticed && 3 * quiet <= all &&
            std::any_of(h->placed.begin(), h->placed.end(), [](const StepRef& ref) { return ref.job->wide_gang(); });
        // Where half of all is silent, it is rather this controller that is cut off, and others take them over.
        const bool cutOff = 2 * quietHere >= allHere;
        bool cancelled = !cutOff && holds_cancelled(*h, n, now);
        bool service = !cutOff && 3 * quiet <= all && n.state == HostState::silent &&
                       n.lease.age(now.steady) > kServiceSilentReports * settings_.reportS && holds_service(*h);
        if (faulty || lost || deaf || holdsUp || cancelled || service) {
            bool saves = (faulty || deaf) && !cancelled;
            const char* why = faulty    ? "faulty"
                              : lost    ? "lost"
                              : deaf    ? "deaf"
                              : holdsUp ? "silent, holds up a gang"
                              : service ? "silent, holds a replica"
                                        : "silent, holds a cancelled task";
            if (!draft.mark_return(name, h->hall, saves ? at : lostAt, false, why)) return;
        }
    }
    if (!holds_cloud_role()) return;
    std::vector<HostRecord*> forget;
    for (const auto& [name, h] : view_->hosts()) {
        if (!h->range) continue;
        if (h->gone() && h->placed.empty() && now.wall - h->leavingAtS > 3 * settings_.leaseS)
            forget.push_back(h.get());
        if (h->leaves() || !h->registered()) continue;
        // Nobody keeps it: either it finds another controller soon, or it is dead or cut off.
        auto [it, fresh] = strangeSince_.try_emplace(name, now.steady);
        if (!orphan(*h))
            strangeSince_.erase(it);
        else if (now.steady - it->second > 1.5 * settings_.leaseS)
            draft.mark_return(name, h->hall, at, false, "orphan");
        if (auto idle = idleSince_.find(name); idle != idleSince_.end() && h->placed.empty()) {
            const auto* t = view_->type(h->build);
            if (t && now.steady - idle->second > std::max(6 * settings_.leaseS, 3 * t->startupS))
                draft.mark_return(name, h->hall, at, false, "surplus");
        }
    }
    for (HostRecord* h : forget)
        if (!draft.forget_host(*h)) return;
    for (const auto& m : cloud_.machines) {
        HostRecord* h = view_->host(m.ref);
        if (h && h->leaves()) continue;
        const auto* t = view_->type(m.build);
        double boot = t ? t->startupS : 60;
        bool known = h && h->registered();
        bool stuck = m.phase != "running" && !known && m.heldS > 4 * boot + settings_.listLagS;
        bool mute = m.phase == "running" && !known && m.heldS > 6 * boot + 3 * settings_.leaseS;
        if (m.phase == "failed" || stuck || mute)
            if (!draft.mark_return(m.ref, m.hall, at, false, m.phase == "failed" ? "failed" : "stuck")) return;
    }
}

std::vector<std::string> Core::returns_due(Moment now) {
    std::vector<std::string> out;
    if (!holds_cloud_role()) return out;
    for (const auto& [name, h] : view_->hosts()) {
        if (h->leaving != model::Leaving::marked) continue;
        // What runs there gets the time to save; a machine that is lost has nothing to save.
        if (h->placed.empty() || now.wall - h->leavingAtS > settings_.leaseS / 2) out.push_back(name);
        if (out.size() == 100) break;
    }
    return out;
}

void Core::mark_gone(Draft& draft, const std::vector<std::string>& hosts, Moment now) {
    for (const std::string& name : hosts) {
        HostRecord* h = view_->host(name);
        if (h && h->leaving == model::Leaving::marked)
            draft.mark_return(name, h->hall, static_cast<std::int64_t>(now.wall), true, "returned");
    }
}

}  // namespace wellstair::controller
