#include "controller/core.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace wellstair::controller {

using model::GangState;
using model::HaltNote;
using model::HostNotes;
using model::HostRecord;
using model::HostState;
using model::Job;
using model::JobState;
using model::MemberState;
using model::StartNote;
using model::Step;
using model::StepRef;
using model::StepState;
using model::TaskKey;
using wire::Json;

namespace {

// Two steady clocks may drift apart by 0.05%; and the report's sending precedes its arrival, never follows it.
constexpr double kDrift = 1.002;
constexpr double kTimerSlackS = 0.1;
// Leases for which a machine that failed tasks, or a job that failed on several machines, rests at the most. Neither is
// known to be at fault for ever: rests that double without end outlasted what had caused them by minutes, while the
// machine was free and the job could have run on any.
constexpr double kLongestRest = 2;
// How often a controller divides a range in a report interval: other work goes on between.
constexpr double kDivisionsPerReport = 16;
// Bytes of an entry of a range or chunk, by which production has divided machines and tasks among keys.
constexpr double kEntryBytes = 80;
// Leases for which a key is left alone after the state service has refused its value.
constexpr double kRefusedRest = 1;

}  // namespace

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
            n.address = h.address;
        }
        mark(h);
        planDue_ = true;
    };
    view_->on_leaving = [this](HostRecord& h) {
        mark(h);
        dirty_ = planDue_ = true;
    };
    view_->on_removed = [this](HostRecord& h) {
        mark(h);
        dirty_ = planDue_ = true;
    };
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

// A chunk of tasks stays well below a value's limit: controllers that place tasks of one job at the same time write
// different chunks, and each change rewrites less. Announced limits do not matter here: all versions and all processes
// must agree on every key.
model::LayoutRecord Core::own_layout() const {
    auto width = static_cast<std::uint32_t>(std::max(1.0, settings_.valueKb * 1024 / kEntryBytes));
    return {model::kLayoutWithParts, std::max(1u, width / 4), width};
}

model::MemberData Core::member_data() const {
    return {incarnation_, settings_.location, model::kLayoutWithParts};
}

// Parts are written once the switch is durable; or when the state service has shown that its limits have fallen, which
// the operators announce for after the upgrade. Production reads parts, and a division compares and changes the very
// key that production's own changes compare: one that came back would do no harm (docs/upgrade.md).
bool Core::parts_allowed() const {
    return settings_.nextState && (layout_switched() || limitsFell_);
}

app::StateLimits Core::state_limits() const {
    return parts_allowed() ? settings_.lowest_state_limits() : settings_.state_limits();
}

void Core::note_malformed(const std::vector<std::string>& keys, Moment now) {
    if (settings_.nextState && !parts_allowed()) {
        limitsFell_ = true;  // the same changes may fit by the lower limits
        spdlog::info("the state service's limits have fallen: the announced ones hold from now on");
        return;
    }
    for (const std::string& key : keys) avoid_[key] = now.steady + kRefusedRest * settings_.leaseS;
}

HostNotes* Core::notes(const std::string& host) {
    auto it = notes_.find(host);
    return it == notes_.end() ? nullptr : &it->second;
}

// ---------------------------------------------------------------- users

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

// ---------------------------------------------------------------- workers

bool Core::kept_here(const HostRecord* h) const {
    return h && h->registered() && h->keeper == settings_.member && h->incarnation == incarnation_;
}

bool Core::orphan(const HostRecord& h) const {
    auto keeper = view_->members().find(h.keeper);
    return h.registered() && (keeper == view_->members().end() || keeper->second.incarnation != h.incarnation);
}

void Core::mark_job(const Job& job) {
    dirty_ = true;
    for (const auto& chunk : job.chunks)
        if (chunk.placed)
            for (const Step& step : chunk.steps)
                if (step.host) mark(*step.host);
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

void Core::digest(const wire::Report& r, bool checkin, Moment now) {
    now_ = now;
    HostRecord* h = view_->host(r.host);
    if (!kept_here(h)) return;
    HostNotes& n = notes_[r.host];
    if (!n.newer(r)) return;  // held back on the way: as old as it is
    std::map<TaskKey, model::Seen> before = n.tasks;
    int gapsBefore = n.gaps;
    bool fencedBefore = n.state == HostState::fenced, reclaimBefore = n.reclaimS.has_value();
    n.take(r, checkin, now.steady);
    if (checkin) n.lastReportS = now.steady;
    bool changed = before.size() != n.tasks.size() || reclaimBefore != n.reclaimS.has_value();
    if (n.gaps != gapsBefore) planDue_ = true;
    if (gapsBefore < 2 && n.deaf()) spdlog::info("host {} reports, but our answers do not reach it", r.host);
    if (gapsBefore >= 2 && !n.gaps) spdlog::info("our answers reach host {} again", r.host);
    for (const auto& [key, seen] : n.tasks) {
        auto old = before.find(key);
        bool fresh = old == before.end() || old->second.attempt != seen.attempt || old->second.phase != seen.phase;
        if (!fresh) continue;
        changed = true;
        if (seen.phase == wire::TaskPhase::ended) note_end(n, r.host, key, seen, now);
        if (seen.phase == wire::TaskPhase::running || seen.phase == wire::TaskPhase::waiting)
            if (Job* job = view_->job(key.first)) {
                h->cache.ready(job->spec->bundle, job->spec->imageGb, now.wall);
                spdlog::debug("step {}/{} of {} runs on {}, {:.1f} s after its submission", key.first, key.second,
                              job->spec->crew, r.host, now.wall - static_cast<double>(job->atS));
            }
    }
    if (n.state == HostState::claiming || n.state == HostState::released) n.state.become(HostState::kept);
    // A baton equal to ours shows that every command under an older one is refused from here on.
    if (r.baton == h->baton && checkin && n.state != HostState::fenced) {
        if (n.state == HostState::expired || n.state == HostState::silent)
            spdlog::info("host {} reports again", r.host);
        n.state.become(HostState::fenced);
    }
    if (changed || !fencedBefore) {
        dirty_ = true;
        mark(*h);
    }
    if (!fencedBefore || reclaimBefore != n.reclaimS.has_value()) planDue_ = true;
}

// A replica that ends again and again, for whatever cause, is tried with growing pauses; an earlier spell is forgotten
// after two leases without an end.
void Core::note_replica_end(const Job& job, const std::string& host, Moment now) {
    constexpr int kEndsAtOnce = 3;  // that are restarted without a pause
    JobNotes& notes = jobNotes_[job.id];
    if (now.steady - notes.lastFailureS > kLongestRest * settings_.leaseS) notes = {};
    notes.lastFailureS = now.steady;
    notes.failedOn.insert(host);
    if (++notes.failures <= kEndsAtOnce) return;
    double pause = settings_.reportS * std::exp2(notes.failures - kEndsAtOnce - 1);
    notes.notBeforeS = now.steady + std::min(pause, kLongestRest * settings_.leaseS);
}

void Core::note_end(HostNotes& n, const std::string& host, const TaskKey& key, const model::Seen& seen, Moment now) {
    using wire::Cause;
    const Job* service = view_->job(key.first);
    if (service && !service->service()) service = nullptr;
    if (service && (seen.cause == Cause::done || seen.cause == Cause::error)) note_replica_end(*service, host, now);
    if (seen.cause == Cause::done) {
        n.failures = 0;
        n.failedJobs.clear();
        n.quarantineUntilS = -1e9;
        if (!service) jobNotes_.erase(key.first);
    } else if (seen.cause == Cause::error) {
        JobNotes& j = jobNotes_[key.first];
        j.failedOn.insert(host);
        if (!service) ++j.failures;
        ++n.failures;
        n.failedJobs.insert(key.first);
        // Mostly the machine is faulty; a job that fails on machine after machine is at fault itself.
        if (j.failedOn.size() >= 3 && service) {
            n.failedJobs.erase(key.first);
            if (n.failedJobs.empty()) n.failures = 0;
            n.quarantineUntilS = now.steady + settings_.leaseS;  // left for a while all the same
        } else if (j.failedOn.size() >= 3) {
            j.notBeforeS =
                now.steady + std::min(settings_.reportS * std::exp2(j.failures - 2), kLongestRest * settings_.leaseS);
            n.failedJobs.erase(key.first);
            if (n.failedJobs.empty()) n.failures = 0, n.quarantineUntilS = -1e9;
        } else {
            n.quarantineUntilS = now.steady + settings_.leaseS * std::min(kLongestRest, std::exp2(n.failures - 1));
        }
        spdlog::info("step {}/{} failed on {} ({} in a row there, job failed on {} machines)", key.first, key.second,
                     host, n.failures, j.failedOn.size());
    } else if (seen.cause == Cause::unknown || seen.cause == Cause::busy || seen.cause == Cause::full) {
        JobNotes& j = jobNotes_[key.first];
        j.notBeforeS = std::max(j.notBeforeS, now.steady + settings_.reportS / 3);
        spdlog::info("start of {}/{} refused by {}: {}", key.first, key.second, host, static_cast<int>(seen.cause));
    }
}

void Core::on_step(Job& job, std::uint32_t index, const Step& before, const Step& after) {
    dirty_ = true;
    TaskKey key{job.id, index};
    if (before.host && before.host != after.host)
        if (HostNotes* n = notes(before.host->name)) n->evict.erase(key);
    if (job.service() && before.host && !after.host) replicaLostS_[job.id] = now_.wall;
    if (before.host) {
        planDue_ = true;
        mark(*before.host);
        // A gang that has lost a task stops: its other hosts have something to do.
        if (!after.host && job.gang()) mark_job(job);
    }
    if (after.host) mark(*after.host);
    if (after.host && after.host != before.host) doubts_.erase(after.host->name);
}

GangState Core::gang_state(const Job& job) const {
    if (job.done == job.spec->steps) return GangState::done;
    if (job.placed + job.done == job.spec->steps) return GangState::placed;
    if (job.placed == 0 && job.done == 0) return GangState::open;
    return GangState::broken;
}

bool Core::stopping(const Job& job, const Step& step) const {
    if (cancelled(job)) return true;
    if (!job.wide_gang()) return false;
    return gang_state(job) == GangState::broken || (job.stopAttempt && job.stopAttempt == step.attempt);
}

// A task is done or gone only by proof. Silence proves nothing, one report only what its tokens bear out.
Core::Proof Core::proof(const HostRecord& h, const StepRef& ref) {
    Step s = ref.job->step(ref.index, view_->chunk_size());
    // The cloud's word. A record is removed only after that, so a task placed without comparing the range may name it.
    if (h.gone() || h.removed()) return responsible(*ref.job) ? Proof::gone : Proof::none;
    if (!kept_here(&h)) return Proof::none;
    auto it = notes_.find(h.name);
    if (it == notes_.end()) return Proof::none;
    HostNotes& n = it->second;
    if (n.state == HostState::expired) return Proof::gone;  // the lease ran out by our own count
    if (n.state != HostState::fenced) return Proof::none;   // older commands may still reach the host
    TaskKey key{ref.job->id, ref.index};
    auto st = n.starts.find(key);
    StartNote* sent = st != n.starts.end() && st->second.attempt == s.attempt ? &st->second : nullptr;
    if (sent && sent->inFlight > 0) return Proof::none;
    // Commands name the session: what was sent in an earlier one is refused, however late it arrives.
    if (sent && n.tenure > sent->tenure && !n.tasks.count(key)) return Proof::gone;
    if (sent && sent->unanswered >= h.baton) {
        // This start may still execute, minutes from now. A higher baton that the host confirms ends that.
        n.needFence = true;
        return Proof::none;
    }
    auto seen = n.tasks.find(key);
    if (seen != n.tasks.end() && seen->second.attempt == s.attempt) {
        if (seen->second.phase != wire::TaskPhase::ended) return Proof::none;
        return seen->second.cause == wire::Cause::done ? Proof::done : Proof::gone;
    }
    if (s.baton != h.baton) return Proof::gone;  // placed under an older keepership, and not there under this one
    if (!sent) return stopping(*ref.job, s) || h.leaves() ? Proof::gone : Proof::none;  // never sent
    if (sent->seen) return Proof::gone;
    // Sent with a report's answer and absent from a newer report: it was dropped there and cannot come late.
    if (stopping(*ref.job, s) && n.checkinTick > sent->tick) return Proof::gone;
    return Proof::none;
}

std::vector<wire::Order> Core::orders(const std::string& host, bool byCommand, Moment now) {
    std::vector<wire::Order> reaps, halts, starts;
    HostRecord* h = view_->host(host);
    HostNotes* n = notes(host);
    if (!kept_here(h) || !n) return {};
    std::map<TaskKey, std::uint32_t> placedHere;
    for (const StepRef& ref : h->placed) {
        Step s = ref.job->step(ref.index, view_->chunk_size());
        TaskKey key{ref.job->id, ref.index};
        placedHere[key] = s.attempt;
        auto seen = n->tasks.find(key);
        bool there = seen != n->tasks.end() && seen->second.attempt == s.attempt;
        bool stop = stopping(*ref.job, s) || n->evict.count(key);
        if (there && seen->second.phase != wire::TaskPhase::ended && stop) {
            HaltNote& note = n->halts[key];
            bool first = note.attempt != s.attempt;
            if (first) note = {s.attempt, now.steady};
            bool useless = cancelled(*ref.job) || ref.job->spec->snapshotS <= 0;
            bool orderly = !useless && (!ref.job->wide_gang() || gang_state(*ref.job) != GangState::broken);
            double windDown = orderly ? ref.job->spec->flushS + settings_.reportS : 0;
            if (seen->second.phase == wire::TaskPhase::flushing && orderly) continue;
            halts.push_back({wire::Verb::halt, key.first, key.second, s.attempt, windDown});
        }
        if (!there && !stop && s.baton == h->baton && n->state == HostState::fenced && member_ == MemberState::live &&
            n->baton == h->baton && !h->leaves()) {
            auto st = n->starts.find(key);
            bool sent = st != n->starts.end() && st->second.attempt == s.attempt;
            if (sent && (st->second.seen || st->second.tenure != n->tenure)) continue;
            // By command only once in a while: the report's answer repeats it without any risk of coming late.
            if (byCommand && sent && now.steady - st->second.commandedS < settings_.reportS / 2) continue;
            if (byCommand && sent && (st->second.inFlight || st->second.unanswered)) continue;
            starts.push_back({wire::Verb::start, key.first, key.second, s.attempt, 0});
        }
    }
    for (const auto& [key, seen] : n->tasks) {
        auto p = placedHere.find(key);
        if (p != placedHere.end() && p->second == seen.attempt) continue;
        // Not, or no longer, placed here: the state service has its result, or never knew of it.
        if (seen.phase == wire::TaskPhase::ended) {
            auto st = n->starts.find(key);
            bool late = st != n->starts.end() && st->second.attempt == seen.attempt &&
                        (st->second.inFlight || st->second.unanswered >= h->baton);
            if (!late) reaps.push_back({wire::Verb::reap, key.first, key.second, seen.attempt, 0});
        } else {
            halts.push_back({wire::Verb::halt, key.first, key.second, seen.attempt, 0});
        }
    }
    std::vector<wire::Order> all = std::move(reaps);
    all.insert(all.end(), halts.begin(), halts.end());
    all.insert(all.end(), starts.begin(), starts.end());
    if (!byCommand)
        for (const wire::Order& o : starts) {
            StartNote& note = n->starts[{o.job, o.index}];
            if (note.attempt != o.attempt) note = {};
            if (!note.attempt) note.tenure = n->tenure;
            note.attempt = o.attempt;
            note.tick = n->checkinTick;
        }
    return all;
}

// All tasks placed there are there and may go on, and nothing else is there: nothing to do until something changes.
bool Core::settled(const HostRecord& h, const HostNotes& n) const {
    if (n.tasks.size() != h.placed.size()) return false;
    for (const StepRef& ref : h.placed) {
        Step s = ref.job->step(ref.index, view_->chunk_size());
        TaskKey key{ref.job->id, ref.index};
        auto seen = n.tasks.find(key);
        if (seen == n.tasks.end() || seen->second.attempt != s.attempt ||
            seen->second.phase == wire::TaskPhase::ended || stopping(*ref.job, s) || n.evict.count(key))
            return false;
    }
    return true;
}

bool Core::cancelled(const std::string& id) const {
    if (const auto* f = view_->final(id)) return f->state == JobState::aborted;
    if (cancelled_.count(id)) return true;
    const Job* job = view_->job(id);
    return job && job->state == JobState::withdrawn;
}

bool Core::cancelled(const Job& job) const {
    return job.state == JobState::withdrawn || (!cancelled_.empty() && cancelled_.count(job.id));
}

std::vector<std::string> Core::cancellations() const {
    std::vector<std::string> out(cancelled_.begin(), cancelled_.end());
    for (const auto& [order, job] : view_->queue())
        if (job->state == JobState::withdrawn && !cancelled_.count(job->id)) out.push_back(job->id);
    return out;
}

void Core::note_cancelled(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
        if (cancelled(id) || !cancelled_.insert(id).second) continue;
        if (const Job* job = view_->job(id)) mark_job(*job);
    }
}

std::map<std::string, std::uint64_t> Core::others() const {
    std::map<std::string, std::uint64_t> out;
    for (const auto& m : settings_.members) {
        auto it = view_->members().find(m.name);
        out[m.name] = it == view_->members().end() ? 0 : it->second.incarnation;
    }
    return out;
}

// A start of a cancelled task that had no answer can execute for as long as the machine's session lasts.
bool Core::may_start_cancelled(const HostRecord& h) const {
    auto it = notes_.find(h.name);
    if (it == notes_.end()) return false;
    return std::any_of(h.placed.begin(), h.placed.end(), [&](const StepRef& ref) {
        if (!cancelled(*ref.job)) return false;
        auto sent = it->second.starts.find({ref.job->id, ref.index});
        return sent != it->second.starts.end() && !sent->second.seen &&
               (sent->second.inFlight > 0 || sent->second.unanswered > 0);
    });
}

// Of a cancelled task whose start has been sent and which no report shows: the start may reach the machine still, and
// the halt behind it then ends the task at once.
void Core::add_blind_halts(const HostRecord& h, const HostNotes& n, std::vector<wire::Order>& all) const {
    for (const StepRef& ref : h.placed) {
        if (!cancelled(*ref.job)) continue;
        TaskKey key{ref.job->id, ref.index};
        std::uint32_t attempt = ref.job->step(ref.index, view_->chunk_size()).attempt;
        auto sent = n.starts.find(key);
        if (sent == n.starts.end() || sent->second.attempt != attempt || sent->second.seen || n.tasks.count(key))
            continue;
        all.push_back({wire::Verb::halt, key.first, key.second, attempt, 0});
    }
}

std::vector<std::pair<std::string, std::vector<wire::Order>>> Core::commands_due(Moment now) {
    std::vector<std::pair<std::string, std::vector<wire::Order>>> out;
    if (!viewReady_) return out;
    const bool live = member_ == MemberState::live;
    for (auto it = due_.begin(); it != due_.end();) {
        const std::string name = *it;
        HostRecord* h = view_->host(name);
        HostNotes* n = notes(name);
        if (!kept_here(h) || !n || h->gone()) {
            // The tasks of a machine that is gone stay due until each has been cleared by whoever is responsible.
            it = h && (h->gone() || h->removed()) && !h->placed.empty() ? std::next(it) : due_.erase(it);
            continue;
        }
        if (settled(*h, *n) && !n->needFence) {
            it = due_.erase(it);
            continue;
        }
        ++it;
        if (n->address.empty()) continue;
        auto all = orders(name, true, now);
        // The end of a cancelled task waits for nothing: no store, no fresh report, no confirmed baton. A machine that
        // obeys a newer keeper refuses it, one that hangs finds it when it goes on. Everything else needs all three.
        if (!live || n->state != HostState::fenced || n->gaps) {
            std::erase_if(all, [&](const wire::Order& o) { return o.verb != wire::Verb::halt || !cancelled(o.job); });
            add_blind_halts(*h, *n, all);
        }
        bool urgent = false;
        for (const wire::Order& o : all) {
            urgent = urgent || o.verb == wire::Verb::start;
            if (o.verb != wire::Verb::halt) continue;
            HaltNote& note = n->halts[{o.job, o.index}];
            urgent = urgent || now.steady - note.sentS > settings_.reportS || note.sentS == now.steady ||
                     note.attempt != o.attempt;
            note.attempt = o.attempt;
        }
        if (urgent) out.emplace_back(name, std::move(all));
    }
    return out;
}

void Core::commands_sent(const std::string& host, const std::vector<wire::Order>& orders, Moment now) {
    HostNotes& n = notes_[host];
    for (const wire::Order& o : orders) {
        if (o.verb == wire::Verb::start) {
            StartNote& note = n.starts[{o.job, o.index}];
            if (note.attempt != o.attempt) note = {};
            if (!note.attempt) note.tenure = n.tenure, note.tick = n.checkinTick;
            note.attempt = o.attempt;
            note.commandedS = now.steady;
            ++note.inFlight;
        } else if (o.verb == wire::Verb::halt) {
            n.halts[{o.job, o.index}] = {o.attempt, now.steady - 1e-3};
        }
    }
}

void Core::commands_answered(const std::string& host, const std::vector<wire::Order>& orders, bool answered,
                             std::uint64_t baton) {
    auto it = notes_.find(host);
    if (it == notes_.end()) return;
    for (const wire::Order& o : orders) {
        if (o.verb != wire::Verb::start) continue;
        auto st = it->second.starts.find({o.job, o.index});
        if (st == it->second.starts.end() || st->second.attempt != o.attempt) continue;
        if (st->second.inFlight > 0) --st->second.inFlight;
        if (!answered) st->second.unanswered = std::max(st->second.unanswered, baton);
    }
    due_.insert(host);
    dirty_ = true;
}

// ---------------------------------------------------------------- rounds

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
            if (now.steady - n.lastReportS > settings_.leaseS) {
                it = notes_.erase(it);
                continue;
            }
            ++it;
            continue;
        }
        if (n.state == HostState::fenced && silent(n, now)) {
            n.state.become(HostState::silent);
            spdlog::info("host {} is silent", name);
            changed = true;
            planDue_ = true;
        }
        // The lease counts from when the last answered report was sent, which is before it came in here. Only our
        // own baton can renew it (the host has confirmed it), and nobody else may use that.
        if (n.state == HostState::silent && now.steady - n.lastReportS > settings_.leaseS * kDrift + kTimerSlackS) {
            n.state.become(HostState::expired);
            spdlog::info("host {} has expired with {} steps", name, h ? h->placed.size() : 0);
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

// The layout changes once every member of the settings runs a version that can write it: each says so in its record,
// and the switch rests on all of these.
bool Core::propose_switch(Draft& draft) const {
    if (!settings_.nextState || view_->layout_stamp()) return false;
    auto ready = [&](const std::string& name) {
        auto member = view_->members().find(name);
        return member != view_->members().end() && member->second.layout >= model::kLayoutWithParts;
    };
    if (!ready(settings_.member)) return false;
    if (!std::all_of(settings_.members.begin(), settings_.members.end(), [&](const auto& m) { return ready(m.name); }))
        return false;
    return draft.switch_layout(own_layout());
}

// Ranges that are larger than the announced limit allows are divided before anything has to be changed in them.
void Core::divide_ranges(Draft& draft, Moment now) {
    if (!parts_allowed() || now.steady - dividedS_ < settings_.reportS / kDivisionsPerReport) return;
    for (const auto& [key, range] : view_->ranges()) {
        if (range->size.bytes() <= state_limits().value_bytes() || avoid_.count(key)) continue;
        if (preferred(*range) != settings_.member) continue;
        dividedS_ = now.steady;
        draft.divide(*range);
        dirty_ = true;
        return;
    }
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
        if (h && h->range && ranges.insert(h->range).second) claim_orphans(draft, *h->range);
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
        if (orphan(*h) && !h->gone() && !claims_.count(h->name) &&
            !draft.claim(*h, settings_.member, incarnation_))
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

// One replica after another: the next is moved when all others are there and have had the time to fetch their image.
// What machines of other controllers report is not known here; the time since the start was decided stands for it.
bool Core::may_move_replica(const Job& job, std::uint32_t index, Moment now) const {
    if (job.open() > 0) return false;
    for (std::uint32_t i = 0; i < job.spec->steps; ++i) {
        if (i == index) continue;
        Step other = job.step(i, view_->chunk_size());
        if (!other.host) return false;
        const double fetchS = job.spec->imageGb / view_->fetch_rate(other.host->build);
        if (now.wall - static_cast<double>(other.atS) < fetchS + settings_.reportS) return false;
        auto it = notes_.find(other.host->name);
        if (it != notes_.end() && it->second.evict.count({job.id, i})) return false;
    }
    return true;
}

double Core::open_since(const Job& job) const {
    auto lost = replicaLostS_.find(job.id);
    const auto submitted = static_cast<double>(job.atS);
    return lost == replicaLostS_.end() ? submitted : std::max(submitted, lost->second);
}

bool Core::holds_service(const HostRecord& h) const {
    return std::any_of(h.placed.begin(), h.placed.end(),
                       [&](const StepRef& ref) { return ref.job->service() && !cancelled(*ref.job); });
}

void Core::clear_ended(Draft& draft, Moment now) {
    for (const std::string& name : due_) {
        HostRecord* record = view_->host(name);
        if (!record || record->placed.empty()) continue;
        if (!record->gone() && !record->removed() && !kept_here(record)) continue;
        auto placed = record->placed;
        HostNotes* n = notes(name);
        for (const StepRef& ref : placed) {
            // Going away, by the cloud's notice or by our own mark: stop what can save.
            if (n && (n->reclaimS || record->leaves()) && !record->gone()) {
                if (ref.job->service()) {
                    if (may_move_replica(*ref.job, ref.index, now))
                        n->evict.try_emplace({ref.job->id, ref.index}, now.steady);
                } else if (ref.job->wide_gang()) {
                    Step s = ref.job->step(ref.index, view_->chunk_size());
                    if (ref.job->stopAttempt != s.attempt && ref.job->state == JobState::active)
                        draft.stop_attempt(*ref.job, s.attempt);
                } else {
                    n->evict.try_emplace({ref.job->id, ref.index}, now.steady);
                }
            }
            Proof p = proof(*record, ref);
            if (p == Proof::none) continue;
            if (p == Proof::done && ref.job->state != JobState::active) p = Proof::gone;
            if (ref.job->service()) p = Proof::gone;  // never done: it starts again elsewhere
            // A gang completes together: one task done shows it of those, too, whose machines were lost before they
            // could say so. Counted as open, they would wait for ever for the rest of a gang that is over.
            if (ref.job->gang() && ref.job->done > 0 && ref.job->state == JobState::active) p = Proof::done;
            if (!draft.clear(*ref.job, ref.index, p == Proof::done ? StepState::done : StepState::open)) {
                dirty_ = true;
                return;
            }
        }
    }
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

// ---------------------------------------------------------------- peers

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
