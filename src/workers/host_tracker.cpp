#include "workers/host_tracker.hpp"

#include <algorithm>
#include <utility>

namespace wellstair::workers {

bool HostTracker::renew_lease(const wire::Heartbeat& heartbeat, double nowS) {
    if (!lease.renew({heartbeat.agentEpoch, heartbeat.sequence}, nowS)) return false;
    startsInResponse.clear();  // the worker no longer waits for the response to an earlier heartbeat
    return true;
}

const SentStart* HostTracker::find_start(const TaskAttempt& start) const {
    auto sent = starts.find(start.task);
    return sent != starts.end() && sent->second.attempt == start.attempt ? &sent->second : nullptr;
}

const ObservedTask* HostTracker::find_observed(const TaskAttempt& attempt) const {
    auto observed = tasks.find(attempt.task);
    return observed != tasks.end() && observed->second.attempt == attempt.attempt ? &observed->second : nullptr;
}

SentStart& HostTracker::find_or_add_start(const TaskAttempt& start) {
    SentStart& sent = starts[start.task];
    if (sent.attempt == start.attempt) return sent;
    sent = {};
    sent.attempt = start.attempt;
    sent.agentEpoch = agentEpoch;
    sent.answered = lease.last_answered();
    return sent;
}

void HostTracker::record_start_in_response(const TaskAttempt& start) {
    find_or_add_start(start).answered = lease.last_answered();
    startsInResponse.insert(start);
}

void HostTracker::record_direct_start(const TaskAttempt& start, double nowS) {
    SentStart& sent = find_or_add_start(start);
    sent.commandedS = nowS;
    ++sent.inFlight;
    directStartsUnder = fencingToken;
}

void HostTracker::record_direct_outcome(const TaskAttempt& start, bool answered, std::uint64_t fencingToken) {
    if (!find_start(start)) return;
    SentStart& sent = starts.at(start.task);
    if (sent.inFlight > 0) --sent.inFlight;
    if (!answered) sent.unanswered = std::max(sent.unanswered, fencingToken);
}

bool HostTracker::start_in_transit(const TaskAttempt& start) const {
    if (startsInResponse.count(start)) return true;
    const SentStart* sent = find_start(start);
    return sent && (sent->inFlight > 0 || sent->unanswered >= seenToken);
}

bool HostTracker::raise_fencing_token() {
    if (directRequestsInFlight > 0 || fencingToken >= tokens.last) return false;
    ++fencingToken;
    return true;
}

void HostTracker::update(const wire::Heartbeat& heartbeat, StatusSource source, double nowS) {
    if (source == StatusSource::heartbeat && agentEpoch) count_missed_answers(heartbeat, nowS);
    if (heartbeat.agentEpoch > agentEpoch) begin_agent_epoch(heartbeat.agentEpoch, nowS);
    sequence = heartbeat.sequence;
    seenToken = heartbeat.fencingToken;
    if (!heartbeat.address.empty()) address = heartbeat.address;
    if (heartbeat.preemptionNoticeS)
        preemptionAtS = nowS + *heartbeat.preemptionNoticeS;
    else
        preemptionAtS.reset();
    update_tasks(heartbeat, nowS);
}

// The lease that was taken as expired was that of an earlier epoch.
void HostTracker::begin_agent_epoch(std::uint64_t epoch, double nowS) {
    agentEpoch = epoch;
    agentEpochSeenS = nowS;
    lease.begin_agent_epoch(nowS);
    if (state == state::HostState::expired) state.transition_to(state::HostState::silent);
}

double HostTracker::since_latest_lease_end(double nowS, double leaseS) const {
    return std::min(lease.renewal_age(nowS), nowS - agentEpochSeenS) - leaseS;
}

// A host that receives our response sends its next heartbeat here, with the next sequence number. One that does not
// tries the other controllers first. Without this check, heartbeats that keep arriving would hide that no response
// takes effect.
void HostTracker::count_missed_answers(const wire::Heartbeat& heartbeat, double nowS) {
    const bool confirms = !shows_leadership() && tokens.contains(heartbeat.fencingToken);
    const bool sameEpoch = heartbeat.agentEpoch == agentEpoch;
    if (confirms || (sameEpoch && heartbeat.sequence == sequence + 1))
        missedAnswers = 0;
    else if (sameEpoch && ++missedAnswers == kMissedAnswersUntilUnreachable)
        unreachableSinceS = nowS;
}

void HostTracker::update_tasks(const wire::Heartbeat& heartbeat, double nowS) {
    std::map<TaskKey, ObservedTask> listed;
    for (const auto& task : heartbeat.tasks) {
        const TaskKey key{task.job, task.index};
        auto otherAttempt = listed.find(key);
        // Two attempts of one task can be listed. The later one counts; the earlier one is removed once it has ended.
        if (otherAttempt != listed.end() && otherAttempt->second.attempt >= task.attempt) continue;
        ObservedTask observed{task.attempt, task.phase, task.cause, task.checkpointed, nowS};
        auto before = tasks.find(key);
        if (before != tasks.end() && before->second.attempt == task.attempt && before->second.phase == task.phase)
            observed.sinceS = before->second.sinceS;
        listed[key] = observed;
        auto start = starts.find(key);
        if (start != starts.end() && start->second.attempt == task.attempt) start->second.seen = true;
    }
    tasks = std::move(listed);
    std::erase_if(stops, [&](const auto& entry) { return !tasks.count(entry.first); });
    std::erase_if(loggedStops,
                  [&](const TaskAttempt& stop) { return !tasks.count(stop.task) && !starts.count(stop.task); });
}

void HostTracker::begin_leadership(const state::FencingTokenRange& granted, double nowS) {
    if (tokens.last == granted.last) return;  // the cached state was only reloaded; the recorded commands still apply
    tokens = granted;
    fencingToken = granted.first;
    directStartsUnder = 0;
    responsesWithoutAcknowledgements = 0;
    unconfirmedS = nowS;
    lease.begin(nowS);
    starts.clear();
    stops.clear();
    loggedStops.clear();
    needsFencing = false;
    if (state != state::HostState::acquiring) state.transition_to(state::HostState::acquiring);
    state.transition_to(state::HostState::led);
}

}  // namespace wellstair::workers
