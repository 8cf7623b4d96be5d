#include "scheduling/preemption.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduling/duration_estimates.hpp"
#include "scheduling/job_needs.hpp"

namespace wellstair::scheduling {

using placement::Machine;
using placement::Resources;
using state::HostRecord;
using state::TaskRef;
using workers::HostTracker;

namespace {

// Jobs that one plan preempts for. The next plan takes the tasks preempted for them into account and goes on.
constexpr int kMaxJobsPerPlan = 8;
// Heartbeat intervals within which a preempted task stops, in addition to the time to write its checkpoint.
constexpr double kStopIntervals = 2;

// Seconds that a task loses when it is preempted: a service fetches its image again, a task with checkpoints writes
// one, and any other task runs again from its beginning.
double lost_work_s(const wire::JobSpec& spec, const Machine& machine, double runtimeS) {
    if (spec.service()) return spec.imageGb / machine.fetchGbPerS;
    return spec.checkpointIntervalS > 0 ? spec.checkpointWriteS : runtimeS;
}

}  // namespace

void Preemption::expire_reservations(Timestamp now) {
    std::erase_if(reservations_, [&](const auto& entry) {
        return entry.second.untilS < now.wall || !context_.state().job(entry.first);
    });
}

const Reservation* Preemption::reservation(const std::string& job) const {
    auto entry = reservations_.find(job);
    return entry == reservations_.end() ? nullptr : &entry->second;
}

void Preemption::preempt(const Plan& plan, Timestamp now) {
    if (plan.unmet.empty()) return;
    Pass pass{plan, now, queueOrder_.jobs_over_quota(), {}};
    int jobs = 0;
    for (const UnmetDemand& unmet : plan.unmet) {
        const bool startsSoon = unmet.earliestStartS - now.wall < context_.settings().heartbeatIntervalS;
        if (startsSoon || reservations_.count(unmet.job->id)) continue;
        if (++jobs > kMaxJobsPerPlan) break;
        std::vector<Place> chosen = choose_places(pass, unmet, candidate_places(pass, unmet));
        drop_costly(pass, unmet, chosen);
        if (!chosen.empty()) execute(pass, unmet, chosen);
    }
}

bool Preemption::may_preempt(const Pass& pass, const UnmetDemand& unmet, const TaskRef& task) {
    const wire::JobSpec& spec = *unmet.job->spec;
    const wire::JobSpec& victim = *task.job->spec;
    const bool lowerPriority = victim.priority > spec.priority;
    const bool borrowsCapacity =
        !unmet.overQuota && victim.team != spec.team && pass.overQuota.count(task.job) && !victim.service();
    if (!lowerPriority && !borrowsCapacity) return false;
    return task.job != unmet.job && !task.job->multi_task_gang() && !pass.preempted.count({task.job, task.index});
}

double Preemption::preemption_cost_s(const TaskRef& task, const Machine& machine, Timestamp now) const {
    const wire::JobSpec& spec = *task.job->spec;
    const double intervalS = context_.settings().heartbeatIntervalS;
    const double runtimeS = now.wall - task.job->task(task.index, context_.state().chunk_size()).placedAtS;
    const double leftS = occupied_s(spec) - runtimeS;
    // Raises the cost of tasks that are about to end, so that they are preempted last.
    const double aboutToEndS = leftS < intervalS ? spec.estimatedDurationS : 0;
    return lost_work_s(spec, machine, runtimeS) + aboutToEndS + intervalS;
}

void Preemption::collect_victims(const Pass& pass, const UnmetDemand& unmet, std::size_t machine,
                                 std::vector<Victim>& victims) const {
    victims.clear();
    for (const TaskRef& task : pass.plan.hosts[machine]->placed)
        if (may_preempt(pass, unmet, task))
            victims.push_back({task, preemption_cost_s(task, pass.plan.machines[machine], pass.now)});
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) { return a.costS < b.costS; });
}

std::vector<Preemption::Place> Preemption::candidate_places(const Pass& pass, const UnmetDemand& unmet) const {
    const Resources need = need_of(*unmet.job->spec);
    const placement::Request request = model_.request_of(*unmet.job);
    std::vector<Place> places;
    std::vector<Victim> victims;
    for (std::size_t i = 0; i < pass.plan.machines.size(); ++i) {
        const Machine& machine = pass.plan.machines[i];
        if (!request.allowed[machine.nodePool] || !need.fits(machine.total)) continue;
        collect_victims(pass, unmet, i, victims);
        add_places(pass, unmet, i, victims, places);
    }
    std::stable_sort(places.begin(), places.end(), [](const Place& a, const Place& b) { return a.costS < b.costS; });
    return places;
}

void Preemption::add_places(const Pass& pass, const UnmetDemand& unmet, std::size_t machineIndex,
                            const std::vector<Victim>& victims, std::vector<Place>& places) {
    const wire::JobSpec& spec = *unmet.job->spec;
    const Machine& machine = pass.plan.machines[machineIndex];
    const bool gang = unmet.job->multi_task_gang();
    const Resources need = need_of(spec);
    // Without victims the free capacity is of use to a gang only, which may need victims for its other places.
    if (victims.empty() && !gang) return;
    Resources free = placement::free_at(machine, pass.now.wall);
    if (victims.empty() && !placement::fit_count(free, need)) return;
    const double cachedAt = machine.cache ? machine.cache->ready_at(spec.image, pass.now.wall) : -1;
    const double fetchS = cachedAt < 0 ? spec.imageGb / machine.fetchGbPerS : std::max(0.0, cachedAt - pass.now.wall);
    std::size_t nextVictim = 0;
    for (std::uint32_t count = 0; count < unmet.tasks; ++count) {
        Place place{machineIndex, fetchS, {}};
        while (!need.fits(free) && nextVictim < victims.size()) {
            const Victim& victim = victims[nextVictim++];
            free += need_of(*victim.task.job->spec);
            place.costS += victim.costS;
            place.victims.push_back(victim.task);
        }
        if (!need.fits(free)) return;
        free = free - need;
        if (gang || !place.victims.empty()) places.push_back(std::move(place));
    }
}

std::vector<Preemption::Place> Preemption::choose_places(const Pass& pass, const UnmetDemand& unmet,
                                                         std::vector<Place> places) {
    const bool gang = unmet.job->multi_task_gang();
    if (gang && unmet.job->spec->coLocated) return choose_in_one_zone(pass, unmet, places);
    if (places.size() > unmet.tasks) places.resize(unmet.tasks);
    if (gang && places.size() < unmet.tasks) places.clear();
    return places;
}

std::vector<Preemption::Place> Preemption::choose_in_one_zone(const Pass& pass, const UnmetDemand& unmet,
                                                              std::vector<Place>& places) {
    std::vector<Place> chosen;
    std::map<std::uint32_t, std::vector<Place*>> byZone;
    for (Place& place : places) {
        auto& zonePlaces = byZone[pass.plan.machines[place.machine].zone];
        zonePlaces.push_back(&place);
        if (zonePlaces.size() < unmet.tasks) continue;
        for (Place* zonePlace : zonePlaces) chosen.push_back(std::move(*zonePlace));
        break;
    }
    return chosen;
}

void Preemption::drop_costly(const Pass& pass, const UnmetDemand& unmet, std::vector<Place>& chosen) {
    while (!chosen.empty() && pass.now.wall + chosen.back().costS > unmet.earliestStartS) {
        if (unmet.job->multi_task_gang())
            chosen.clear();
        else
            chosen.pop_back();
    }
}

void Preemption::execute(Pass& pass, const UnmetDemand& unmet, const std::vector<Place>& chosen) {
    const double stopS = kStopIntervals * context_.settings().heartbeatIntervalS;
    Reservation reservation{{}, pass.now.wall};
    for (const Place& place : chosen) {
        const HostRecord& host = *pass.plan.hosts[place.machine];
        reservation.hosts.push_back(host.name);
        for (const TaskRef& victim : place.victims) {
            pass.preempted.insert({victim.job, victim.index});
            reservation.untilS =
                std::max(reservation.untilS, pass.now.wall + victim.job->spec->checkpointWriteS + stopS);
            if (context_.leads_host(&host)) preempt_task(victim, host, *unmet.job, pass.now);
        }
    }
    reservations_[unmet.job->id] = std::move(reservation);
}

void Preemption::preempt_task(const TaskRef& victim, const HostRecord& host, const state::Job& preemptor,
                              Timestamp now) {
    HostTracker& tracker = hosts_.track(host.name);
    if (!tracker.evictions.try_emplace({victim.job->id, victim.index}, now.steady).second) return;
    spdlog::info("preempting task {}/{} on host {} in favour of job {}", victim.job->id, victim.index, host.name,
                 preemptor.id);
    schedule_.mark_due(host);
}

}  // namespace wellstair::scheduling
