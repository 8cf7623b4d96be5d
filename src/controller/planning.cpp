// Placement: what the controller asks of LEM, and which of the planned starts it carries out.
#include <algorithm>
#include <cmath>

#include "common/stable_hash.hpp"
#include "controller/core.hpp"
#include "controller/estimates.hpp"
#include "controller/job_needs.hpp"

namespace wellstair::controller {

using placement::Need;
using state::HostRecord;
using state::HostState;
using state::Job;
using state::Task;
using state::TaskRef;
using state::TaskState;
using workers::HostTracker;

namespace {

// What plans look at, as ratios; see Core::make_plan.
constexpr std::uint64_t kPromiseLooks = 4096;  // machines looked at for promises in one plan

}  // namespace

bool Core::usable(const HostRecord& h, Timestamp now) const {
    if (!h.registered() || h.leaves() || !context_.state().member_live(h.leader)) return false;
    if (context_.led_here(&h)) {
        const HostTracker* tracker = hosts_.find(h.name);
        if (!tracker) return false;
        const HostTracker& n = *tracker;
        return n.state == HostState::confirmed && n.seenToken == h.fencingToken && !n.preemptionAtS && !n.needFence &&
               !n.missedAnswers && now.steady >= n.quarantineUntilS;
    }
    const peers::ReceivedStatus* leader = peers_.find(h.leader);
    if (leader && leader->age(now) < settings_.heartbeatIntervalS && leader->status.lists(h.name)) return false;
    // Its leader does not start there what our plan expects it to: count on it no more for a while.
    if (auto it = unstartedSince_.find(h.name); it != unstartedSince_.end()) {
        double age = now.steady - it->second;
        if (age > settings_.heartbeatIntervalS / 6 && age < 4 * settings_.heartbeatIntervalS) return false;
    }
    // Just registered: its leader waits for the host to confirm the fencing token.
    return now.wall - h.registeredS > settings_.heartbeatIntervalS / 2;
}

placement::Weights Core::weights(std::size_t machines) const {
    placement::Weights w;
    w.w = tunables_.leaWeight > 0 ? tunables_.leaWeight : static_cast<double>(machines);
    w.gpuHostPenaltyS = settings_.heartbeatIntervalS / 3;
    w.emptyHostPenaltyS = settings_.heartbeatIntervalS / 2;
    w.sameHostPenaltyS = 2 * settings_.heartbeatIntervalS;
    w.sameZonePenaltyS = settings_.heartbeatIntervalS / 2;
    w.mode = tunables_.mode;
    return w;
}

std::uint32_t Core::zone_id(const std::string& zone) {
    auto it = std::find(zones_.begin(), zones_.end(), zone);
    if (it == zones_.end()) it = zones_.insert(zones_.end(), zone);
    return static_cast<std::uint32_t>(it - zones_.begin());
}

std::uint32_t Core::node_pool_id(const std::string& machineType, const std::string& zone, bool spot) {
    for (std::size_t i = 0; i < nodePools_.size(); ++i)
        if (nodePools_[i].spot == spot && nodePools_[i].machineType == machineType && nodePools_[i].zone == zone)
            return static_cast<std::uint32_t>(i);
    nodePools_.push_back({machineType, zone, spot});
    return static_cast<std::uint32_t>(nodePools_.size() - 1);
}

std::vector<placement::Machine> Core::machines(Timestamp now, std::vector<HostRecord*>& records) {
    std::vector<placement::Machine> out;
    std::vector<HostRecord*> hosts;
    for (const auto& [name, h] : context_.state().hosts())
        if (usable(*h, now) && context_.state().type(h->machineType)) hosts.push_back(h.get());
    std::sort(hosts.begin(), hosts.end(), [](auto* a, auto* b) { return a->name < b->name; });
    for (HostRecord* h : hosts) {
        const wire::MachineType& t = *context_.state().type(h->machineType);
        placement::Machine m;
        m.nodePool = node_pool_id(h->machineType, h->zone, h->spot), m.zone = zone_id(h->zone);
        m.total = {t.cores, t.gpus, t.ramGb};
        m.cacheGb = t.cacheGb;
        m.fetchGbPerS = tunables_.fetchGbPerS > 0 ? tunables_.fetchGbPerS : context_.state().fetch_rate(h->machineType);
        m.cache = &h->cache;
        m.busy = !h->placed.empty();
        // Where two controllers see the caches differently, each would leave a task to the other's machine. A slight
        // preference for one's own makes both act instead, and the state service lets one of them win.
        if (!context_.led_here(h)) m.penaltyS = settings_.heartbeatIntervalS / 10;
        m.holds.reserve(h->placed.size() + 2);
        const HostTracker* n = context_.led_here(h) ? hosts_.find(h->name) : nullptr;
        for (const TaskRef& ref : h->placed) {
            const wire::JobSpec& s = *ref.job->spec;
            Task task = ref.job->task(ref.index, context_.state().chunk_size());
            double until = task.atS + s.imageGb / m.fetchGbPerS + occupied_s(s);
            // Overdue by its estimate: expect a part of the estimate more.
            until = std::max(until, now.wall + std::max(settings_.heartbeatIntervalS, s.estimatedDurationS / 5));
            if (n && n->evict.count({ref.job->id, ref.index}))
                until = now.wall + s.checkpointWriteS + settings_.heartbeatIntervalS / 2;
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
    r.image = s.image;
    r.imageGb = s.imageGb;
    r.estimatedDurationS = std::max(occupied_s(s), 0.1);
    r.antiAffine = s.service() && s.taskCount > 1;
    r.coLocated = s.coLocated;
    r.spread = s.spread;
    r.spreadCap = (s.taskCount + 1) / 2;
    r.allowed.reserve(nodePools_.size());
    for (const NodePool& k : nodePools_) r.allowed.push_back(allows(s, k.machineType, k.zone, k.spot));
    if ((s.coLocated || s.spread || r.antiAffine) && job.placed > 0) {
        std::map<std::uint32_t, std::uint32_t> zones;
        for (const auto& chunk : job.chunks)
            for (const Task& task : chunk.tasks)
                if (task.host)
                    ++zones[static_cast<std::uint32_t>(std::find(zones_.begin(), zones_.end(), task.host->zone) -
                                                       zones_.begin())];
        r.tasksPerZone.assign(zones.begin(), zones.end());
    }
    return r;
}

void Core::record_arrivals(Timestamp now) {
    for (const auto& [order, job] : context_.state().queue()) {
        if (!counted_.insert(job->id).second) continue;
        ClassArrivals& jobClass = arrivalsByClass_[job->spec->jobClass];
        jobClass.last = *job->spec;
        jobClass.arrivals.emplace_back(now.steady - (now.wall - static_cast<double>(job->atS)), job->spec->taskCount);
    }
    if (counted_.size() > 4096)
        std::erase_if(counted_, [&](const std::string& id) { return !context_.state().job(id); });
    for (auto& [name, jobClass] : arrivalsByClass_)
        while (!jobClass.arrivals.empty() && now.steady - jobClass.arrivals.front().first > 4 * settings_.leaseS)
            jobClass.arrivals.pop_front();
}

// Tasks like the job class's last ones, to see where the next would find room.
placement::Request Core::probe(const wire::JobSpec& spec, std::uint32_t count) const {
    Job job;
    job.spec = spec;
    placement::Request r = request_of(job);
    r.coLocated = r.spread = false;
    r.count = count;
    return r;
}

// The machines that replicas of the job are on, once for each.
std::vector<std::size_t> Core::machines_of(const Job& job, const std::vector<HostRecord*>& records) const {
    std::vector<std::size_t> out;
    for (const auto& chunk : job.chunks)
        for (const Task& task : chunk.tasks) {
            if (!task.host) continue;
            auto at = std::find(records.begin(), records.end(), task.host);
            if (at != records.end()) out.push_back(static_cast<std::size_t>(at - records.begin()));
        }
    return out;
}

// When this controller may place tasks of a job, time of day. The tasks of a wide batch are left to the controller that
// is responsible for it, then to the others one after the other: placed by all at once, all but one would be refused by
// the state service and plan again.
double Core::placement_turn(const Job& job) const {
    const wire::JobSpec& s = *job.spec;
    if (job.gang() || (s.taskCount == 1 && !job.service()) || context_.responsible(job)) return 0;
    double after = 1;
    auto mine = stable_hash(settings_.member, job.id);
    for (const auto& m : settings_.members)
        if (m.name != job.owner && stable_hash(m.name, job.id) < mine) ++after;
    after *= settings_.heartbeatIntervalS / 16;
    // All replicas of a service are placed by its responsible controller, on any machine; by others only if it does
    // not.
    if (job.service()) return jobHistories_.open_since(job) + settings_.heartbeatIntervalS + after;
    return static_cast<double>(job.atS) + 1 + after;
}

Core::Plan Core::make_plan(Timestamp now, bool act) {
    Plan plan;
    record_arrivals(now);
    auto list = machines(now, plan.records);
    std::size_t count = list.size();
    std::map<std::string, std::size_t> at;
    if (!reservations_.empty())
        for (std::size_t i = 0; i < count; ++i) at[plan.records[i]->name] = i;
    std::erase_if(reservations_,
                  [&](const auto& e) { return e.second.untilS < now.wall || !context_.state().job(e.first); });
    placement::Planner planner(now.wall, std::move(list), weights(count));
    std::map<std::string, Need> room;  // per team, below its limit
    for (const config::Team& t : settings_.teams) {
        auto it = context_.state().teams().find(t.name);
        double cores = it == context_.state().teams().end() ? 0 : it->second.total.cores / 1000.0;
        double gpus = it == context_.state().teams().end() ? 0 : it->second.total.gpus / 1000.0;
        room[t.name] = {t.cpusMax > 0 ? t.cpusMax - cores : 1e12, t.gpusMax > 0 ? t.gpusMax - gpus : 1e12, 1e12};
    }
    for (const auto& [order, job] : context_.state().queue()) {
        const wire::JobSpec& s = *job->spec;
        double tasks = job->gang() || job->service() ? s.taskCount : 1;
        Urgent& u = urgent_[{s.team, static_cast<int>(s.priority)}];
        u.cores = std::max(u.cores, s.cores * tasks);
        u.gpus = std::max(u.gpus, s.gpus * tasks);
        u.lastS = now.steady;
    }
    std::erase_if(urgent_, [&](const auto& e) { return now.steady - e.second.lastS > 10 * settings_.leaseS; });
    const std::map<std::string, Need> unused = room;  // before this plan's starts
    if (act) nextTurnS_ = 1e18;
    // Promises are made to the first of the queue only, as many as a plan may cost; behind them, tasks start where they
    // disturb no promise.
    std::set<std::string> spared;                            // job classes for which room has been left
    std::vector<std::pair<std::uint32_t, Need>> sparedRoom;  // what was free there: kind of machine, room
    if (act)
        std::erase_if(heldBack_, [&](const auto& e) {
            const Job* job = context_.state().job(e.first);
            return !job || job->placed + job->done > 0 || now.steady - e.second.seenS > settings_.heartbeatIntervalS;
        });
    auto hold_back = [&](const Job& job) {
        if (act) heldBack_.try_emplace(job.id, HeldBack{now.steady, now.steady}).first->second.seenS = now.steady;
    };
    bool spare = std::none_of(heldBack_.begin(), heldBack_.end(),
                              [&](const auto& e) { return held_back_too_long(e.first, now); });
    std::vector<std::uint32_t> open;
    for (const QueuedJob& q : ordered_queue(planner.machines(), now)) {
        Job& job = *q.job;
        const wire::JobSpec& s = *job.spec;
        // Before lower ranks take what is free, room is left for what higher ranks usually ask for within two
        // heartbeats: making room only then costs a grace period.
        for (const auto& [name, jobClass] : arrivalsByClass_) {
            if (!spare || static_cast<int>(jobClass.last.priority) >= q.priority || q.aged ||
                jobClass.arrivals.empty() || !spared.insert(name).second)
                continue;
            double tasks = 0;
            for (const auto& [when, n] : jobClass.arrivals) tasks += n;
            double soon = std::ceil(tasks * 2 * settings_.heartbeatIntervalS / (4 * settings_.leaseS));
            double most = std::max(8.0, static_cast<double>(count) / 16);
            Need one = need_of(jobClass.last);
            std::map<std::size_t, std::uint32_t> slots;
            for (const auto& slot :
                 planner.place_batch(probe(jobClass.last, static_cast<std::uint32_t>(std::min(soon, most))), true))
                ++slots[slot.machine];
            for (const auto& [machine, n] : slots) {
                Need free = placement::free_at(planner.machines()[machine], now.wall);
                for (std::uint32_t k = 0; k < n; ++k) free += one;
                sparedRoom.emplace_back(planner.machines()[machine].nodePool, free);
            }
        }
        if (jobHistories_.backing_off(job.id, now)) continue;
        bool gang = job.wide_gang();
        if (gang && job.gang_state() != state::GangState::open) continue;
        if (double mine = placement_turn(job); act && mine > now.wall) {
            nextTurnS_ = std::min(nextTurnS_, mine);
            continue;
        }
        Need& teamRoom = room[s.team];
        // Up to its team's limit, lower-ranked work leaves room for the next job of each higher rank that the team has
        // had of late: it would otherwise wait for the end of a task in spite of its rank.
        Need kept;
        for (const auto& [key, urgent] : urgent_)
            if (key.first == s.team && key.second < q.priority && !q.aged && !held_back_too_long(job.id, now))
                kept.cores += urgent.cores, kept.gpus += urgent.gpus;
        std::uint32_t limit = placement::times(teamRoom - kept, {s.cores, s.gpus, 0});
        std::uint32_t most = gang ? s.taskCount : std::min(limit, 256u);
        std::uint32_t least = gang ? s.taskCount : 1;
        bool begun = job.placed + job.done > 0;
        if (limit < least) {
            auto all = unused.find(s.team);
            if (!begun && all != unused.end() && placement::times(all->second, {s.cores, s.gpus, 0}) >= least)
                hold_back(job);
            continue;
        }
        open.clear();
        for (std::uint32_t c = 0; c < job.chunks.size() && open.size() < most; ++c) {
            const auto& chunk = job.chunks[c];
            std::uint32_t base = c * context_.state().chunk_size(),
                          n = std::min(context_.state().chunk_size(), s.taskCount - base);
            if (!chunk.tasks.empty() && chunk.done + chunk.placed == n) continue;
            for (std::uint32_t i = 0; i < n && open.size() < most; ++i)
                if (chunk.tasks.empty() || chunk.tasks[i].state == TaskState::open) open.push_back(base + i);
        }
        placement::Request r = request_of(job);
        if (r.antiAffine) r.onMachines = machines_of(job, plan.records);
        r.count = gang ? s.taskCount : static_cast<std::uint32_t>(open.size());
        if (r.count == 0) continue;
        bool startOnly = planner.looked() > kPromiseLooks && !q.aged;
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
            std::uint32_t attempt = job.task(index, context_.state().chunk_size()).attempt + 1;
            if (gang) {
                whole.tasks.emplace_back(index, h);
                whole.attempt = std::max(whole.attempt, attempt);
            } else {
                plan.starts.push_back({&job, {{index, h}}, attempt});
            }
        }
        if (gang && whole.tasks.size() == s.taskCount) plan.starts.push_back(std::move(whole));
        teamRoom = {teamRoom.cores - started * s.cores, teamRoom.gpus - started * s.gpus, teamRoom.ramGb};
        if (q.aged && started > 0 && act) spend_ageing_share(nextAgedStartS_, q, started, now);
        if (!begun && !started && std::any_of(sparedRoom.begin(), sparedRoom.end(), [&](const auto& e) {
                return r.allowed[e.first] && r.need.fits(e.second);
            }))
            hold_back(job);
        if (started < r.count) plan.unmet.push_back({&job, r.count - started, q.overQuota, soonest});
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

void Core::place(state::TransactionBuilder& builder, Timestamp now) {
    if (context_.state().queue().empty()) return;
    // Planning is the costly part of a round: only when something it depends on has changed, or time has passed.
    std::uint64_t newest = context_.state().queue().rbegin()->first;
    if (!schedule_.plan_due() && newest == lastOrder_ && now.steady - plannedS_ < settings_.heartbeatIntervalS / 6 &&
        now.wall < nextTurnS_)
        return;
    schedule_.begin_plan();
    lastOrder_ = newest;
    plannedS_ = now.steady;
    Plan plan = make_plan(now, true);
    preempt(plan, now);
    for (const auto& start : plan.starts) {
        bool wide = start.tasks.size() > 1;
        bool mine = !wide && context_.led_here(start.tasks.front().second);
        bool whole = wide || start.job->service();  // placed on machines of any leader
        if (whole ? !mine && !context_.responsible(*start.job) : !mine) {
            if (!whole && start.job->spec->taskCount == 1) {
                HostRecord* h = start.tasks.front().second;
                auto [it, fresh] = unstartedSince_.try_emplace(h->name, now.steady);
                if (!fresh && now.steady - it->second > 4 * settings_.heartbeatIntervalS) it->second = now.steady;
            }
            continue;
        }
        if (!builder.place(*start.job, start.tasks, start.attempt, static_cast<std::int64_t>(now.wall))) {
            schedule_.request_replan();
            return;
        }
    }
}

}  // namespace wellstair::controller
