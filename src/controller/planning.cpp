// Placement and renting: what the controller asks of LEM and of the cloud.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "controller/core.hpp"

namespace wellstair::controller {

using model::HostNotes;
using model::HostRecord;
using model::HostState;
using model::Job;
using model::JobState;
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

bool allows(const wire::JobSpec& s, const std::string& build, const std::string& hall, bool loaner) {
    if (s.builds && std::find(s.builds->begin(), s.builds->end(), build) == s.builds->end()) return false;
    if (s.hall && *s.hall != hall) return false;
    return !loaner || s.loaners;
}

}  // namespace

bool Core::usable(const HostRecord& h, Moment now) const {
    if (!h.stamp || h.returnStamp || !view_->member_live(h.keeper)) return false;
    if (kept_here(&h)) {
        auto it = notes_.find(h.name);
        if (it == notes_.end()) return false;
        const HostNotes& n = it->second;
        return n.state == HostState::fenced && n.baton == h.stamp && !n.reclaimS && !n.needFence &&
               now.steady >= n.quarantineUntilS;
    }
    if (auto it = hints_.find(h.keeper); it != hints_.end() && now.steady - it->second.atS < settings_.reportS) {
        const auto& u = it->second.hint.unusable;
        if (std::find(u.begin(), u.end(), h.name) != u.end()) return false;
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
    w.mode = tunables_.mode;
    return w;
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
        m.name = h->name, m.build = h->build, m.hall = h->hall, m.loaner = h->loaner;
        m.total = {t.cores, t.gpus, t.ramGb};
        m.cacheGb = t.cacheGb;
        m.fetchGbPerS = tunables_.fetchGbPerS > 0 ? tunables_.fetchGbPerS : view_->fetch_rate(h->build);
        m.cache = &h->cache;
        m.busy = !h->placed.empty();
        // Where two controllers see the caches differently, each would leave a task to the other's machine. A slight
        // preference for one's own makes both act instead, and the state service lets one of them win.
        if (!kept_here(h)) m.handicapS = settings_.reportS / 10;
        for (const StepRef& ref : h->placed) {
            const wire::JobSpec& s = *ref.job->spec;
            Step step = ref.job->step(ref.index, view_->chunk_size());
            double until = step.atS + s.imageGb / m.fetchGbPerS + s.expectS;
            // Overdue by its estimate: expect a part of the estimate more.
            until = std::max(until, now.wall + std::max(settings_.reportS, s.expectS / 5));
            m.holds.push_back({now.wall - 1, until, need_of(s)});
        }
        out.push_back(std::move(m));
        records.push_back(h);
    }
    return out;
}

placement::Request Core::request_of(const Job& job, const std::vector<placement::Machine>& machines) const {
    const wire::JobSpec& s = *job.spec;
    placement::Request r;
    r.need = need_of(s);
    r.image = s.bundle;
    r.imageGb = s.imageGb;
    r.expectS = std::max(s.expectS, 0.1);
    r.together = s.together;
    r.scatter = s.scatter;
    r.scatterCap = (s.steps + 1) / 2;
    r.allowed.reserve(machines.size());
    for (const auto& m : machines) r.allowed.push_back(allows(s, m.build, m.hall, m.loaner));
    if (s.together || s.scatter) {
        std::map<std::string, std::uint32_t> halls;
        for (const auto& chunk : job.chunks)
            for (const Step& step : chunk.steps)
                if (step.host) ++halls[step.host->hall];
        r.inHall.assign(halls.begin(), halls.end());
    }
    return r;
}

// A job is within its team's guarantee if it fits into it together with the team's earlier unfinished jobs.
std::set<const Job*> Core::beyond_guarantee() const {
    std::set<const Job*> out;
    std::map<std::string, std::pair<double, double>> used;
    for (const auto& [order, job] : view_->queue()) {
        if (job->state != JobState::active || job->done == job->spec->steps) continue;
        const wire::JobSpec& s = *job->spec;
        auto& [cores, gpus] = used[s.crew];
        double left = s.steps - job->done;
        cores += s.cores * left;
        gpus += s.gpus * left;
        const app::Team* t = settings_.team(s.crew);
        if (!t || cores > t->cpus + 1e-9 || gpus > t->gpus + 1e-9) out.insert(job);
    }
    return out;
}

std::vector<Core::Queued> Core::ordered_queue(Moment now) const {
    std::vector<Queued> out;
    auto beyond = beyond_guarantee();
    for (const auto& [order, job] : view_->queue())
        if (job->state == JobState::active && job->open() > 0)
            out.push_back({job, static_cast<int>(job->spec->rank), beyond.count(job) > 0});
    std::stable_sort(out.begin(), out.end(), [](const Queued& a, const Queued& b) {
        return std::pair(a.rank, a.beyond) < std::pair(b.rank, b.beyond);
    });
    order_overloaded(out, now);
    return out;
}

// By when users want such a job to be over, in seconds from its submission, dearest first.
std::vector<double> Core::due_times(const wire::JobSpec& spec, bool beyond) const {
    std::vector<double> out;
    for (const auto& o : settings_.objectives) {
        // What is to start in time has to be over one run time later.
        if (o.kind == "guarantee" && !beyond && o.withinS > 0) out.push_back(o.withinS + spec.expectS);
        if (o.lane != spec.lane) continue;
        if (o.kind == "deadline" && spec.dueS) out.push_back(*spec.dueS * (o.times > 0 ? o.times : 1));
        if (o.kind == "finished" && o.withinS > 0) out.push_back(o.withinS);
        if (o.kind == "wait" && o.withinS > 0) out.push_back(o.withinS + spec.expectS);
    }
    if (out.empty() && spec.dueS) out.push_back(*spec.dueS);
    std::sort(out.begin(), out.end());
    return out;
}

// Where a team asks for more than its limit, submission order would make all of its jobs late one after the other.
// Among its jobs of one rank the order then follows what can still be in time. Outside of that, and for all others,
// submission order stays.
void Core::order_overloaded(std::vector<Queued>& queue, Moment now) const {
    std::map<std::pair<std::string, int>, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < queue.size(); ++i)
        if (!due_times(*queue[i].job->spec, queue[i].beyond).empty())
            groups[{queue[i].job->spec->crew, queue[i].rank}].push_back(i);
    for (const auto& [key, places] : groups) {
        const app::Team* team = settings_.team(key.first);
        if (!team || places.size() < 2) continue;
        double wanted = 0;
        bool byGpu = team->gpusMax > 0 && queue[places[0]].job->spec->gpus > 0;
        double limit = byGpu ? team->gpusMax : team->cpusMax;
        auto size = [&](const wire::JobSpec& s) { return byGpu ? s.gpus : s.cores; };
        std::vector<placement::DueJob> jobs;
        for (std::size_t i : places) {
            const Job& job = *queue[i].job;
            const wire::JobSpec& s = *job.spec;
            double remaining = job.open() * s.expectS;
            for (const auto& chunk : job.chunks)
                if (chunk.placed)
                    for (const Step& step : chunk.steps)
                        if (step.state == StepState::placed)
                            remaining += std::max(s.expectS / 5, s.expectS - (now.wall - step.atS));
            wanted += size(s) * (s.steps - job.done);
            placement::DueJob d{remaining * size(s), s.expectS, due_times(s, queue[i].beyond)};
            for (double& due : d.due) due -= now.wall - job.atS;
            jobs.push_back(std::move(d));
        }
        if (limit <= 0 || wanted <= limit) continue;
        auto order = placement::order_by_due(jobs, limit);
        std::vector<Queued> sorted;
        for (std::size_t k : order) sorted.push_back(queue[places[k]]);
        for (std::size_t k = 0; k < places.size(); ++k) queue[places[k]] = sorted[k];
    }
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
placement::Request Core::probe(const wire::JobSpec& spec, std::uint32_t count,
                               const std::vector<placement::Machine>& machines) const {
    Job job;
    job.spec = spec;
    placement::Request r = request_of(job, machines);
    r.together = r.scatter = false;
    r.count = count;
    return r;
}

Core::Plan Core::make_plan(Moment now) {
    Plan plan;
    note_arrivals(now);
    std::vector<HostRecord*> records;
    auto list = machines(now, records);
    std::size_t count = list.size();
    placement::Planner planner(now.wall, std::move(list), weights(count));
    std::map<std::string, Need> room;  // per team, below its limit
    for (const app::Team& t : settings_.teams) {
        auto it = view_->teams().find(t.name);
        double cores = it == view_->teams().end() ? 0 : it->second.cores / 1000.0;
        double gpus = it == view_->teams().end() ? 0 : it->second.gpus / 1000.0;
        room[t.name] = {t.cpusMax > 0 ? t.cpusMax - cores : 1e12, t.gpusMax > 0 ? t.gpusMax - gpus : 1e12, 1e12};
    }
    for (const auto& [order, job] : view_->queue()) {
        const wire::JobSpec& s = *job->spec;
        double tasks = job->gang() ? s.steps : 1;
        Urgent& u = urgent_[{s.crew, static_cast<int>(s.rank)}];
        u.cores = std::max(u.cores, s.cores * tasks);
        u.gpus = std::max(u.gpus, s.gpus * tasks);
        u.lastS = now.steady;
    }
    std::erase_if(urgent_, [&](const auto& e) { return now.steady - e.second.lastS > 10 * settings_.leaseS; });
    // Promises are made to the first of the queue only; behind them, tasks start where they disturb no promise.
    std::size_t promises = 2 * count + 8;
    std::set<std::string> spared;  // lanes for which room has been left
    for (const Queued& q : ordered_queue(now)) {
        Job& job = *q.job;
        const wire::JobSpec& s = *job.spec;
        // Before lower ranks take what is free, room is left for what higher ranks usually ask for within two reports:
        // making room only then costs a wind-down.
        for (const auto& [name, lane] : lanes_) {
            if (static_cast<int>(lane.last.rank) >= q.rank || lane.arrivals.empty() || !spared.insert(name).second)
                continue;
            double tasks = 0;
            for (const auto& [at, n] : lane.arrivals) tasks += n;
            double soon = std::ceil(tasks * 2 * settings_.reportS / (4 * settings_.leaseS));
            planner.place_batch(probe(lane.last, static_cast<std::uint32_t>(std::min(soon, 8.0)), planner.machines()),
                                true);
        }
        if (auto it = jobNotes_.find(job.id); it != jobNotes_.end() && now.steady < it->second.notBeforeS) continue;
        bool gang = job.gang() && s.steps > 1;
        if (gang && gang_state(job) != model::GangState::open) continue;
        Need& teamRoom = room[s.crew];
        // Up to its team's limit, lower-ranked work leaves room for the next job of each higher rank that the team has
        // had of late: it would otherwise wait for the end of a task in spite of its rank.
        double keptCores = 0, keptGpus = 0;
        for (const auto& [key, urgent] : urgent_)
            if (key.first == s.crew && key.second < q.rank) keptCores += urgent.cores, keptGpus += urgent.gpus;
        auto fits_team = [&](double n) {
            return n * s.cores <= teamRoom.cores - keptCores + 1e-6 && n * s.gpus <= teamRoom.gpus - keptGpus + 1e-6;
        };
        placement::Request r = request_of(job, planner.machines());
        std::vector<std::uint32_t> open;
        std::uint32_t most = gang ? s.steps : 256;
        for (std::uint32_t c = 0; c < job.chunks.size() && open.size() < most; ++c) {
            const auto& chunk = job.chunks[c];
            std::uint32_t base = c * view_->chunk_size(), n = std::min(view_->chunk_size(), s.steps - base);
            if (!chunk.steps.empty() && chunk.done + chunk.placed == n) continue;
            for (std::uint32_t i = 0; i < n && open.size() < most; ++i)
                if (chunk.steps.empty() || chunk.steps[i].state == StepState::open) open.push_back(base + i);
        }
        if (gang && !fits_team(s.steps)) continue;
        std::uint32_t limit = 0;
        while (limit < open.size() && fits_team(limit + 1)) ++limit;
        r.count = gang ? s.steps : limit;
        if (r.count == 0) continue;
        bool startOnly = promises == 0;
        auto slots = gang ? planner.place_gang(r, startOnly) : planner.place_batch(r, startOnly);
        std::uint32_t started = 0;
        double soonest = 1e18;
        Plan::Start whole{&job, {}, 0};
        for (std::size_t k = 0; k < slots.size(); ++k) {
            if (slots[k].start > now.wall) {
                if (promises) --promises;
                soonest = std::min(soonest, slots[k].start);
                continue;
            }
            ++started;
            HostRecord* h = records[slots[k].machine];
            std::uint32_t attempt = job.step(open[k], view_->chunk_size()).attempt + 1;
            if (gang) {
                whole.tasks.emplace_back(open[k], h);
                whole.attempt = std::max(whole.attempt, attempt);
            } else {
                plan.starts.push_back({&job, {{open[k], h}}, attempt});
            }
        }
        if (gang && whole.tasks.size() == s.steps) plan.starts.push_back(std::move(whole));
        teamRoom = {teamRoom.cores - started * s.cores, teamRoom.gpus - started * s.gpus, teamRoom.ramGb};
        if (started < r.count) plan.unmet.push_back({&job, r.count - started, q.beyond, soonest});
    }
    plan.machines = planner.machines();
    return plan;
}

void Core::place(Draft& draft, Moment now) {
    if (view_->queue().empty()) return;
    // Planning is the costly part of a round: only when something it depends on has changed, or time has passed.
    std::uint64_t newest = view_->queue().rbegin()->first;
    if (!planDue_ && newest == lastOrder_ && now.steady - plannedS_ < settings_.reportS / 6) return;
    planDue_ = false;
    lastOrder_ = newest;
    plannedS_ = now.steady;
    Plan plan = make_plan(now);
    preempt(plan, now);
    for (const auto& start : plan.starts) {
        bool wide = start.tasks.size() > 1;
        if (wide ? !responsible(*start.job) : !kept_here(start.tasks.front().second)) {
            if (!wide) {
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
// that they choose alike without a word.
void Core::preempt(const Plan& plan, Moment now) {
    if (plan.unmet.empty()) return;
    std::set<const Job*> beyond = beyond_guarantee();
    std::map<std::string, Need> room;  // by machine: what is free, or becoming so
    for (const auto& m : plan.machines) room[m.name] = placement::free_at(m, now.wall);
    std::set<std::pair<const Job*, std::uint32_t>> taken;
    for (const auto& u : plan.unmet) {
        const wire::JobSpec& s = *u.job->spec;
        if (u.job->gang() && s.steps > 1) continue;  // a wide gang takes what becomes free for it
        if (u.soonest - now.wall < settings_.reportS) continue;
        Need need = need_of(s);
        placement::Request request = request_of(*u.job, plan.machines);
        for (std::uint32_t n = 0; n < u.tasks; ++n) {
            double bestCost = 1e18;
            std::string bestHost;
            std::vector<StepRef> bestVictims;
            for (std::size_t i = 0; i < plan.machines.size(); ++i) {
                const auto& m = plan.machines[i];
                if (!request.allowed[i] || !need.fits(m.total)) continue;
                HostRecord* h = view_->host(m.name);
                double cached = m.cache ? m.cache->ready_at(s.bundle, now.wall) : -1;
                double cost = cached < 0 ? s.imageGb / m.fetchGbPerS : std::max(0.0, cached - now.wall);
                struct Victim {
                    StepRef ref;
                    double cost;
                };
                std::vector<Victim> victims;
                for (const StepRef& ref : h->placed) {
                    const wire::JobSpec& v = *ref.job->spec;
                    if (ref.job == u.job || taken.count({ref.job, ref.index})) continue;
                    if (ref.job->gang() && v.steps > 1) continue;
                    bool lower = v.rank > s.rank;
                    bool borrowed = !u.beyond && v.crew != s.crew && beyond.count(ref.job);
                    if (!lower && !borrowed) continue;
                    double ran = now.wall - ref.job->step(ref.index, view_->chunk_size()).atS;
                    double lost = v.snapshotS > 0 ? v.flushS : ran;
                    double left = v.expectS - ran;
                    victims.push_back({ref, lost + (left < settings_.reportS ? v.expectS : 0) + settings_.reportS});
                }
                std::sort(victims.begin(), victims.end(),
                          [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
                Need free = room[m.name];
                std::vector<StepRef> chosen;
                for (const Victim& v : victims) {
                    if (need.fits(free)) break;
                    free += need_of(*v.ref.job->spec);
                    cost += v.cost;
                    chosen.push_back(v.ref);
                }
                if (need.fits(free) && !chosen.empty() && cost < bestCost)
                    bestCost = cost, bestHost = m.name, bestVictims = chosen;
            }
            // Worth it only if the promised start is later than what the victims lose and the fetch together.
            if (bestHost.empty() || now.wall + bestCost > u.soonest) break;
            HostRecord* h = view_->host(bestHost);
            for (const StepRef& v : bestVictims) {
                taken.insert({v.job, v.index});
                room[bestHost] += need_of(*v.job->spec);
                if (!kept_here(h)) continue;
                HostNotes& notes = notes_[bestHost];
                if (notes.evict.try_emplace({v.job->id, v.index}, now.steady).second)
                    spdlog::info("stop {}/{} on {} to make room for {}", v.job->id, v.index, bestHost, u.job->id);
            }
            room[bestHost] = room[bestHost] - need;
        }
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

std::vector<RentalOrder> Core::rentals(Moment now) {
    std::vector<RentalOrder> out;
    if (view_->cloud_role() != settings_.member || view_->types().empty()) return out;
    std::erase_if(coming_, [&](auto& e) {
        HostRecord* h = view_->host(e.first);
        const auto* t = view_->type(e.second.what.build);
        return (h && (h->stamp || h->returnStamp)) || now.steady - e.second.sinceS > 4 * (t ? t->startupS : 60) + 30;
    });
    std::vector<placement::Offer> offers;
    std::vector<std::uint32_t> coming;
    std::vector<RentalOrder> kinds;
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
                std::uint32_t n = 0;
                for (const auto& [name, c] : coming_)
                    n += c.what.build == sku && c.what.hall == hall && c.what.loaner == loaner;
                coming.push_back(n);
                kinds.push_back(kind);
            }
    Plan plan = make_plan(now);
    std::vector<placement::Want> wants;
    auto want = [&](const wire::JobSpec& s, std::uint32_t count) {
        placement::Want w{need_of(s), count, {}};
        for (const auto& o : offers) w.allowed.push_back(allows(s, o.build, o.hall, o.loaner));
        wants.push_back(std::move(w));
    };
    for (const auto& u : plan.unmet) want(*u.job->spec, u.tasks);

    // Ahead of demand: what usually arrives while a machine boots.
    placement::Planner ahead(now.wall, plan.machines, weights(plan.machines.size()));
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
        auto slots = ahead.place_batch(probe(lane.last, target, ahead.machines()), true);
        if (slots.size() < target) want(lane.last, target - static_cast<std::uint32_t>(slots.size()));
    }
    // Machines that neither work nor headroom needs are surplus; the clock of each starts when it becomes so.
    std::map<std::string, double> idle;
    for (const auto& m : ahead.machines())
        if (m.holds.empty()) idle[m.name] = idleSince_.count(m.name) ? idleSince_[m.name] : now.steady;
    idleSince_ = std::move(idle);

    for (const auto& r : placement::choose_rentals(offers, wants, coming, 20)) {
        RentalOrder o = kinds[r.offer];
        o.number = std::min(r.number, 50u);
        out.push_back(o);
    }
    return out;
}

void Core::propose_returns(Draft& draft, Moment now) {
    auto at = static_cast<std::int64_t>(now.wall);
    for (auto& [name, n] : notes_) {
        HostRecord* h = view_->host(name);
        if (!kept_here(h) || h->returnStamp) continue;
        bool faulty = n.failedJobs.size() >= 2 && n.failures >= 3;
        // Expired, or never confirmed and silent since: only the cloud's word frees what the latter may hold.
        bool lost = n.state != HostState::fenced && n.state != HostState::silent && n.lastReportS > 0 &&
                    now.steady - n.lastReportS > 2 * settings_.leaseS;
        if (faulty || lost) draft.mark_return(name, 0, at, false, faulty ? "faulty" : "lost");
    }
    if (view_->cloud_role() != settings_.member) return;
    for (const auto& [name, h] : view_->hosts()) {
        if (h->returned && h->placed.empty() && now.wall - h->returnedAtS > 3 * settings_.leaseS) draft.forget_host(*h);
        if (h->returnStamp || !h->stamp) continue;
        // Nobody keeps it: either it finds another controller soon, or it is dead or cut off.
        auto keeper = view_->members().find(h->keeper);
        bool orphan = keeper == view_->members().end() || keeper->second.incarnation != h->incarnation;
        auto [it, fresh] = strangeSince_.try_emplace(name, now.steady);
        if (!orphan)
            strangeSince_.erase(it);
        else if (now.steady - it->second > 1.5 * settings_.leaseS)
            draft.mark_return(name, 0, at, false, "orphan");
        if (auto idle = idleSince_.find(name); idle != idleSince_.end() && h->placed.empty()) {
            const auto* t = view_->type(h->build);
            if (t && now.steady - idle->second > std::max(6 * settings_.leaseS, 3 * t->startupS))
                draft.mark_return(name, 0, at, false, "surplus");
        }
    }
    for (const auto& m : cloud_.machines) {
        HostRecord* h = view_->host(m.ref);
        if (h && h->returnStamp) continue;
        const auto* t = view_->type(m.build);
        double boot = t ? t->startupS : 60;
        bool stuck = m.phase != "running" && (!h || !h->stamp) && m.heldS > 4 * boot + settings_.listLagS;
        bool mute = m.phase == "running" && (!h || !h->stamp) && m.heldS > 6 * boot + 3 * settings_.leaseS;
        if (m.phase == "failed" || stuck || mute)
            draft.mark_return(m.ref, 0, at, false, m.phase == "failed" ? "failed" : "stuck");
    }
}

std::vector<std::string> Core::returns_due(Moment now) {
    std::vector<std::string> out;
    if (view_->cloud_role() != settings_.member) return out;
    for (const auto& [name, h] : view_->hosts()) {
        if (!h->returnStamp || h->returned) continue;
        // What runs there gets the time to save; a machine that is lost has nothing to save.
        if (h->placed.empty() || now.wall - h->returnedAtS > settings_.leaseS / 2) out.push_back(name);
        if (out.size() == 100) break;
    }
    return out;
}

void Core::mark_gone(Draft& draft, const std::vector<std::string>& hosts, Moment now) {
    for (const std::string& name : hosts) {
        HostRecord* h = view_->host(name);
        if (h && h->returnStamp && !h->returned)
            draft.mark_return(name, h->returnStamp, static_cast<std::int64_t>(now.wall), true, "returned");
    }
}

}  // namespace wellstair::controller
