// Placement: what the controller asks of LEM, and which of the planned starts it carries out.
#include <algorithm>
#include <cmath>

#include "controller/core.hpp"
#include "controller/estimates.hpp"
#include "controller/job_needs.hpp"

namespace wellstair::controller {

using model::HostNotes;
using model::HostRecord;
using model::HostState;
using model::Job;
using model::Step;
using model::StepRef;
using model::StepState;
using placement::Need;

namespace {

// What plans look at, as ratios; see Core::make_plan.
constexpr std::uint64_t kPromiseLooks = 4096;  // machines looked at for promises in one plan

}  // namespace

bool Core::usable(const HostRecord& h, Moment now) const {
    if (!h.registered() || h.leaves() || !view_->member_live(h.keeper)) return false;
    if (kept_here(&h)) {
        auto it = notes_.find(h.name);
        if (it == notes_.end()) return false;
        const HostNotes& n = it->second;
        return n.state == HostState::fenced && n.token == h.baton && !n.reclaimS && !n.needFence && !n.gaps &&
               now.steady >= n.quarantineUntilS;
    }
    if (auto it = hints_.find(h.keeper); it != hints_.end() && now.steady - it->second.atS < settings_.reportS) {
        if (it->second.hint.lists(h.name)) return false;
    }
    // Its keeper does not start there what our plan expects it to: count on it no more for a while.
    if (auto it = doubts_.find(h.name); it != doubts_.end()) {
        double age = now.steady - it->second;
        if (age > settings_.reportS / 6 && age < 4 * settings_.reportS) return false;
    }
    // Just registered: its keeper waits for the host to confirm the baton.
    return now.wall - h.registeredS > settings_.reportS / 2;
}

placement::Weights Core::weights(std::size_t machines) const {
    placement::Weights w;
    w.w = tunables_.leaWeight > 0 ? tunables_.leaWeight : static_cast<double>(machines);
    w.gpuCareS = settings_.reportS / 3;
    w.packCareS = settings_.reportS / 2;
    w.apartMachineS = 2 * settings_.reportS;
    w.apartHallS = settings_.reportS / 2;
    w.mode = tunables_.mode;
    return w;
}

std::uint32_t Core::hall_id(const std::string& hall) {
    auto it = std::find(halls_.begin(), halls_.end(), hall);
    if (it == halls_.end()) it = halls_.insert(halls_.end(), hall);
    return static_cast<std::uint32_t>(it - halls_.begin());
}

std::uint32_t Core::kind_id(const std::string& build, const std::string& hall, bool loaner) {
    for (std::size_t i = 0; i < kinds_.size(); ++i)
        if (kinds_[i].loaner == loaner && kinds_[i].build == build && kinds_[i].hall == hall)
            return static_cast<std::uint32_t>(i);
    kinds_.push_back({build, hall, loaner});
    return static_cast<std::uint32_t>(kinds_.size() - 1);
}

std::vector<placement::Machine> Core::machines(Moment now, std::vector<HostRecord*>& records) {
    std::vector<placement::Machine> out;
    std::vector<HostRecord*> hosts;
    for (const auto& [name, h] : view_->hosts())
        if (usable(*h, now) && view_->type(h->build)) hosts.push_back(h.get());
    std::sort(hosts.begin(), hosts.end(), [](auto* a, auto* b) { return a->name < b->name; });
    for (HostRecord* h : hosts) {
        const wire::MachineType& t = *view_->type(h->build);
        placement::Machine m;
        m.kind = kind_id(h->build, h->hall, h->loaner), m.hall = hall_id(h->hall);
        m.total = {t.cores, t.gpus, t.ramGb};
        m.cacheGb = t.cacheGb;
        m.fetchGbPerS = tunables_.fetchGbPerS > 0 ? tunables_.fetchGbPerS : view_->fetch_rate(h->build);
        m.cache = &h->cache;
        m.busy = !h->placed.empty();
        // Where two controllers see the caches differently, each would leave a task to the other's machine. A slight
        // preference for one's own makes both act instead, and the state service lets one of them win.
        if (!kept_here(h)) m.handicapS = settings_.reportS / 10;
        m.holds.reserve(h->placed.size() + 2);
        const HostNotes* n = kept_here(h) ? notes(h->name) : nullptr;
        for (const StepRef& ref : h->placed) {
            const wire::JobSpec& s = *ref.job->spec;
            Step step = ref.job->step(ref.index, view_->chunk_size());
            double until = step.atS + s.imageGb / m.fetchGbPerS + occupied_s(s);
            // Overdue by its estimate: expect a part of the estimate more.
            until = std::max(until, now.wall + std::max(settings_.reportS, s.expectS / 5));
            if (n && n->evict.count({ref.job->id, ref.index})) until = now.wall + s.flushS + settings_.reportS / 2;
            m.holds.push_back({now.wall - 1, until, need_of(s)});
        }
        out.push_back(std::move(m));
        records.push_back(h);
    }
    return out;
}

placement::Request Core::request_of(const Job& job) const {
    const wire::JobSpec& s = *job.spec;
    placement::Request r;
    r.need = need_of(s);
    r.image = s.bundle;
    r.imageGb = s.imageGb;
    r.expectS = std::max(occupied_s(s), 0.1);
    r.apart = s.service() && s.steps > 1;
    r.together = s.together;
    r.scatter = s.scatter;
    r.scatterCap = (s.steps + 1) / 2;
    r.allowed.reserve(kinds_.size());
    for (const Kind& k : kinds_) r.allowed.push_back(allows(s, k.build, k.hall, k.loaner));
    if ((s.together || s.scatter || r.apart) && job.placed > 0) {
        std::map<std::uint32_t, std::uint32_t> halls;
        for (const auto& chunk : job.chunks)
            for (const Step& step : chunk.steps)
                if (step.host)
                    ++halls[static_cast<std::uint32_t>(std::find(halls_.begin(), halls_.end(), step.host->hall) -
                                                       halls_.begin())];
        r.inHall.assign(halls.begin(), halls.end());
    }
    return r;
}

void Core::note_arrivals(Moment now) {
    for (const auto& [order, job] : view_->queue()) {
        if (!counted_.insert(job->id).second) continue;
        LaneNote& lane = lanes_[job->spec->lane];
        lane.last = *job->spec;
        lane.arrivals.emplace_back(now.steady - (now.wall - static_cast<double>(job->atS)), job->spec->steps);
    }
    if (counted_.size() > 4096) std::erase_if(counted_, [&](const std::string& id) { return !view_->job(id); });
    for (auto& [name, lane] : lanes_)
        while (!lane.arrivals.empty() && now.steady - lane.arrivals.front().first > 4 * settings_.leaseS)
            lane.arrivals.pop_front();
}

// Tasks like the lane's last ones, to see where the next would find room.
placement::Request Core::probe(const wire::JobSpec& spec, std::uint32_t count) const {
    Job job;
    job.spec = spec;
    placement::Request r = request_of(job);
    r.together = r.scatter = false;
    r.count = count;
    return r;
}

// The machines that replicas of the job are on, once for each.
std::vector<std::size_t> Core::machines_of(const Job& job, const std::vector<HostRecord*>& records) const {
    std::vector<std::size_t> out;
    for (const auto& chunk : job.chunks)
        for (const Step& step : chunk.steps) {
            if (!step.host) continue;
            auto at = std::find(records.begin(), records.end(), step.host);
            if (at != records.end()) out.push_back(static_cast<std::size_t>(at - records.begin()));
        }
    return out;
}

// When this controller may place tasks of a job, time of day. The tasks of a wide batch are left to the controller that
// is responsible for it, then to the others one after the other: placed by all at once, all but one would be refused by
// the state service and plan again.
double Core::turn(const Job& job) const {
    const wire::JobSpec& s = *job.spec;
    if (job.gang() || (s.steps == 1 && !job.service()) || responsible(job)) return 0;
    double after = 1;
    auto mine = mix(settings_.member, job.id);
    for (const auto& m : settings_.members)
        if (m.name != job.owner && mix(m.name, job.id) < mine) ++after;
    after *= settings_.reportS / 16;
    // All replicas of a service are placed by its responsible controller, on any machine; by others only if it does
    // not.
    if (job.service()) return open_since(job) + settings_.reportS + after;
    return static_cast<double>(job.atS) + 1 + after;
}

Core::Plan Core::make_plan(Moment now, bool act) {
    Plan plan;
    note_arrivals(now);
    auto list = machines(now, plan.records);
    std::size_t count = list.size();
    std::map<std::string, std::size_t> at;
    if (!reservations_.empty())
        for (std::size_t i = 0; i < count; ++i) at[plan.records[i]->name] = i;
    std::erase_if(reservations_, [&](const auto& e) { return e.second.untilS < now.wall || !view_->job(e.first); });
    placement::Planner planner(now.wall, std::move(list), weights(count));
    std::map<std::string, Need> room;  // per team, below its limit
    for (const app::Team& t : settings_.teams) {
        auto it = view_->teams().find(t.name);
        double cores = it == view_->teams().end() ? 0 : it->second.total.cores / 1000.0;
        double gpus = it == view_->teams().end() ? 0 : it->second.total.gpus / 1000.0;
        room[t.name] = {t.cpusMax > 0 ? t.cpusMax - cores : 1e12, t.gpusMax > 0 ? t.gpusMax - gpus : 1e12, 1e12};
    }
    for (const auto& [order, job] : view_->queue()) {
        const wire::JobSpec& s = *job->spec;
        double tasks = job->gang() || job->service() ? s.steps : 1;
        Urgent& u = urgent_[{s.crew, static_cast<int>(s.rank)}];
        u.cores = std::max(u.cores, s.cores * tasks);
        u.gpus = std::max(u.gpus, s.gpus * tasks);
        u.lastS = now.steady;
    }
    std::erase_if(urgent_, [&](const auto& e) { return now.steady - e.second.lastS > 10 * settings_.leaseS; });
    const std::map<std::string, Need> unused = room;  // before this plan's starts
    if (act) nextTurnS_ = 1e18;
    // Promises are made to the first of the queue only, as many as a plan may cost; behind them, tasks start where they
    // disturb no promise.
    std::set<std::string> spared;                            // lanes for which room has been left
    std::vector<std::pair<std::uint32_t, Need>> sparedRoom;  // what was free there: kind of machine, room
    if (act)
        std::erase_if(heldBack_, [&](const auto& e) {
            const Job* job = view_->job(e.first);
            return !job || job->placed + job->done > 0 || now.steady - e.second.seenS > settings_.reportS;
        });
    auto hold_back = [&](const Job& job) {
        if (act) heldBack_.try_emplace(job.id, HeldBack{now.steady, now.steady}).first->second.seenS = now.steady;
    };
    bool spare = std::none_of(heldBack_.begin(), heldBack_.end(),
                              [&](const auto& e) { return held_back_too_long(e.first, now); });
    std::vector<std::uint32_t> open;
    for (const Queued& q : ordered_queue(planner.machines(), now)) {
        Job& job = *q.job;
        const wire::JobSpec& s = *job.spec;
        // Before lower ranks take what is free, room is left for what higher ranks usually ask for within two reports:
        // making room only then costs a wind-down.
        for (const auto& [name, lane] : lanes_) {
            if (!spare || static_cast<int>(lane.last.rank) >= q.rank || q.waited || lane.arrivals.empty() ||
                !spared.insert(name).second)
                continue;
            double tasks = 0;
            for (const auto& [when, n] : lane.arrivals) tasks += n;
            double soon = std::ceil(tasks * 2 * settings_.reportS / (4 * settings_.leaseS));
            double most = std::max(8.0, static_cast<double>(count) / 16);
            Need one = need_of(lane.last);
            std::map<std::size_t, std::uint32_t> slots;
            for (const auto& slot :
                 planner.place_batch(probe(lane.last, static_cast<std::uint32_t>(std::min(soon, most))), true))
                ++slots[slot.machine];
            for (const auto& [machine, n] : slots) {
                Need free = placement::free_at(planner.machines()[machine], now.wall);
                for (std::uint32_t k = 0; k < n; ++k) free += one;
                sparedRoom.emplace_back(planner.machines()[machine].kind, free);
            }
        }
        if (auto it = jobNotes_.find(job.id); it != jobNotes_.end() && now.steady < it->second.notBeforeS) continue;
        bool gang = job.wide_gang();
        if (gang && gang_state(job) != model::GangState::open) continue;
        if (double mine = turn(job); act && mine > now.wall) {
            nextTurnS_ = std::min(nextTurnS_, mine);
            continue;
        }
        Need& teamRoom = room[s.crew];
        // Up to its team's limit, lower-ranked work leaves room for the next job of each higher rank that the team has
        // had of late: it would otherwise wait for the end of a task in spite of its rank.
        Need kept;
        for (const auto& [key, urgent] : urgent_)
            if (key.first == s.crew && key.second < q.rank && !q.waited && !held_back_too_long(job.id, now))
                kept.cores += urgent.cores, kept.gpus += urgent.gpus;
        std::uint32_t limit = placement::times(teamRoom - kept, {s.cores, s.gpus, 0});
        std::uint32_t most = gang ? s.steps : std::min(limit, 256u);
        std::uint32_t least = gang ? s.steps : 1;
        bool begun = job.placed + job.done > 0;
        if (limit < least) {
            auto all = unused.find(s.crew);
            if (!begun && all != unused.end() && placement::times(all->second, {s.cores, s.gpus, 0}) >= least)
                hold_back(job);
            continue;
        }
        open.clear();
        for (std::uint32_t c = 0; c < job.chunks.size() && open.size() < most; ++c) {
            const auto& chunk = job.chunks[c];
            std::uint32_t base = c * view_->chunk_size(), n = std::min(view_->chunk_size(), s.steps - base);
            if (!chunk.steps.empty() && chunk.done + chunk.placed == n) continue;
            for (std::uint32_t i = 0; i < n && open.size() < most; ++i)
                if (chunk.steps.empty() || chunk.steps[i].state == StepState::open) open.push_back(base + i);
        }
        placement::Request r = request_of(job);
        if (r.apart) r.onMachines = machines_of(job, plan.records);
        r.count = gang ? s.steps : static_cast<std::uint32_t>(open.size());
        if (r.count == 0) continue;
        bool startOnly = planner.looked() > kPromiseLooks && !q.waited;
        auto slots = gang ? planner.place_gang(r, startOnly) : planner.place_batch(r, startOnly);
        std::uint32_t started = 0;
        double soonest = 1e18;
        Plan::Start whole{&job, {}, 0};
        for (std::size_t k = 0; k < slots.size(); ++k) {
            if (slots[k].start > now.wall) {
                soonest = std::min(soonest, slots[k].start);
                continue;
            }
            std::uint32_t index = open[started++];
            HostRecord* h = plan.records[slots[k].machine];
            std::uint32_t attempt = job.step(index, view_->chunk_size()).attempt + 1;
            if (gang) {
                whole.tasks.emplace_back(index, h);
                whole.attempt = std::max(whole.attempt, attempt);
            } else {
                plan.starts.push_back({&job, {{index, h}}, attempt});
            }
        }
        if (gang && whole.tasks.size() == s.steps) plan.starts.push_back(std::move(whole));
        teamRoom = {teamRoom.cores - started * s.cores, teamRoom.gpus - started * s.gpus, teamRoom.ramGb};
        if (q.waited && started > 0 && act) spend_waited(waitedNextS_, q, started, now);
        if (!begun && !started && std::any_of(sparedRoom.begin(), sparedRoom.end(), [&](const auto& e) {
                return r.allowed[e.first] && r.need.fits(e.second);
            }))
            hold_back(job);
        if (started < r.count) plan.unmet.push_back({&job, r.count - started, q.beyond, soonest});
        if (auto it = reservations_.find(job.id); it != reservations_.end()) {
            if (started == r.count)
                reservations_.erase(it);
            else
                for (const std::string& host : it->second.hosts)
                    if (auto m = at.find(host); m != at.end())
                        planner.reserve(m->second, need_of(s), it->second.untilS);
        }
    }
    plan.machines = planner.machines();
    return plan;
}

void Core::place(Draft& draft, Moment now) {
    if (view_->queue().empty()) return;
    // Planning is the costly part of a round: only when something it depends on has changed, or time has passed.
    std::uint64_t newest = view_->queue().rbegin()->first;
    if (!planDue_ && newest == lastOrder_ && now.steady - plannedS_ < settings_.reportS / 6 && now.wall < nextTurnS_)
        return;
    planDue_ = false;
    lastOrder_ = newest;
    plannedS_ = now.steady;
    Plan plan = make_plan(now, true);
    preempt(plan, now);
    for (const auto& start : plan.starts) {
        bool wide = start.tasks.size() > 1;
        bool mine = !wide && kept_here(start.tasks.front().second);
        bool whole = wide || start.job->service();  // placed on machines of any keeper
        if (whole ? !mine && !responsible(*start.job) : !mine) {
            if (!whole && start.job->spec->steps == 1) {
                HostRecord* h = start.tasks.front().second;
                auto [it, fresh] = doubts_.try_emplace(h->name, now.steady);
                if (!fresh && now.steady - it->second > 4 * settings_.reportS) it->second = now.steady;
            }
            continue;
        }
        if (!draft.place(*start.job, start.tasks, start.attempt, static_cast<std::int64_t>(now.wall))) {
            dirty_ = planDue_ = true;
            return;
        }
    }
}

}  // namespace wellstair::controller
