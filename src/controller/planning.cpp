// Placement and renting: what the controller asks of LEM and of the cloud.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "controller/core.hpp"
#include "controller/estimates.hpp"

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

Need need_of(const wire::JobSpec& s) {
    return {s.cores, s.gpus, s.ramGb};
}

std::string offer_key(const RentalOrder& o) {
    return o.build + "/" + o.hall + (o.loaner ? "/spot" : "/ordinary");
}

// What plans look at, as ratios; see Core::make_plan.
constexpr std::uint64_t kPromiseLooks = 4096;  // machines looked at for promises in one plan

// Report intervals after which a silent machine that holds a replica is returned: the cloud's word is a sooner proof
// than the lease. A machine that is well is never quiet for as long.
constexpr double kServiceSilentReports = 2;

bool allows(const wire::JobSpec& s, const std::string& build, const std::string& hall, bool loaner) {
    if (s.builds && std::find(s.builds->begin(), s.builds->end(), build) == s.builds->end()) return false;
    if (s.hall && *s.hall != hall) return false;
    return !loaner || s.loaners;
}

}  // namespace

bool Core::usable(const HostRecord& h, Moment now) const {
    if (!h.registered() || h.leaves() || !view_->member_live(h.keeper)) return false;
    if (kept_here(&h)) {
        auto it = notes_.find(h.name);
        if (it == notes_.end()) return false;
        const HostNotes& n = it->second;
        return n.state == HostState::fenced && n.baton == h.baton && !n.reclaimS && !n.needFence && !n.gaps &&
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

// Makes room for work of higher rank, and for work within its team's guarantee at the cost of what other teams run
// beyond theirs; in no other case. All controllers look at all machines and each stops only what runs on its own, so
// that they choose alike without a word; the room is kept for its job until the last of it is free. A wide gang gets
// all its places at once or nobody is stopped for it.
void Core::preempt(const Plan& plan, Moment now) {
    constexpr int kJobs = 8;  // in one plan: what is stopped for them is seen by the next
    if (plan.unmet.empty()) return;
    std::set<const Job*> beyond = beyond_guarantee();
    std::set<std::pair<const Job*, std::uint32_t>> taken;
    struct Place {
        std::size_t machine;
        double cost;
        std::vector<StepRef> victims;
    };
    struct Victim {
        StepRef ref;
        double cost;
    };
    std::vector<Victim> victims;
    int jobs = 0;
    for (const auto& u : plan.unmet) {
        const wire::JobSpec& s = *u.job->spec;
        bool gang = u.job->wide_gang();
        if (u.soonest - now.wall < settings_.reportS || reservations_.count(u.job->id)) continue;
        if (++jobs > kJobs) break;
        Need need = need_of(s);
        placement::Request request = request_of(*u.job);
        std::vector<Place> places;
        for (std::size_t i = 0; i < plan.machines.size(); ++i) {
            const auto& m = plan.machines[i];
            if (!request.allowed[m.kind] || !need.fits(m.total)) continue;
            victims.clear();
            for (const StepRef& ref : plan.records[i]->placed) {
                const wire::JobSpec& v = *ref.job->spec;
                bool lower = v.rank > s.rank;
                bool borrowed = !u.beyond && v.crew != s.crew && beyond.count(ref.job) && !v.service();
                if (!lower && !borrowed) continue;
                if (ref.job == u.job || ref.job->wide_gang() || taken.count({ref.job, ref.index})) continue;
                double ran = now.wall - ref.job->step(ref.index, view_->chunk_size()).atS;
                double lost = v.service() ? v.imageGb / m.fetchGbPerS : v.snapshotS > 0 ? v.flushS : ran;
                double left = occupied_s(v) - ran;
                victims.push_back({ref, lost + (left < settings_.reportS ? v.expectS : 0) + settings_.reportS});
            }
            Need free = placement::free_at(m, now.wall);
            std::uint32_t fit = gang ? placement::times(free, need) : 0;
            if (victims.empty() && !fit) continue;
            std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
            double cached = m.cache ? m.cache->ready_at(s.bundle, now.wall) : -1;
            double fetch = cached < 0 ? s.imageGb / m.fetchGbPerS : std::max(0.0, cached - now.wall);
            std::size_t next = 0;
            for (std::uint32_t n = 0; n < u.tasks; ++n) {
                Place p{i, fetch, {}};
                while (!need.fits(free) && next < victims.size()) {
                    free += need_of(*victims[next].ref.job->spec);
                    p.cost += victims[next].cost;
                    p.victims.push_back(victims[next++].ref);
                }
                if (!need.fits(free)) break;
                free = free - need;
                if (gang || !p.victims.empty()) places.push_back(std::move(p));
            }
        }
        std::stable_sort(places.begin(), places.end(), [](const Place& a, const Place& b) { return a.cost < b.cost; });
        std::vector<Place> chosen;
        if (gang && s.together) {
            std::map<std::uint32_t, std::vector<Place*>> byHall;
            for (Place& p : places) {
                auto& list = byHall[plan.machines[p.machine].hall];
                list.push_back(&p);
                if (list.size() == u.tasks) {  // the first zone with enough, cheapest first
                    for (Place* q : list) chosen.push_back(std::move(*q));
                    break;
                }
            }
        } else {
            for (Place& p : places)
                if (chosen.size() < u.tasks) chosen.push_back(std::move(p));
            if (gang && chosen.size() < u.tasks) chosen.clear();
        }
        // Worth it only if the promised start is later than what the victims lose and the fetch together.
        while (!chosen.empty() && now.wall + chosen.back().cost > u.soonest) {
            if (gang)
                chosen.clear();
            else
                chosen.pop_back();
        }
        if (chosen.empty()) continue;
        Reservation kept{{}, now.wall};
        for (const Place& p : chosen) {
            HostRecord* h = plan.records[p.machine];
            kept.hosts.push_back(h->name);
            for (const StepRef& v : p.victims) {
                taken.insert({v.job, v.index});
                kept.untilS = std::max(kept.untilS, now.wall + v.job->spec->flushS + 2 * settings_.reportS);
                if (!kept_here(h)) continue;
                HostNotes& notes = notes_[h->name];
                if (notes.evict.try_emplace({v.job->id, v.index}, now.steady).second) {
                    spdlog::info("stop {}/{} on {} to make room for {}", v.job->id, v.index, h->name, u.job->id);
                    mark(*h);
                }
            }
        }
        reservations_[u.job->id] = std::move(kept);
    }
}

// ---------------------------------------------------------------- cloud

void Core::set_machines(std::vector<wire::Machine> machines, Moment now) {
    cloud_.machines = std::move(machines);
    cloud_.atS = now.steady;
    for (const auto& m : cloud_.machines) {
        auto it = coming_.find(m.ref);
        if (it != coming_.end() && m.phase == "failed") coming_.erase(it);
    }
}

void Core::rented(const RentalOrder& order, const std::vector<std::string>& hosts, Moment now) {
    for (const auto& h : hosts) coming_[h] = {order, now.steady};
    if (!hosts.empty()) refusals_.erase(offer_key(order));
    if (hosts.size() < order.number) refused(order, now);
}

void Core::refused(const RentalOrder& order, Moment now) {
    Refusal& r = refusals_[offer_key(order)];
    r.untilS = now.steady + settings_.leaseS;
}

// What lacks room, and which machines nobody needs.
void Core::plan_rentals(Moment now) {
    now_ = now;
    wanted_.clear();
    if (!holds_cloud_role() || view_->types().empty()) return;
    Plan plan = make_plan(now, false);
    for (const auto& u : plan.unmet) wanted_.emplace_back(*u.job->spec, u.tasks);
    // Ahead of demand: what usually arrives while a machine boots.
    placement::Planner ahead(now.wall, std::move(plan.machines), weights(plan.records.size()));
    for (auto& [name, lane] : lanes_) {
        double window = 4 * settings_.leaseS;
        double tasks = 0;
        for (const auto& [at, n] : lane.arrivals) tasks += n;
        double boot = 0;
        for (const auto& [sku, t] : view_->types())
            if (need_of(lane.last).fits({t.cores, t.gpus, t.ramGb})) boot = std::max(boot, t.startupS);
        auto target = static_cast<std::uint32_t>(std::ceil(tunables_.headroom * tasks * boot / window));
        const app::Team* team = settings_.team(lane.last.crew);
        if (team && team->gpusMax > 0 && lane.last.gpus > 0)
            target = std::min(target, static_cast<std::uint32_t>(team->gpusMax / lane.last.gpus));
        if (!target) continue;
        auto slots = ahead.place_batch(probe(lane.last, target), true);
        if (slots.size() < target) wanted_.emplace_back(lane.last, target - static_cast<std::uint32_t>(slots.size()));
    }
    // Machines that neither work nor headroom needs are surplus; the clock of each starts when it becomes so.
    std::map<std::string, double> idle;
    for (std::size_t i = 0; i < plan.records.size(); ++i) {
        const std::string& name = plan.records[i]->name;
        if (ahead.machines()[i].holds.empty()) idle[name] = idleSince_.count(name) ? idleSince_[name] : now.steady;
    }
    idleSince_ = std::move(idle);
}

std::vector<RentalOrder> Core::rentals(Moment now) {
    std::vector<RentalOrder> out;
    if (!holds_cloud_role() || view_->types().empty()) return out;
    std::erase_if(coming_, [&](auto& e) {
        HostRecord* h = view_->host(e.first);
        const auto* t = view_->type(e.second.what.build);
        return (h && (h->registered() || h->leaves())) ||
               now.steady - e.second.sinceS > 4 * (t ? t->startupS : 60) + 30;
    });
    std::vector<placement::Offer> offers;
    std::vector<std::uint32_t> coming;
    std::vector<RentalOrder> kinds;
    std::map<std::string, std::uint32_t> onTheWay;
    for (const auto& [name, c] : coming_) ++onTheWay[offer_key(c.what)];
    for (const auto& [sku, t] : view_->types())
        for (const std::string& hall : t.halls)
            for (bool loaner : {false, true}) {
                RentalOrder kind{sku, hall, loaner, 0};
                auto r = refusals_.find(offer_key(kind));
                offers.push_back({sku,
                                  hall,
                                  loaner,
                                  {t.cores, t.gpus, t.ramGb},
                                  loaner ? t.lowPrice : t.rate,
                                  t.startupS,
                                  r != refusals_.end() && now.steady < r->second.untilS});
                coming.push_back(onTheWay[offer_key(kind)]);
                kinds.push_back(kind);
            }
    std::vector<placement::Want> wants;
    for (const auto& [s, count] : wanted_) {
        placement::Want w{need_of(s), count, {}};
        for (const auto& o : offers) w.allowed.push_back(allows(s, o.build, o.hall, o.loaner));
        wants.push_back(std::move(w));
    }
    // In one go, at most what a few calls bring, or a sixteenth of the machines there are.
    auto most = static_cast<std::uint32_t>(std::max<std::size_t>(20, view_->hosts().size() / 16));
    for (const auto& r : placement::choose_rentals(offers, wants, coming, most)) {
        RentalOrder o = kinds[r.offer];
        o.number = std::min(r.number, 50u);
        out.push_back(o);
    }
    return out;
}

// A machine that hangs does nothing and may go on with what it has: whether its worker counts the lease meanwhile is
// not ours to know. If it has a cancelled task, the cloud's word has to come before cancel_s is over. Half of that is
// longer than a machine that is well is ever quiet, and leaves the cloud's role to change hands and the call to be
// repeated.
bool Core::holds_cancelled(const HostRecord& h, const HostNotes& n, Moment now) const {
    constexpr double kPart = 0.55;
    // Back from an outage, all machines have been quiet for as long: they are given time to report.
    if (now.steady - liveSinceS_ < 3 * settings_.reportS) return false;
    if (n.state == HostState::silent || n.state == HostState::expired)
        // Cancelled after its last report, or it would have ended the task on the answer to that.
        return now.steady - n.lastReportS > kPart * settings_.cancelS &&
               std::any_of(n.tasks.begin(), n.tasks.end(), [&](const auto& t) {
                   return t.second.phase != wire::TaskPhase::ended && cancelled(t.first.first);
               });
    // Taken over from another keeper, and it has not been heard here: what it holds is known by the store alone.
    return n.state == HostState::kept && now.steady - n.unconfirmedS > 2 * settings_.reportS &&
           std::any_of(h.placed.begin(), h.placed.end(), [&](const StepRef& ref) {
               return ref.job->state == model::JobState::withdrawn &&
                      now.wall - static_cast<double>(ref.job->withdrawnAtS) > kPart * settings_.cancelS;
           });
}

void Core::propose_returns(Draft& draft, Moment now) {
    if (now.steady - returnsS_ < settings_.reportS / 4) return;
    returnsS_ = now.steady;
    auto at = static_cast<std::int64_t>(now.wall);
    // What is lost has nothing to save: it is returned at once.
    auto lostAt = static_cast<std::int64_t>(now.wall - settings_.leaseS);
    // Since when a gang has surely noticed that a task's machine is gone.
    double noticed = kSilentReports * settings_.reportS + settings_.gangPeerS;
    std::map<std::string, std::pair<std::size_t, std::size_t>> quietOf;  // by zone: how many, of how many
    std::size_t quietHere = 0, allHere = 0;
    for (auto& [name, n] : notes_) {
        HostRecord* h = view_->host(name);
        if (!kept_here(h) || h->leaves()) continue;
        auto& [quiet, all] = quietOf[h->hall];
        quiet += silent(n, now);
        quietHere += silent(n, now);
        ++all, ++allHere;
    }
    for (auto& [name, n] : notes_) {
        HostRecord* h = view_->host(name);
        if (!kept_here(h) || h->leaves()) continue;
        bool faulty = n.failedJobs.size() >= 2 && n.failures >= 3;
        bool confirmed = n.state == HostState::fenced || n.state == HostState::silent;
        // Expired, or never confirmed and silent since: only the cloud's word frees what the latter may hold.
        bool lost = !confirmed && n.lastReportS > 0 && now.steady - n.lastReportS > 2 * settings_.leaseS;
        // It reports and hears nobody: no work can be sent there, and reports alone prove nothing of what it holds.
        bool deaf = (n.deaf() && now.steady - n.deafSinceS > 2 * settings_.leaseS) ||
                    (n.state == HostState::kept && now.steady - n.unconfirmedS > 3 * settings_.leaseS);
        // A machine that has been silent for so long has broken the gangs that had tasks there, and their next attempt
        // waits for the proof that these are gone. The cloud's word comes sooner than the end of the lease. Where much
        // of a zone is silent, it is rather the network, or a controller without the store still answers these
        // machines.
        const auto& [quiet, all] = quietOf[h->hall];
        bool holdsUp =
            now.steady - n.lastReportS > noticed && 3 * quiet <= all &&
            std::any_of(h->placed.begin(), h->placed.end(), [](const StepRef& ref) { return ref.job->wide_gang(); });
        // Where half of all is silent, it is rather this controller that is cut off, and others take them over.
        const bool cutOff = 2 * quietHere >= allHere;
        bool cancelled = !cutOff && holds_cancelled(*h, n, now);
        bool service = !cutOff && 3 * quiet <= all && n.state == HostState::silent &&
                       now.steady - n.lastReportS > kServiceSilentReports * settings_.reportS && holds_service(*h);
        if (faulty || lost || deaf || holdsUp || cancelled || service) {
            bool saves = (faulty || deaf) && !cancelled;
            const char* why = faulty    ? "faulty"
                              : lost    ? "lost"
                              : deaf    ? "deaf"
                              : holdsUp ? "silent, holds up a gang"
                              : service ? "silent, holds a replica"
                                        : "silent, holds a cancelled task";
            if (!draft.mark_return(name, h->hall, saves ? at : lostAt, false, why)) return;
        }
    }
    if (!holds_cloud_role()) return;
    std::vector<HostRecord*> forget;
    for (const auto& [name, h] : view_->hosts()) {
        if (!h->range) continue;
        if (h->gone() && h->placed.empty() && now.wall - h->leavingAtS > 3 * settings_.leaseS)
            forget.push_back(h.get());
        if (h->leaves() || !h->registered()) continue;
        // Nobody keeps it: either it finds another controller soon, or it is dead or cut off.
        auto [it, fresh] = strangeSince_.try_emplace(name, now.steady);
        if (!orphan(*h))
            strangeSince_.erase(it);
        else if (now.steady - it->second > 1.5 * settings_.leaseS)
            draft.mark_return(name, h->hall, at, false, "orphan");
        if (auto idle = idleSince_.find(name); idle != idleSince_.end() && h->placed.empty()) {
            const auto* t = view_->type(h->build);
            if (t && now.steady - idle->second > std::max(6 * settings_.leaseS, 3 * t->startupS))
                draft.mark_return(name, h->hall, at, false, "surplus");
        }
    }
    for (HostRecord* h : forget)
        if (!draft.forget_host(*h)) return;
    for (const auto& m : cloud_.machines) {
        HostRecord* h = view_->host(m.ref);
        if (h && h->leaves()) continue;
        const auto* t = view_->type(m.build);
        double boot = t ? t->startupS : 60;
        bool known = h && h->registered();
        bool stuck = m.phase != "running" && !known && m.heldS > 4 * boot + settings_.listLagS;
        bool mute = m.phase == "running" && !known && m.heldS > 6 * boot + 3 * settings_.leaseS;
        if (m.phase == "failed" || stuck || mute)
            if (!draft.mark_return(m.ref, m.hall, at, false, m.phase == "failed" ? "failed" : "stuck")) return;
    }
}

std::vector<std::string> Core::returns_due(Moment now) {
    std::vector<std::string> out;
    if (!holds_cloud_role()) return out;
    for (const auto& [name, h] : view_->hosts()) {
        if (h->leaving != model::Leaving::marked) continue;
        // What runs there gets the time to save; a machine that is lost has nothing to save.
        if (h->placed.empty() || now.wall - h->leavingAtS > settings_.leaseS / 2) out.push_back(name);
        if (out.size() == 100) break;
    }
    return out;
}

void Core::mark_gone(Draft& draft, const std::vector<std::string>& hosts, Moment now) {
    for (const std::string& name : hosts) {
        HostRecord* h = view_->host(name);
        if (h && h->leaving == model::Leaving::marked)
            draft.mark_return(name, h->hall, static_cast<std::int64_t>(now.wall), true, "returned");
    }
}

}  // namespace wellstair::controller
