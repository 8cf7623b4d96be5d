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

TerminationProof done(const char* reason) {
    return {TerminationProof::Verdict::done, reason};
}

TerminationProof gone(const char* reason) {
    return {TerminationProof::Verdict::gone, reason};
}

}  // namespace

TerminationProof TerminationProver::prove(const HostRecord& host, const TaskRef& ref) {
    // The cloud has confirmed it. A record is removed only after that, so a task that was placed without comparing the
    // shard may name a removed host.
    if (host.gone() || host.removed())
        return context_.responsible(*ref.job) ? gone("the cloud has the machine") : TerminationProof{};
    if (!context_.led_here(&host)) return {};
    HostTracker* tracker = hosts_.find(host.name);
    if (!tracker) return {};
    if (tracker->state == HostState::expired) return gone("the lease has expired");
    if (tracker->state != HostState::confirmed) return {};  // older commands may still reach the host
    return prove_by_heartbeats(host, *tracker, ref);
}

TerminationProof TerminationProver::prove_by_heartbeats(const HostRecord& host, HostTracker& tracker,
                                                        const TaskRef& ref) const {
    const Task task = ref.job->task(ref.index, context_.state().chunk_size());
    const TaskKey key{ref.job->id, ref.index};
    auto start = tracker.starts.find(key);
    const bool startSent = start != tracker.starts.end() && start->second.attempt == task.attempt;
    const SentStart* sent = startSent ? &start->second : nullptr;
    if (sent && sent->inFlight > 0) return {};
    // Commands name the agent epoch: what was sent in an earlier one is refused, however late it arrives.
    if (sent && tracker.agentEpoch > sent->agentEpoch && !tracker.tasks.count(key))
        return gone("started in an earlier agent epoch");
    if (sent && sent->unanswered >= host.fencingToken) {
        // This start may still execute minutes from now, unless the host confirms a higher fencing token.
        tracker.needsFencing = true;
        return {};
    }
    auto observed = tracker.tasks.find(key);
    if (observed == tracker.tasks.end() || observed->second.attempt != task.attempt)
        return prove_absent(host, tracker, *ref.job, task, sent);
    if (observed->second.phase != wire::TaskPhase::ended) return {};
    return observed->second.cause == wire::Cause::done ? done("heartbeat says done") : gone("heartbeat says ended");
}

TerminationProof TerminationProver::prove_absent(const HostRecord& host, const HostTracker& tracker, const Job& job,
                                                 const Task& task, const SentStart* sent) const {
    if (task.fencingToken != host.fencingToken)
        return gone("placed under an older fencing token, and absent under this one");
    const bool stops = must_stop(cancellations_, job, task);
    if (!sent) return stops || host.leaves() ? gone("never sent") : TerminationProof{};
    if (sent->seen) return gone("no longer in heartbeats");
    // Sent with the response to a heartbeat and absent from a newer heartbeat: the worker dropped it then and cannot
    // execute it late.
    if (stops && tracker.lease.sequence() > sent->answeredSequence) return gone("absent from a newer heartbeat");
    return {};
}

}  // namespace wellstair::reconciliation
