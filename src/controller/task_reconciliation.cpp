// What heartbeats of machines show about tasks: which are proven to be done or gone, which have to stop, which may be
// placed again.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "controller/core.hpp"

namespace wellstair::controller {

using reconciliation::JobHistory;
using state::GangState;
using state::HostRecord;
using state::HostState;
using state::Job;
using state::JobState;
using state::Task;
using state::TaskRef;
using state::TaskState;
using workers::HostTracker;
using workers::SentStart;
using workers::TaskKey;

namespace {

// Leases for which a machine that failed tasks, or a job that failed on several machines, rests at the most. Neither is
// known to be at fault for ever: rests that double without end outlasted what had caused them by minutes, while the
// machine was free and the job could have run on any.
constexpr double kLongestRest = 2;

}  // namespace

void Core::apply_status(const wire::Heartbeat& r, workers::StatusSource source, Timestamp now) {
    context_.set_now(now);
    HostRecord* h = context_.state().host(r.host);
    if (!context_.led_here(h)) return;
    HostTracker& n = hosts_.track(r.host);
    if (!n.newer(r)) return;  // held back on the way, or overtaken: as old as it is
    const bool heartbeat = source == workers::StatusSource::heartbeat;
    std::map<TaskKey, workers::ObservedTask> before = n.tasks;
    int missedAnswersBefore = n.missedAnswers;
    bool confirmedBefore = n.state == HostState::confirmed, noticeBefore = n.preemptionAtS.has_value();
    n.take(r, source, now.steady);
    bool changed = before.size() != n.tasks.size() || noticeBefore != n.preemptionAtS.has_value();
    if (n.missedAnswers != missedAnswersBefore) schedule_.request_plan();
    if (missedAnswersBefore < 2 && n.unreachable())
        spdlog::info("host {} sends heartbeats, but our answers do not reach it (unreachable one way)", r.host);
    if (missedAnswersBefore >= 2 && !n.missedAnswers) spdlog::info("our answers reach host {} again", r.host);
    for (const auto& [key, seen] : n.tasks) {
        auto old = before.find(key);
        bool fresh = old == before.end() || old->second.attempt != seen.attempt || old->second.phase != seen.phase;
        if (!fresh) continue;
        changed = true;
        if (seen.phase == wire::TaskPhase::ended) record_task_end(n, r.host, key, seen, now);
        if (seen.phase == wire::TaskPhase::running || seen.phase == wire::TaskPhase::waiting)
            if (Job* job = context_.state().job(key.first)) {
                h->cache.ready(job->spec->image, job->spec->imageGb, now.wall);
                spdlog::debug("task {}/{} of {} runs on {}, {:.1f} s after its submission", key.first, key.second,
                              job->spec->team, r.host, now.wall - static_cast<double>(job->atS));
            }
    }
    if (n.state == HostState::acquiring || n.state == HostState::released) n.state.become(HostState::led);
    // A fencing token equal to ours shows that every command under an older one is refused from here on.
    if (r.fencingToken == h->fencingToken && heartbeat && n.state != HostState::confirmed) {
        if (n.state == HostState::expired || n.state == HostState::silent)
            spdlog::info("host {} sends heartbeats again", r.host);
        n.state.become(HostState::confirmed);
    }
    if (changed || !confirmedBefore) {
        schedule_.request_round();
        schedule_.mark_due(*h);
    }
    if (!confirmedBefore || noticeBefore != n.preemptionAtS.has_value()) schedule_.request_plan();
}

// A replica that ends again and again, for whatever cause, is tried with growing pauses; an earlier spell is forgotten
// after two leases without an end.
void Core::record_replica_end(const Job& job, const std::string& host, Timestamp now) {
    constexpr int kEndsAtOnce = 3;  // that are restarted without a pause
    JobHistory& history = jobHistories_.of(job.id);
    if (now.steady - history.lastFailureS > kLongestRest * settings_.leaseS) history = {};
    history.lastFailureS = now.steady;
    history.failedOn.insert(host);
    if (++history.failures <= kEndsAtOnce) return;
    double pause = settings_.heartbeatIntervalS * std::exp2(history.failures - kEndsAtOnce - 1);
    history.notBeforeS = now.steady + std::min(pause, kLongestRest * settings_.leaseS);
}

void Core::record_task_end(HostTracker& n, const std::string& host, const TaskKey& key,
                           const workers::ObservedTask& seen, Timestamp now) {
    using wire::Cause;
    const Job* service = context_.state().job(key.first);
    if (service && !service->service()) service = nullptr;
    if (service && (seen.cause == Cause::done || seen.cause == Cause::error)) record_replica_end(*service, host, now);
    if (seen.cause == Cause::done) {
        n.failures = 0;
        n.failedJobs.clear();
        n.quarantineUntilS = -1e9;
        if (!service) jobHistories_.erase(key.first);
    } else if (seen.cause == Cause::error) {
        JobHistory& j = jobHistories_.of(key.first);
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
            j.notBeforeS = now.steady + std::min(settings_.heartbeatIntervalS * std::exp2(j.failures - 2),
                                                 kLongestRest * settings_.leaseS);
            n.failedJobs.erase(key.first);
            if (n.failedJobs.empty()) n.failures = 0, n.quarantineUntilS = -1e9;
        } else {
            n.quarantineUntilS = now.steady + settings_.leaseS * std::min(kLongestRest, std::exp2(n.failures - 1));
        }
        spdlog::info("task {}/{} failed on {} ({} in a row there, job failed on {} machines)", key.first, key.second,
                     host, n.failures, j.failedOn.size());
    } else if (seen.cause == Cause::unknown || seen.cause == Cause::busy || seen.cause == Cause::full) {
        JobHistory& j = jobHistories_.of(key.first);
        j.notBeforeS = std::max(j.notBeforeS, now.steady + settings_.heartbeatIntervalS / 3);
        spdlog::info("start of {}/{} refused by {}: {}", key.first, key.second, host, static_cast<int>(seen.cause));
    }
}

void Core::on_task_change(Job& job, std::uint32_t index, const Task& before, const Task& after) {
    schedule_.request_round();
    TaskKey key{job.id, index};
    if (before.host && before.host != after.host)
        if (HostTracker* n = hosts_.find(before.host->name)) n->evict.erase(key);
    if (job.service() && before.host && !after.host) jobHistories_.record_lost_replica(job.id, context_.now());
    if (before.host) {
        schedule_.request_plan();
        schedule_.mark_due(*before.host);
        // A gang that has lost a task stops: its other hosts have something to do.
        if (!after.host && job.gang()) schedule_.mark_job_due(job);
    }
    if (after.host) schedule_.mark_due(*after.host);
    if (after.host && after.host != before.host) eligibility_.start_seen(after.host->name);
}

bool Core::stopping(const Job& job, const Task& task) const {
    if (cancellations_.cancelled(job)) return true;
    if (!job.wide_gang()) return false;
    return job.gang_state() == GangState::broken || (job.stopAttempt && job.stopAttempt == task.attempt);
}

// A task is done or gone only by proof. Silence proves nothing, one heartbeat only what its tokens bear out.
Core::TerminationProof Core::termination_proof(const HostRecord& h, const TaskRef& ref) {
    const TerminationProof none;
    Task s = ref.job->task(ref.index, context_.state().chunk_size());
    // The cloud's word. A record is removed only after that, so a task placed without comparing the range may name it.
    if (h.gone() || h.removed())
        return context_.responsible(*ref.job) ? TerminationProof{TerminationProof::gone, "the cloud has the machine"}
                                              : none;
    if (!context_.led_here(&h)) return none;
    HostTracker* tracker = hosts_.find(h.name);
    if (!tracker) return none;
    HostTracker& n = *tracker;
    if (n.state == HostState::expired) return {TerminationProof::gone, "the lease has expired"};
    if (n.state != HostState::confirmed) return none;  // older commands may still reach the host
    TaskKey key{ref.job->id, ref.index};
    auto st = n.starts.find(key);
    SentStart* sent = st != n.starts.end() && st->second.attempt == s.attempt ? &st->second : nullptr;
    if (sent && sent->inFlight > 0) return none;
    // Commands name the session: what was sent in an earlier one is refused, however late it arrives.
    if (sent && n.agentEpoch > sent->agentEpoch && !n.tasks.count(key))
        return {TerminationProof::gone, "started in an earlier agent epoch"};
    if (sent && sent->unanswered >= h.fencingToken) {
        // This start may still execute, minutes from now. A higher fencing token that the host confirms ends that.
        n.needFence = true;
        return none;
    }
    auto seen = n.tasks.find(key);
    if (seen != n.tasks.end() && seen->second.attempt == s.attempt) {
        if (seen->second.phase != wire::TaskPhase::ended) return none;
        if (seen->second.cause == wire::Cause::done) return {TerminationProof::done, "heartbeat says done"};
        return {TerminationProof::gone, "heartbeat says ended"};
    }
    if (s.fencingToken != h.fencingToken)
        return {TerminationProof::gone, "placed under an older fencing token, and absent under this one"};
    if (!sent)
        return stopping(*ref.job, s) || h.leaves() ? TerminationProof{TerminationProof::gone, "never sent"} : none;
    if (sent->seen) return {TerminationProof::gone, "no longer in heartbeats"};
    // Sent with a heartbeat's answer and absent from a newer heartbeat: it was dropped there and cannot come late.
    if (stopping(*ref.job, s) && n.lease.sequence() > sent->answeredSequence)
        return {TerminationProof::gone, "absent from a newer heartbeat"};
    return none;
}

// All tasks placed there are there and may go on, and nothing else is there: nothing to do until something changes.
bool Core::in_sync(const HostRecord& h, const HostTracker& n) const {
    if (n.tasks.size() != h.placed.size()) return false;
    for (const TaskRef& ref : h.placed) {
        Task s = ref.job->task(ref.index, context_.state().chunk_size());
        TaskKey key{ref.job->id, ref.index};
        auto seen = n.tasks.find(key);
        if (seen == n.tasks.end() || seen->second.attempt != s.attempt ||
            seen->second.phase == wire::TaskPhase::ended || stopping(*ref.job, s) || n.evict.count(key))
            return false;
    }
    return true;
}

// One replica after another: the next is moved when all others are there and have had the time to fetch their image.
// What machines of other controllers heartbeat is not known here; the time since the start was decided stands for it.
bool Core::may_move_replica(const Job& job, std::uint32_t index, Timestamp now) const {
    if (job.open() > 0) return false;
    for (std::uint32_t i = 0; i < job.spec->taskCount; ++i) {
        if (i == index) continue;
        Task other = job.task(i, context_.state().chunk_size());
        if (!other.host) return false;
        const double fetchS = job.spec->imageGb / context_.state().fetch_rate(other.host->machineType);
        if (now.wall - static_cast<double>(other.atS) < fetchS + settings_.heartbeatIntervalS) return false;
        const HostTracker* tracker = hosts_.find(other.host->name);
        if (tracker && tracker->evict.count({job.id, i})) return false;
    }
    return true;
}

void Core::release_finished_tasks(state::TransactionBuilder& builder, Timestamp now) {
    for (const std::string& name : schedule_.due_hosts()) {
        HostRecord* record = context_.state().host(name);
        if (!record || record->placed.empty()) continue;
        if (!record->gone() && !record->removed() && !context_.led_here(record)) continue;
        auto placed = record->placed;
        HostTracker* n = hosts_.find(name);
        for (const TaskRef& ref : placed) {
            // Going away, by the cloud's notice or by our own mark: stop what can save.
            if (n && (n->preemptionAtS || record->leaves()) && !record->gone()) {
                if (ref.job->service()) {
                    if (may_move_replica(*ref.job, ref.index, now))
                        n->evict.try_emplace({ref.job->id, ref.index}, now.steady);
                } else if (ref.job->wide_gang()) {
                    Task s = ref.job->task(ref.index, context_.state().chunk_size());
                    if (ref.job->stopAttempt != s.attempt && ref.job->state == JobState::active)
                        builder.stop_attempt(*ref.job, s.attempt);
                } else {
                    n->evict.try_emplace({ref.job->id, ref.index}, now.steady);
                }
            }
            const TerminationProof proven = termination_proof(*record, ref);
            TerminationProof::Verdict p = proven.verdict;
            if (p == TerminationProof::none) continue;
            spdlog::debug("task {}/{} on {} is {}: {} (lease {})", ref.job->id, ref.index, name,
                          p == TerminationProof::done ? "done" : "gone", proven.reason,
                          n ? n->lease.describe(now.steady) : "not counted here");
            if (p == TerminationProof::done && ref.job->state != JobState::active) p = TerminationProof::gone;
            if (ref.job->service()) p = TerminationProof::gone;  // never done: it starts again elsewhere
            // A gang completes together: one task done shows it of those, too, whose machines were lost before they
            // could say so. Counted as open, they would wait for ever for the rest of a gang that is over.
            if (ref.job->gang() && ref.job->done > 0 && ref.job->state == JobState::active) p = TerminationProof::done;
            if (!builder.release_task(*ref.job, ref.index,
                                      p == TerminationProof::done ? TaskState::done : TaskState::open)) {
                schedule_.request_round();
                return;
            }
        }
    }
}

}  // namespace wellstair::controller
