// The commands to machines, by the answers to their heartbeats and straight to their addresses.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"
#include "reconciliation/stop_decision.hpp"

namespace wellstair::controller {

using state::GangState;
using state::HostRecord;
using state::HostState;
using state::Task;
using state::TaskRef;
using workers::HostTracker;
using workers::SentStart;
using workers::SentStop;
using workers::TaskKey;

// All tasks placed there are there and may go on, and nothing else is there: nothing to do until something changes.
bool Core::in_sync(const HostRecord& h, const HostTracker& n) const {
    if (n.tasks.size() != h.placed.size()) return false;
    for (const TaskRef& ref : h.placed) {
        Task s = ref.job->task(ref.index, context_.state().chunk_size());
        TaskKey key{ref.job->id, ref.index};
        auto seen = n.tasks.find(key);
        if (seen == n.tasks.end() || seen->second.attempt != s.attempt ||
            seen->second.phase == wire::TaskPhase::ended || reconciliation::must_stop(cancellations_, *ref.job, s) ||
            n.evictions.count(key))
            return false;
    }
    return true;
}

std::vector<wire::Command> Core::commands_for(const std::string& host, bool byCommand, Timestamp now) {
    std::vector<wire::Command> acknowledgements, stops, starts;
    HostRecord* h = context_.state().host(host);
    HostTracker* n = hosts_.find(host);
    if (!context_.led_here(h) || !n) return {};
    std::map<TaskKey, std::uint32_t> placedHere;
    for (const TaskRef& ref : h->placed) {
        Task s = ref.job->task(ref.index, context_.state().chunk_size());
        TaskKey key{ref.job->id, ref.index};
        placedHere[key] = s.attempt;
        auto seen = n->tasks.find(key);
        bool there = seen != n->tasks.end() && seen->second.attempt == s.attempt;
        bool stop = reconciliation::must_stop(cancellations_, *ref.job, s) || n->evictions.count(key);
        if (there && seen->second.phase != wire::TaskPhase::ended && stop) {
            SentStop& note = n->stops[key];
            bool first = note.attempt != s.attempt;
            if (first) note = {s.attempt, now.steady};
            bool useless = cancellations_.cancelled(*ref.job) || ref.job->spec->checkpointIntervalS <= 0;
            bool orderly = !useless && (!ref.job->wide_gang() || ref.job->gang_state() != GangState::broken);
            double gracePeriod = orderly ? ref.job->spec->checkpointWriteS + settings_.heartbeatIntervalS : 0;
            if (seen->second.phase == wire::TaskPhase::checkpointing && orderly) continue;
            stops.push_back({wire::CommandType::stop, key.first, key.second, s.attempt, gracePeriod});
        }
        if (!there && !stop && s.fencingToken == h->fencingToken && n->state == HostState::confirmed &&
            context_.serving() && n->seenToken == h->fencingToken && !h->leaves()) {
            auto st = n->starts.find(key);
            bool sent = st != n->starts.end() && st->second.attempt == s.attempt;
            if (sent && (st->second.seen || st->second.agentEpoch != n->agentEpoch)) continue;
            // By command only once in a while: the heartbeat's answer repeats it without any risk of coming late.
            if (byCommand && sent && now.steady - st->second.commandedS < settings_.heartbeatIntervalS / 2) continue;
            if (byCommand && sent && (st->second.inFlight || st->second.unanswered)) continue;
            starts.push_back({wire::CommandType::start, key.first, key.second, s.attempt, 0});
        }
    }
    for (const auto& [key, seen] : n->tasks) {
        auto p = placedHere.find(key);
        if (p != placedHere.end() && p->second == seen.attempt) continue;
        // Not, or no longer, placed here: the state service has its result, or never knew of it.
        if (seen.phase == wire::TaskPhase::ended) {
            auto st = n->starts.find(key);
            bool late = st != n->starts.end() && st->second.attempt == seen.attempt &&
                        (st->second.inFlight || st->second.unanswered >= h->fencingToken);
            if (!late)
                acknowledgements.push_back({wire::CommandType::acknowledge, key.first, key.second, seen.attempt, 0});
        } else {
            stops.push_back({wire::CommandType::stop, key.first, key.second, seen.attempt, 0});
        }
    }
    std::vector<wire::Command> all = std::move(acknowledgements);
    all.insert(all.end(), stops.begin(), stops.end());
    all.insert(all.end(), starts.begin(), starts.end());
    if (!byCommand)
        for (const wire::Command& o : starts) {
            SentStart& note = n->starts[{o.job, o.index}];
            if (note.attempt != o.attempt) note = {};
            if (!note.attempt) note.agentEpoch = n->agentEpoch;
            note.attempt = o.attempt;
            note.answeredSequence = n->lease.sequence();
            log_start(*h, o, "the answer to a heartbeat", now);
        }
    return all;
}

std::vector<std::pair<std::string, std::vector<wire::Command>>> Core::commands_due(Timestamp now) {
    std::vector<std::pair<std::string, std::vector<wire::Command>>> out;
    if (!context_.state_ready()) return out;
    const bool live = context_.serving();
    for (auto it = schedule_.due_hosts().begin(); it != schedule_.due_hosts().end();) {
        const std::string name = *it;
        HostRecord* h = context_.state().host(name);
        HostTracker* n = hosts_.find(name);
        if (!context_.led_here(h) || !n || h->gone()) {
            // The tasks of a machine that is gone stay due until each has been cleared by whoever is responsible.
            it = h && (h->gone() || h->removed()) && !h->placed.empty() ? std::next(it)
                                                                        : schedule_.due_hosts().erase(it);
            continue;
        }
        if (in_sync(*h, *n) && !n->needsFencing) {
            it = schedule_.due_hosts().erase(it);
            continue;
        }
        ++it;
        if (n->address.empty()) continue;
        auto all = commands_for(name, true, now);
        // The end of a cancelled task waits for nothing: no store, no fresh heartbeat, no confirmed fencing token. A
        // machine that obeys a newer leader refuses it, one that hangs finds it when it goes on. Everything else needs
        // all three.
        if (!live || n->state != HostState::confirmed || n->missedAnswers) {
            std::erase_if(all, [&](const wire::Command& o) {
                return o.type != wire::CommandType::stop || !cancellations_.cancelled(o.job);
            });
            add_blind_stops(*h, *n, all);
        }
        bool urgent = false;
        for (const wire::Command& o : all) {
            urgent = urgent || o.type == wire::CommandType::start;
            if (o.type != wire::CommandType::stop) continue;
            SentStop& note = n->stops[{o.job, o.index}];
            urgent = urgent || now.steady - note.sentS > settings_.heartbeatIntervalS || note.sentS == now.steady ||
                     note.attempt != o.attempt;
            note.attempt = o.attempt;
        }
        if (urgent) out.emplace_back(name, std::move(all));
    }
    return out;
}

void Core::log_start(const HostRecord& h, const wire::Command& start, const char* sentBy, Timestamp now) const {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    const HostTracker& n = *hosts_.find(h.name);
    spdlog::debug("start {}/{} attempt {} on {} by {}: fencing token {} confirmed in agent epoch {}, lease {}",
                  start.job, start.index, start.attempt, h.name, sentBy, h.fencingToken, n.agentEpoch,
                  n.lease.describe(now.steady));
}

void Core::on_commands_sent(const std::string& host, const std::vector<wire::Command>& commands, Timestamp now) {
    HostTracker& n = hosts_.track(host);
    for (const wire::Command& o : commands) {
        if (o.type == wire::CommandType::start) {
            SentStart& note = n.starts[{o.job, o.index}];
            if (note.attempt != o.attempt) note = {};
            if (!note.attempt) note.agentEpoch = n.agentEpoch, note.answeredSequence = n.lease.sequence();
            note.attempt = o.attempt;
            note.commandedS = now.steady;
            if (const HostRecord* h = context_.state().host(host)) log_start(*h, o, "command", now);
            ++note.inFlight;
        } else if (o.type == wire::CommandType::stop) {
            n.stops[{o.job, o.index}] = {o.attempt, now.steady - 1e-3};
        }
    }
}

void Core::on_commands_answered(const std::string& host, const std::vector<wire::Command>& commands, bool answered,
                                std::uint64_t fencingToken) {
    HostTracker* tracker = hosts_.find(host);
    if (!tracker) return;
    for (const wire::Command& o : commands) {
        if (o.type != wire::CommandType::start) continue;
        auto st = tracker->starts.find({o.job, o.index});
        if (st == tracker->starts.end() || st->second.attempt != o.attempt) continue;
        if (st->second.inFlight > 0) --st->second.inFlight;
        if (!answered) st->second.unanswered = std::max(st->second.unanswered, fencingToken);
    }
    schedule_.due_hosts().insert(host);
    schedule_.request_round();
}

// Of a cancelled task whose start has been sent and which no heartbeat shows: the start may reach the machine still,
// and the stop command behind it then ends the task at once.
void Core::add_blind_stops(const HostRecord& h, const HostTracker& n, std::vector<wire::Command>& all) const {
    for (const TaskRef& ref : h.placed) {
        if (!cancellations_.cancelled(*ref.job)) continue;
        TaskKey key{ref.job->id, ref.index};
        std::uint32_t attempt = ref.job->task(ref.index, context_.state().chunk_size()).attempt;
        auto sent = n.starts.find(key);
        if (sent == n.starts.end() || sent->second.attempt != attempt || sent->second.seen || n.tasks.count(key))
            continue;
        all.push_back({wire::CommandType::stop, key.first, key.second, attempt, 0});
    }
}

}  // namespace wellstair::controller
