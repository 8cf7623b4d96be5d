#include "controller/core.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::controller {

using model::HostNotes;
using model::HostRecord;
using model::HostState;
using model::Job;
using model::JobState;
using model::MemberState;
using model::Step;
using wire::Json;

std::uint64_t Core::mix(std::string_view a, std::string_view b) {
    std::uint64_t h = 1469598103934665603ull;
    for (std::string_view s : {a, std::string_view("|"), b})
        for (unsigned char c : s) h = (h ^ c) * 1099511628211ull;
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdull;
    return h ^ (h >> 33);
}

Core::Core(const app::Settings& settings, Tunables tunables, std::uint64_t incarnation)
    : settings_(settings), tunables_(tunables), incarnation_(incarnation) {
    reset_view();
}

void Core::reset_view() {
    const model::LayoutRecord layout = own_layout();
    view_ = std::make_unique<model::View>(layout.chunkSize, layout.rangeWidth);
    view_->on_step = [this](Job& j, std::uint32_t i, const Step& b, const Step& a) { on_step(j, i, b, a); };
    // A new baton, ours again or somebody else's: until the host confirms it, older commands may still reach the host.
    view_->on_registered = [this](HostRecord& h) {
        if (kept_here(&h)) {
            HostNotes& n = notes_[h.name];
            n.begin_keepership(h.baton, now_.steady);
            spdlog::debug("host {} is kept here under token {} at revision {}", h.name, h.baton, h.range->stamp);
            n.address = h.address;
        }
        mark(h);
        planDue_ = true;
    };
    const auto replan_for = [this](HostRecord& h) {
        mark(h);
        dirty_ = planDue_ = true;
    };
    view_->on_leaving = replan_for;
    view_->on_removed = replan_for;
    view_->on_stop = [this](Job& job) { mark_job(job); };
    viewReady_ = false;
}

std::uint64_t Core::member_stamp() const {
    auto it = view_->members().find(settings_.member);
    return it != view_->members().end() && it->second.incarnation == incarnation_ ? it->second.stamp : 0;
}

void Core::set_member_state(MemberState s, Moment now) {
    MemberState before = member_;
    if (member_.become(s)) {
        if (s == MemberState::live) liveSinceS_ = now.steady;
        spdlog::info("member state {} -> {}", model::MemberTraits::name(before), model::MemberTraits::name(s));
    }
}

Draft Core::new_draft() {
    WriteRules rules{state_limits(), parts_allowed(), {}};
    for (const auto& [key, until] : avoid_) rules.avoid.insert(key);
    return Draft(*view_, settings_, std::move(rules), settings_.member, member_stamp());
}

HostNotes* Core::notes(const std::string& host) {
    auto it = notes_.find(host);
    return it == notes_.end() ? nullptr : &it->second;
}

const char* Core::phase_name(const Job& job) {
    switch (job.state.state()) {
        case JobState::withdrawn:
        case JobState::aborted:
            return "aborted";
        case JobState::done:
            return "done";
        case JobState::active:
            break;
    }
    return job.placed > 0 ? "running" : "queued";
}

std::optional<Answer> Core::known(const std::string& id) {
    if (const auto* f = view_->final(id))
        return Answer{200, {{"ref", id}, {"phase", f->state == JobState::done ? "done" : "aborted"}}, 0};
    if (const Job* job = view_->job(id))
        return Answer{
            200, {{"ref", id}, {"phase", phase_name(*job)}, {"done", job->done}, {"running", job->placed}}, 0};
    return std::nullopt;
}

Answer Core::poll(const std::string& id) {
    if (auto a = known(id)) return *a;
    return {404, {{"error", "no such job"}}, 0};
}

std::optional<std::string> Core::never_runs(const wire::JobSpec& s, bool& unsure) const {
    unsure = false;
    const app::Team* team = settings_.team(s.crew);
    if (!team) return "unknown team " + s.crew;
    // All of a gang, and all replicas of a service, run at the same time.
    const bool whole = s.shape == wire::Shape::gang || s.service();
    double tasks = whole ? s.steps : 1;
    if (team->cpusMax > 0 && s.cores * tasks > team->cpusMax + 1e-9)
        return "more cores than the limit of team " + s.crew;
    if (team->gpusMax > 0 && s.gpus * tasks > team->gpusMax + 1e-9) return "more GPUs than the limit of team " + s.crew;
    if (Draft::submission_size(s) > state_limits().value_bytes()) return "the description is larger than can be stored";
    if (view_->types().empty()) {
        unsure = true;
        return std::nullopt;
    }
    std::set<std::string> halls;  // in which a task may run
    for (const auto& [name, t] : view_->types()) {
        if (s.builds && std::find(s.builds->begin(), s.builds->end(), name) == s.builds->end()) continue;
        if (!placement::Need{s.cores, s.gpus, s.ramGb}.fits({t.cores, t.gpus, t.ramGb})) continue;
        for (const std::string& hall : t.halls)
            if (!s.hall || *s.hall == hall) halls.insert(hall);
    }
    if (halls.empty()) return "a task fits no allowed machine type";
    // Its tasks are where they may be together, or never.
    if (s.scatter && whole && s.steps > 1 && (s.together || halls.size() < 2))
        return "at most half of a scattered job's tasks may be in one zone, and it may use no other";
    return std::nullopt;
}

bool Core::kept_here(const HostRecord* h) const {
    return h && h->registered() && h->keeper == settings_.member && h->incarnation == incarnation_;
}

void Core::mark_job(const Job& job) {
    dirty_ = true;
    for (const auto& chunk : job.chunks)
        if (chunk.placed)
            for (const Step& step : chunk.steps)
                if (step.host) mark(*step.host);
}

std::map<std::string, std::uint64_t> Core::others() const {
    std::map<std::string, std::uint64_t> out;
    for (const auto& m : settings_.members) {
        auto it = view_->members().find(m.name);
        out[m.name] = it == view_->members().end() ? 0 : it->second.incarnation;
    }
    return out;
}

bool Core::responsible(const Job& job) const {
    if (view_->member_live(job.owner)) return job.owner == settings_.member;
    // Its owner is gone: the live ones agree by a hash.
    const std::string* best = nullptr;
    for (const auto& [name, m] : view_->members())
        if (!best || mix(name, job.id) > mix(*best, job.id)) best = &name;
    return best && *best == settings_.member;
}

// The role hangs on this process's lease. Inherited by name alone it would end with the lease of the one before, in the
// middle of this one's calls.
bool Core::take_cloud_role(Draft& draft, std::uint64_t hold) const {
    Json holder = {{"by", settings_.member}, {"inc", incarnation_}};
    return draft.put(model::keys::kCloudRole, view_->cloud_role_stamp(), std::move(holder), hold);
}

bool Core::tick(Moment now) {
    now_ = now;
    bool changed = false;
    std::erase_if(replicaLostS_, [&](const auto& e) { return !view_->job(e.first); });
    std::erase_if(avoid_, [&](const auto& e) { return e.second < now.steady; });
    std::erase_if(cancelled_, [&](const std::string& id) {
        const Job* job = view_->job(id);
        return view_->final(id) || (job && job->state == JobState::withdrawn);
    });
    for (auto it = notes_.begin(); it != notes_.end();) {
        const std::string& name = it->first;
        HostNotes& n = it->second;
        HostRecord* h = view_->host(name);
        if (viewReady_ && h && h->gone()) {
            it = notes_.erase(it);
            continue;
        }
        if (viewReady_ && !kept_here(h)) {
            if (n.state != HostState::released) {
                n.state.become(HostState::released);
                spdlog::info("host {} is no longer kept here", name);
            }
            if (n.lease.age(now.steady) > settings_.leaseS) {
                it = notes_.erase(it);
                continue;
            }
            ++it;
            continue;
        }
        if (n.state == HostState::fenced && silent(n, now)) {
            n.state.become(HostState::silent);
            spdlog::info("host {} is silent: lease {}", name, n.lease.describe(now.steady));
            changed = true;
            planDue_ = true;
        }
        // Only our own baton can renew the lease (the host has confirmed it), and nobody else may use that.
        if (n.state == HostState::silent && n.lease.ended(now.steady, settings_.leaseS)) {
            n.state.become(HostState::expired);
            checkinStatistics_.lease_ended();
            spdlog::info("host {} has expired with {} steps: lease {}, newest report {}/{}, token {}", name,
                         h ? h->placed.size() : 0, n.lease.describe(now.steady), n.session, n.reportNumber,
                         n.keptUnderToken);
            changed = true;
            due_.insert(name);
        }
        ++it;
    }
    if (changed) dirty_ = true;
    return changed;
}

Draft Core::round(Moment now) {
    now_ = now;
    Draft draft = new_draft();
    dirty_ = false;
    if (!viewReady_ || member_ != MemberState::live || !member_stamp()) return draft;
    if (propose_switch(draft)) return draft;
    divide_ranges(draft, now);
    claim_hosts(draft, now);
    // Small transactions may be full before the last of these has had its turn: the next round then begins with it.
    constexpr int kStages = 3;
    for (int i = 0; i < kStages; ++i) {
        const int stage = (firstStage_ + i) % kStages;
        if (stage == 0) clear_ended(draft, now);
        if (stage == 1) finish_jobs(draft);
        if (stage == 2) place(draft, now);
    }
    firstStage_ = dirty_ ? (firstStage_ + 1) % kStages : 0;
    propose_returns(draft, now);
    if (draft.empty()) hand_over(draft, now);
    return draft;
}

void Core::finish_jobs(Draft& draft) {
    for (const auto& [order, job] : view_->queue()) {
        bool together = job->gang() && job->done > 0 && job->placed == 0;  // see clear_ended
        bool done = job->state == JobState::active && (job->done == job->spec->steps || together);
        bool aborted = job->state == JobState::withdrawn && job->placed == 0;
        if ((!done && !aborted) || !responsible(*job)) continue;
        if (!draft.finish(*job, done ? JobState::done : JobState::aborted)) {
            dirty_ = true;
            return;
        }
    }
    if (holds_cloud_role())
        for (const auto& [path, stamp] : view_->leftovers())
            if (!draft.sweep(path, stamp)) return;
}

void Core::set_hint(const peers::Hint& hint, Moment now) {
    hints_[hint.member] = {hint, now.steady};
}

peers::Hint Core::own_hint(double storeAgeS, Moment now) const {
    peers::Hint hint{settings_.member, incarnation_, storeAgeS, member_ == MemberState::live, {}};
    for (const auto& [name, n] : notes_) {
        HostRecord* h = view_->host(name);
        if (kept_here(h) && !usable(*h, now)) hint.unusable.push_back({name, n.deaf()});
    }
    hint.sort();
    return hint;
}

bool Core::peer_heard(Moment now) const {
    for (const auto& [name, n] : hints_)
        if (now.steady - n.atS < 1.5) return true;
    return false;
}

bool Core::peer_has_store(Moment now) const {
    // As of now, not as of when it was said: at the beginning of an outage that everybody has, the others' last words
    // still tell of a store that answers, and to let go for that would cost every machine its keeper.
    for (const auto& [name, n] : hints_)
        if (n.hint.live && n.hint.storeAgeS + (now.steady - n.atS) < 0.75) return true;
    return false;
}

}  // namespace wellstair::controller
