#include "model/host.hpp"

#include <algorithm>

namespace wellstair::model {

void HostNotes::take(const wire::Report& r, ReportSource source, double nowS) {
    // A host that has our answer stays here, and its next message is numbered next. One that has not goes round the
    // other controllers first. Reports that keep arriving must not hide that no answer takes effect.
    if (source == ReportSource::checkin && session) {
        const bool confirms = r.baton > token && r.baton == keptUnderToken;
        if (confirms || (r.tenure == session && r.tick == reportNumber + 1))
            gaps = 0;
        else if (r.tenure == session && ++gaps == 2)
            deafSinceS = nowS;
    }
    session = r.tenure;
    reportNumber = r.tick;
    token = r.baton;
    if (!r.address.empty()) address = r.address;
    if (r.reclaimS)
        reclaimS = nowS + *r.reclaimS;
    else
        reclaimS.reset();
    std::map<TaskKey, Seen> now;
    for (const auto& t : r.steps) {
        TaskKey key{t.job, t.index};
        auto it = now.find(key);
        // Two attempts of one task can be listed: the later one counts, the earlier is to be removed once it is gone.
        if (it != now.end() && it->second.attempt >= t.attempt) continue;
        Seen s{t.attempt, t.phase, t.cause, t.kept, nowS};
        if (auto old = tasks.find(key);
            old != tasks.end() && old->second.attempt == t.attempt && old->second.phase == t.phase)
            s.sinceS = old->second.sinceS;
        now[key] = s;
        if (auto st = starts.find(key); st != starts.end() && st->second.attempt == t.attempt) st->second.seen = true;
    }
    tasks = std::move(now);
    std::erase_if(halts, [&](auto& e) { return !tasks.count(e.first); });
}

void HostNotes::begin_keepership(std::uint64_t nextToken, double nowS) {
    if (keptUnderToken == nextToken)
        return;  // the picture of the store was read again: the commands under way are the same
    keptUnderToken = nextToken;
    unconfirmedS = nowS;
    lease.begin(nowS);
    starts.clear();
    halts.clear();
    needFence = false;
    if (state != HostState::claiming) state.become(HostState::claiming);
    state.become(HostState::kept);
}

}  // namespace wellstair::model
