// What reports of machines show about tasks: which are proven to be done or gone, which have to stop, which may be
// placed again.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "controller/core.hpp"

namespace wellstair::controller {

using model::GangState;
using model::HostNotes;
using model::HostRecord;
using model::HostState;
using model::Job;
using model::JobState;
using model::StartNote;
using model::Step;
using model::StepRef;
using model::StepState;
using model::TaskKey;

namespace {

// Leases for which a machine that failed tasks, or a job that failed on several machines, rests at the most. Neither is
// known to be at fault for ever: rests that double without end outlasted what had caused them by minutes, while the
// machine was free and the job could have run on any.
constexpr double kLongestRest = 2;

}  // namespace

void Core::take_report(const wire::Report& r, model::ReportSource source, Moment now) {
    now_ = now;
    HostRecord* h = view_->host(r.host);
    if (!kept_here(h)) return;
    HostNotes& n = notes_[r.host];
    if (!n.newer(r)) return;  // held back on the way, or overtaken: as old as it is
    const bool checkin = source == model::ReportSource::checkin;
    std::map<TaskKey, model::Seen> before = n.tasks;
    int gapsBefore = n.gaps;
    bool fencedBefore = n.state == HostState::fenced, reclaimBefore = n.reclaimS.has_value();
    n.take(r, source, now.steady);
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
    const Proof none;
    Step s = ref.job->step(ref.index, view_->chunk_size());
    // The cloud's word. A record is removed only after that, so a task placed without comparing the range may name it.
    if (h.gone() || h.removed()) return responsible(*ref.job) ? Proof{Proof::gone, "the cloud has the machine"} : none;
    if (!kept_here(&h)) return none;
    auto it = notes_.find(h.name);
    if (it == notes_.end()) return none;
    HostNotes& n = it->second;
    if (n.state == HostState::expired) return {Proof::gone, "the lease has ended"};
    if (n.state != HostState::fenced) return none;  // older commands may still reach the host
    TaskKey key{ref.job->id, ref.index};
    auto st = n.starts.find(key);
    StartNote* sent = st != n.starts.end() && st->second.attempt == s.attempt ? &st->second : nullptr;
    if (sent && sent->inFlight > 0) return none;
    // Commands name the session: what was sent in an earlier one is refused, however late it arrives.
    if (sent && n.session > sent->session && !n.tasks.count(key)) return {Proof::gone, "started in an earlier session"};
    if (sent && sent->unanswered >= h.baton) {
        // This start may still execute, minutes from now. A higher baton that the host confirms ends that.
        n.needFence = true;
        return none;
    }
    auto seen = n.tasks.find(key);
    if (seen != n.tasks.end() && seen->second.attempt == s.attempt) {
        if (seen->second.phase != wire::TaskPhase::ended) return none;
        if (seen->second.cause == wire::Cause::done) return {Proof::done, "reported as done"};
        return {Proof::gone, "reported as ended"};
    }
    if (s.baton != h.baton) return {Proof::gone, "placed under an older token, and not there under this one"};
    if (!sent) return stopping(*ref.job, s) || h.leaves() ? Proof{Proof::gone, "never sent"} : none;
    if (sent->seen) return {Proof::gone, "no longer reported"};
    // Sent with a report's answer and absent from a newer report: it was dropped there and cannot come late.
    if (stopping(*ref.job, s) && n.lease.number() > sent->answeredReport)
        return {Proof::gone, "absent from a newer report"};
    return none;
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
            const Proof proven = proof(*record, ref);
            Proof::Verdict p = proven.verdict;
            if (p == Proof::none) continue;
            spdlog::debug("step {}/{} on {} is {}: {} (lease {})", ref.job->id, ref.index, name,
                          p == Proof::done ? "done" : "gone", proven.reason,
                          n ? n->lease.describe(now.steady) : "not counted here");
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

}  // namespace wellstair::controller
