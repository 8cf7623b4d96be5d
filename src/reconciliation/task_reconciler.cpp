#include "reconciliation/task_reconciler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::reconciliation {

using state::HostRecord;
using state::HostState;
using state::Job;
using state::JobState;
using state::Task;
using state::TaskRef;
using state::TaskState;
using state::TransactionBuilder;
using workers::HostTracker;
using workers::StatusSource;
using workers::TaskKey;
using Verdict = TerminationProof::Verdict;

namespace {

void log_reachability(const std::string& host, int missedAnswersBefore, const HostTracker& tracker) {
    const bool unreachableBefore = missedAnswersBefore >= workers::kMissedAnswersUntilUnreachable;
    if (!unreachableBefore && tracker.unreachable())
        spdlog::info("host {} is unreachable: its heartbeats arrive, but {} responses in a row did not reach it", host,
                     tracker.missedAnswers);
    if (unreachableBefore && !tracker.missedAnswers) spdlog::info("host {} receives responses again", host);
}

void log_agent_epoch(const std::string& host, std::uint64_t epochBefore, const HostTracker& tracker,
                     StatusSource source, Timestamp now) {
    if (epochBefore == 0 || tracker.agentEpoch == epochBefore) return;
    spdlog::info("host {} has begun agent epoch {} after {}, first seen in {}: lease {}", host, tracker.agentEpoch,
                 epochBefore, source == StatusSource::heartbeat ? "a heartbeat" : "the reply to a command",
                 tracker.lease.describe(now.steady));
}

void confirm_leadership(const std::string& host, HostTracker& tracker) {
    if (tracker.state == HostState::expired || tracker.state == HostState::silent)
        spdlog::info("host {} sends heartbeats again; it was silent or its lease had expired", host);
    tracker.state.transition_to(HostState::confirmed);
}

// The state of a task after its release.
TaskState released_state(const Job& job, Verdict proven) {
    // The tasks of a gang complete together, so one that is done proves it for those whose hosts were lost before they
    // could report it. If they were open, they would wait forever for a gang that has already ended.
    const bool active = job.state == JobState::active;
    if (job.gang() && job.done > 0 && active) return TaskState::done;
    if (job.service()) return TaskState::open;  // a service has no end: its replica starts again on another host
    return proven == Verdict::done && active ? TaskState::done : TaskState::open;
}

}  // namespace

TaskReconciler::TaskReconciler(leadership::ControllerContext& context,
                               const leadership::CancellationRegistry& cancellations, workers::HostTable& hosts,
                               JobHistories& histories, leadership::RoundSchedule& schedule,
                               DecisionStatistics& statistics)
    : context_(context),
      cancellations_(cancellations),
      hosts_(hosts),
      histories_(histories),
      schedule_(schedule),
      failureRecorder_(context, histories),
      prover_(context, cancellations, hosts),
      releaseLog_(statistics) {}

void TaskReconciler::apply_status(const wire::Heartbeat& heartbeat, StatusSource source, Timestamp now) {
    context_.set_now(now);
    HostRecord* host = context_.state().host(heartbeat.host);
    if (!context_.leads_host(host)) return;
    HostTracker& tracker = hosts_.track(heartbeat.host);
    if (!tracker.is_newer(heartbeat)) return;  // delayed in the network, or overtaken by a newer status
    const ObservedTasks tasksBefore = tracker.tasks;
    const int missedAnswersBefore = tracker.missedAnswers;
    const bool confirmedBefore = tracker.state == HostState::confirmed;
    const bool noticeBefore = tracker.preemptionAtS.has_value();
    const std::uint64_t epochBefore = tracker.agentEpoch;

    tracker.update(heartbeat, source, now.steady);
    log_agent_epoch(heartbeat.host, epochBefore, tracker, source, now);
    const bool noticeChanged = noticeBefore != tracker.preemptionAtS.has_value();
    if (tracker.missedAnswers != missedAnswersBefore) schedule_.request_plan();
    log_reachability(heartbeat.host, missedAnswersBefore, tracker);
    bool changed = apply_task_changes(*host, tracker, tasksBefore, now);
    changed = changed || noticeChanged || tasksBefore.size() != tracker.tasks.size();

    if (tracker.state == HostState::acquiring || tracker.state == HostState::released)
        tracker.state.transition_to(HostState::led);
    // The host has seen our fencing token and from now on refuses commands that carry an older one.
    const bool confirms = tracker.shows_leadership() && source == StatusSource::heartbeat;
    if (confirms && tracker.state != HostState::confirmed) confirm_leadership(heartbeat.host, tracker);
    if (changed || !confirmedBefore) {
        schedule_.request_round();
        schedule_.mark_due(*host);
    }
    if (!confirmedBefore || noticeChanged) schedule_.request_plan();
}

bool TaskReconciler::apply_task_changes(HostRecord& host, HostTracker& tracker, const ObservedTasks& before,
                                        Timestamp now) {
    bool changed = false;
    for (const auto& [key, observed] : tracker.tasks) {
        auto old = before.find(key);
        const bool known =
            old != before.end() && old->second.attempt == observed.attempt && old->second.phase == observed.phase;
        if (known) continue;
        changed = true;
        if (observed.phase == wire::TaskPhase::ended)
            failureRecorder_.record_task_end(tracker, host.name, key, observed, now);
        if (observed.phase == wire::TaskPhase::running || observed.phase == wire::TaskPhase::waiting)
            record_running(host, key, now);
    }
    return changed;
}

void TaskReconciler::record_running(HostRecord& host, const TaskKey& key, Timestamp now) {
    const Job* job = context_.state().job(key.first);
    if (!job) return;
    host.cache.mark_cached(job->spec->image, job->spec->imageGb, now.wall);
    spdlog::debug("task {}/{} of team {} runs on host {}, {:.1f} s after its submission", key.first, key.second,
                  job->spec->team, host.name, now.wall - static_cast<double>(job->submittedAtS));
}

void TaskReconciler::on_task_change(Job& job, std::uint32_t index, const Task& before, const Task& after) {
    schedule_.request_round();
    releaseLog_.forget({job.id, index});
    if (before.host && before.host != after.host)
        if (HostTracker* tracker = hosts_.find(before.host->name)) tracker->evictions.erase(TaskKey{job.id, index});
    if (job.service() && before.host && !after.host) histories_.record_lost_replica(job.id, context_.now());
    if (before.host) {
        schedule_.request_plan();
        schedule_.mark_due(*before.host);
        // A gang that has lost a task stops, so the hosts of its other tasks are due as well.
        if (!after.host && job.gang()) schedule_.mark_job_due(job);
    }
    if (after.host) schedule_.mark_due(*after.host);
}

void TaskReconciler::release_finished_tasks(TransactionBuilder& builder, Timestamp now) {
    for (const std::string& name : schedule_.due_hosts()) {
        HostRecord* host = context_.state().host(name);
        if (!host || host->placed.empty()) continue;
        if (!host->gone() && !host->removed() && !context_.leads_host(host)) continue;
        if (!release_tasks_of(*host, builder, now)) {
            schedule_.request_round();
            return;
        }
    }
}

bool TaskReconciler::release_tasks_of(HostRecord& host, TransactionBuilder& builder, Timestamp now) {
    HostTracker* tracker = hosts_.find(host.name);
    // Either the cloud has given notice, or this cluster returns the host.
    const bool returning = tracker && (tracker->preemptionAtS || host.returning()) && !host.gone();
    const std::vector<TaskRef> placed = host.placed;
    for (const TaskRef& ref : placed) {
        if (returning) stop_for_return(ref, *tracker, builder, now);
        const TerminationProof proof = prover_.prove(host, ref);
        if (proof.verdict == Verdict::none) continue;
        const std::uint32_t attempt = ref.job->task(ref.index, context_.state().chunk_size()).attempt;
        if (!builder.release_task(*ref.job, ref.index, released_state(*ref.job, proof.verdict))) return false;
        releaseLog_.record(ref, attempt, host, tracker, proof, now);
    }
    return true;
}

// The task is stopped with a grace period for a checkpoint if its job writes any. A gang of several tasks stops as a
// whole.
void TaskReconciler::stop_for_return(const TaskRef& ref, HostTracker& tracker, TransactionBuilder& builder,
                                     Timestamp now) {
    Job& job = *ref.job;
    if (job.multi_task_gang()) {
        const std::uint32_t attempt = job.task(ref.index, context_.state().chunk_size()).attempt;
        if (job.stopAttempt != attempt && job.state == JobState::active) builder.stop_attempt(job, attempt);
        return;
    }
    if (job.service() && !may_move_replica(job, ref.index, now)) return;
    tracker.evictions.try_emplace({job.id, ref.index}, now.steady);
}

// A replica may move when all others are placed and have had the time to fetch their images. The statuses of hosts led
// by other controllers are not known here, so the time since the placement is used instead.
bool TaskReconciler::may_move_replica(const Job& job, std::uint32_t index, Timestamp now) const {
    if (job.open() > 0) return false;
    const state::StateCache& state = context_.state();
    for (std::uint32_t i = 0; i < job.spec->taskCount; ++i) {
        if (i == index) continue;
        const Task other = job.task(i, state.chunk_size());
        if (!other.host) return false;
        const double fetchS = job.spec->imageGb / state.fetch_rate(other.host->machineType);
        const double placedForS = now.wall - static_cast<double>(other.placedAtS);
        if (placedForS < fetchS + context_.settings().heartbeatIntervalS) return false;
        const HostTracker* tracker = hosts_.find(other.host->name);
        if (tracker && tracker->evictions.count({job.id, i})) return false;
    }
    return true;
}

bool TaskReconciler::holds_service(const HostRecord& host) const {
    return std::any_of(host.placed.begin(), host.placed.end(),
                       [&](const TaskRef& ref) { return ref.job->service() && !cancellations_.cancelled(*ref.job); });
}

void TaskReconciler::finish_jobs(TransactionBuilder& builder, bool collectGarbage) {
    for (const auto& [order, job] : context_.state().queue()) {
        // Tasks of a gang that were lost before the first one was known to be done are in the open state.
        const bool gangDone = job->gang() && job->done > 0 && job->placed == 0;
        const bool done = job->state == JobState::active && (job->done == job->spec->taskCount || gangDone);
        const bool aborted = job->state == JobState::cancelled && job->placed == 0;
        if ((!done && !aborted) || !context_.responsible(*job)) continue;
        if (!builder.finish(*job, done ? JobState::done : JobState::aborted)) {
            schedule_.request_round();
            return;
        }
    }
    if (!collectGarbage) return;
    for (const auto& [path, revision] : context_.state().orphaned_chunks())
        if (!builder.garbage_collect(path, revision)) return;
}

}  // namespace wellstair::reconciliation
