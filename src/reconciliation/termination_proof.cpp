#include "reconciliation/termination_proof.hpp"

#include "reconciliation/stop_decision.hpp"

namespace wellstair::reconciliation {

using state::HostRecord;
using state::HostState;
using state::Job;
using state::Task;
using state::TaskRef;
using workers::HostTracker;
using workers::SentStart;
using workers::TaskKey;

namespace {

TerminationProof done(ProofKind kind) {
    return {TerminationProof::Verdict::done, kind};
}

TerminationProof gone(ProofKind kind) {
    return {TerminationProof::Verdict::gone, kind};
}

// Commands carry the agent epoch: the worker refuses one of an earlier epoch, however late it arrives.
bool started_in_earlier_epoch(const HostTracker& tracker, const TaskKey& key, const SentStart& sent) {
    return tracker.agentEpoch > sent.agentEpoch && !tracker.tasks.count(key);
}

}  // namespace

const char* to_string(ProofKind kind) {
    switch (kind) {
        case ProofKind::none:
            return "none";
        case ProofKind::machine_gone:
            return "the cloud has confirmed that the machine is gone";
        case ProofKind::lease_expired:
            return "the lease has expired";
        case ProofKind::earlier_agent_epoch:
            return "its start was sent in an earlier agent epoch";
        case ProofKind::earlier_fencing_token:
            return "placed under an earlier fencing token, and not reported under the current one";
        case ProofKind::never_sent:
            return "its start was never sent";
        case ProofKind::no_longer_reported:
            return "no longer reported";
        case ProofKind::not_reported_after_start:
            return "not reported in a heartbeat newer than its start";
        case ProofKind::reported_done:
            return "reported as done";
        case ProofKind::reported_ended:
            return "reported as ended";
    }
    return "none";
}

TerminationProof TerminationProver::prove(const HostRecord& host, const TaskRef& ref) {
    // The cloud has confirmed that the machine is gone. The host's record is removed only after that. A task that was
    // placed without comparing the shard's revision may name a removed host.
    if (host.gone() || host.removed())
        return context_.responsible(*ref.job) ? gone(ProofKind::machine_gone) : TerminationProof{};
    if (!context_.leads_host(&host)) return {};
    HostTracker* tracker = hosts_.find(host.name);
    if (!tracker) return {};
    if (tracker->state == HostState::expired) return gone(ProofKind::lease_expired);
    if (tracker->state == HostState::silent) return prove_by_agent_epoch(host, *tracker, ref);
    if (tracker->state != HostState::confirmed)
        return {};  // commands of an earlier leadership may still reach the host
    return prove_by_heartbeats(host, *tracker, ref);
}

TerminationProof TerminationProver::prove_by_agent_epoch(const HostRecord& host, const HostTracker& tracker,
                                                         const TaskRef& ref) const {
    const Task task = ref.job->task(ref.index, context_.state().chunk_size());
    const TaskKey key{ref.job->id, ref.index};
    if (const SentStart* sent = tracker.find_start({key, task.attempt})) {
        const bool refused = sent->inFlight == 0 && started_in_earlier_epoch(tracker, key, *sent);
        return refused ? gone(ProofKind::earlier_agent_epoch) : TerminationProof{};
    }
    const bool startedByEarlierLeader = task.fencingToken != host.fencingToken && tracker.shows_leadership();
    const bool absent = tracker.in_unanswered_epoch() && !tracker.tasks.count(key);
    return startedByEarlierLeader && absent ? gone(ProofKind::earlier_fencing_token) : TerminationProof{};
}

TerminationProof TerminationProver::prove_by_heartbeats(const HostRecord& host, HostTracker& tracker,
                                                        const TaskRef& ref) const {
    const Task task = ref.job->task(ref.index, context_.state().chunk_size());
    const TaskKey key{ref.job->id, ref.index};
    const SentStart* sent = tracker.find_start({key, task.attempt});
    if (sent && sent->inFlight > 0) return {};
    if (sent && started_in_earlier_epoch(tracker, key, *sent)) return gone(ProofKind::earlier_agent_epoch);
    if (sent && sent->unanswered >= tracker.seenToken) {
        // The start may still execute minutes later, unless the host confirms a higher fencing token first.
        tracker.needsFencing = true;
        return {};
    }
    const workers::ObservedTask* observed = tracker.find_observed({key, task.attempt});
    if (!observed) return prove_absent(host, tracker, *ref.job, task, sent);
    if (observed->phase != wire::TaskPhase::ended) return {};
    return observed->cause == wire::Cause::done ? done(ProofKind::reported_done) : gone(ProofKind::reported_ended);
}

TerminationProof TerminationProver::prove_absent(const HostRecord& host, const HostTracker& tracker, const Job& job,
                                                 const Task& task, const SentStart* sent) const {
    if (task.fencingToken != host.fencingToken) return gone(ProofKind::earlier_fencing_token);
    const bool mustStop = must_stop(cancellations_, job, task);
    if (!sent) return mustStop || host.returning() ? gone(ProofKind::never_sent) : TerminationProof{};
    if (sent->seen) return gone(ProofKind::no_longer_reported);
    // The start was sent in the response to a heartbeat, and a newer heartbeat does not list the task: the worker has
    // dropped the start and cannot execute it late.
    if (mustStop && sent->answered < tracker.lease.last_answered()) return gone(ProofKind::not_reported_after_start);
    return {};
}

}  // namespace wellstair::reconciliation
