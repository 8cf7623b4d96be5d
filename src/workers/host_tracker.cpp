#include "workers/host_tracker.hpp"

#include <algorithm>

namespace wellstair::workers {

void HostTracker::take(const wire::Heartbeat& r, StatusSource source, double nowS) {
    // A host that has our answer stays here, and its next message is numbered next. One that has not goes round the
    // other controllers first. Heartbeats that keep arriving must not hide that no answer takes effect.
    if (source == StatusSource::heartbeat && agentEpoch) {
        const bool confirms = r.fencingToken > seenToken && r.fencingToken == leaderToken;
        if (confirms || (r.agentEpoch == agentEpoch && r.sequence == sequence + 1))
            missedAnswers = 0;
        else if (r.agentEpoch == agentEpoch && ++missedAnswers == 2)
            unreachableSinceS = nowS;
    }
    agentEpoch = r.agentEpoch;
    sequence = r.sequence;
    seenToken = r.fencingToken;
    if (!r.address.empty()) address = r.address;
    if (r.preemptionNoticeS)
        preemptionAtS = nowS + *r.preemptionNoticeS;
    else
        preemptionAtS.reset();
    std::map<TaskKey, ObservedTask> now;
    for (const auto& t : r.tasks) {
        TaskKey key{t.job, t.index};
        auto it = now.find(key);
        // Two attempts of one task can be listed: the later one counts, the earlier is to be removed once it is gone.
        if (it != now.end() && it->second.attempt >= t.attempt) continue;
        ObservedTask s{t.attempt, t.phase, t.cause, t.checkpointed, nowS};
        if (auto old = tasks.find(key);
            old != tasks.end() && old->second.attempt == t.attempt && old->second.phase == t.phase)
            s.sinceS = old->second.sinceS;
        now[key] = s;
        if (auto st = starts.find(key); st != starts.end() && st->second.attempt == t.attempt) st->second.seen = true;
    }
    tasks = std::move(now);
    std::erase_if(stops, [&](auto& e) { return !tasks.count(e.first); });
}

void HostTracker::begin_leadership(std::uint64_t nextToken, double nowS) {
    if (leaderToken == nextToken) return;  // the cached state was read again: the commands under way are the same
    leaderToken = nextToken;
    unconfirmedS = nowS;
    lease.begin(nowS);
    starts.clear();
    stops.clear();
    needFence = false;
    if (state != state::HostState::acquiring) state.become(state::HostState::acquiring);
    state.become(state::HostState::led);
}

}  // namespace wellstair::workers
