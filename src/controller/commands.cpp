// The commands to machines, by the answers to their reports and straight to their addresses.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

using model::GangState;
using model::HaltNote;
using model::HostNotes;
using model::HostRecord;
using model::HostState;
using model::MemberState;
using model::StartNote;
using model::Step;
using model::StepRef;
using model::TaskKey;

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
            n->token == h->baton && !h->leaves()) {
            auto st = n->starts.find(key);
            bool sent = st != n->starts.end() && st->second.attempt == s.attempt;
            if (sent && (st->second.seen || st->second.session != n->session)) continue;
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
            if (!note.attempt) note.session = n->session;
            note.attempt = o.attempt;
            note.answeredReport = n->lease.number();
            log_start(*h, o, "the answer to a report", now);
        }
    return all;
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

void Core::log_start(const HostRecord& h, const wire::Order& start, const char* sentBy, Moment now) const {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    const HostNotes& n = notes_.at(h.name);
    spdlog::debug("start {}/{} attempt {} on {} by {}: token {} confirmed in session {}, lease {}", start.job,
                  start.index, start.attempt, h.name, sentBy, h.baton, n.session, n.lease.describe(now.steady));
}

void Core::commands_sent(const std::string& host, const std::vector<wire::Order>& orders, Moment now) {
    HostNotes& n = notes_[host];
    for (const wire::Order& o : orders) {
        if (o.verb == wire::Verb::start) {
            StartNote& note = n.starts[{o.job, o.index}];
            if (note.attempt != o.attempt) note = {};
            if (!note.attempt) note.session = n.session, note.answeredReport = n.lease.number();
            note.attempt = o.attempt;
            note.commandedS = now.steady;
            if (const HostRecord* h = view_->host(host)) log_start(*h, o, "command", now);
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

}  // namespace wellstair::controller
