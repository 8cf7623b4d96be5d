// Room for work of higher rank, and for what teams are guaranteed, at the cost of what runs.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"
#include "controller/estimates.hpp"
#include "controller/job_needs.hpp"

namespace wellstair::controller {

using placement::Need;
using state::HostRecord;
using state::Job;
using state::TaskRef;
using workers::HostTracker;

// Makes room for work of higher rank, and for work within its team's guarantee at the cost of what other teams run
// beyond theirs; in no other case. All controllers look at all machines and each stops only what runs on its own, so
// that they choose alike without a word; the room is kept for its job until the last of it is free. A wide gang gets
// all its places at once or nobody is stopped for it.
void Core::preempt(const Plan& plan, Timestamp now) {
    constexpr int kJobs = 8;  // in one plan: what is stopped for them is seen by the next
    if (plan.unmet.empty()) return;
    std::set<const Job*> overQuota = jobs_over_quota();
    std::set<std::pair<const Job*, std::uint32_t>> taken;
    struct Place {
        std::size_t machine;
        double cost;
        std::vector<TaskRef> victims;
    };
    struct Victim {
        TaskRef ref;
        double cost;
    };
    std::vector<Victim> victims;
    int jobs = 0;
    for (const auto& u : plan.unmet) {
        const wire::JobSpec& s = *u.job->spec;
        bool gang = u.job->wide_gang();
        if (u.soonest - now.wall < settings_.heartbeatIntervalS || reservations_.count(u.job->id)) continue;
        if (++jobs > kJobs) break;
        Need need = need_of(s);
        placement::Request request = request_of(*u.job);
        std::vector<Place> places;
        for (std::size_t i = 0; i < plan.machines.size(); ++i) {
            const auto& m = plan.machines[i];
            if (!request.allowed[m.nodePool] || !need.fits(m.total)) continue;
            victims.clear();
            for (const TaskRef& ref : plan.records[i]->placed) {
                const wire::JobSpec& v = *ref.job->spec;
                bool lower = v.priority > s.priority;
                bool borrowed = !u.overQuota && v.team != s.team && overQuota.count(ref.job) && !v.service();
                if (!lower && !borrowed) continue;
                if (ref.job == u.job || ref.job->wide_gang() || taken.count({ref.job, ref.index})) continue;
                double ran = now.wall - ref.job->task(ref.index, context_.state().chunk_size()).atS;
                double lost = v.service()                 ? v.imageGb / m.fetchGbPerS
                              : v.checkpointIntervalS > 0 ? v.checkpointWriteS
                                                          : ran;
                double left = occupied_s(v) - ran;
                victims.push_back({ref, lost + (left < settings_.heartbeatIntervalS ? v.estimatedDurationS : 0) +
                                            settings_.heartbeatIntervalS});
            }
            Need free = placement::free_at(m, now.wall);
            std::uint32_t fit = gang ? placement::times(free, need) : 0;
            if (victims.empty() && !fit) continue;
            std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) { return a.cost < b.cost; });
            double cached = m.cache ? m.cache->ready_at(s.image, now.wall) : -1;
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
        if (gang && s.coLocated) {
            std::map<std::uint32_t, std::vector<Place*>> byZone;
            for (Place& p : places) {
                auto& list = byZone[plan.machines[p.machine].zone];
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
            for (const TaskRef& v : p.victims) {
                taken.insert({v.job, v.index});
                kept.untilS =
                    std::max(kept.untilS, now.wall + v.job->spec->checkpointWriteS + 2 * settings_.heartbeatIntervalS);
                if (!context_.led_here(h)) continue;
                HostTracker& tracker = hosts_.track(h->name);
                if (tracker.evict.try_emplace({v.job->id, v.index}, now.steady).second) {
                    spdlog::info("preempt {}/{} on {} for {}", v.job->id, v.index, h->name, u.job->id);
                    schedule_.mark_due(*h);
                }
            }
        }
        reservations_[u.job->id] = std::move(kept);
    }
}

}  // namespace wellstair::controller
