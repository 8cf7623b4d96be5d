#include "scheduling/queue_order.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "placement/overload.hpp"
#include "placement/room.hpp"
#include "scheduling/duration_estimates.hpp"

namespace wellstair::scheduling {

using placement::DueJob;
using placement::FreeCapacityCurve;
using placement::Machine;
using state::Job;
using state::JobState;
using state::Task;
using state::TaskState;

namespace {

constexpr double kTolerance = 1e-9;  // for rounding errors in sums of resources
// The remaining duration of a running task is at least its estimate divided by this.
constexpr double kMinRemainingDivisor = 5;

// Free capacity by job class: the jobs of a class mostly have the same resource needs.
using CurveByClass = std::map<std::string, FreeCapacityCurve>;

// Reorders the jobs at these positions of the queue; `order` holds indices into `places`.
void rearrange(std::vector<QueuedJob>& queue, const std::vector<std::size_t>& places,
               const std::vector<std::size_t>& order) {
    std::vector<QueuedJob> sorted;
    sorted.reserve(order.size());
    for (std::size_t k : order) sorted.push_back(queue[places[k]]);
    for (std::size_t k = 0; k < places.size(); ++k) queue[places[k]] = sorted[k];
}

// Whether the jobs have the same priority and are both within or both beyond their guarantees.
bool same_group(const QueuedJob& a, const QueuedJob& b) {
    return a.priority == b.priority && a.overQuota == b.overQuota;
}

}  // namespace

std::set<const Job*> QueueOrder::jobs_over_quota() const {
    struct Used {
        double cores = 0, gpus = 0;
    };
    std::set<const Job*> overQuota;
    std::map<std::string, Used> usedByTeam;
    for (const auto& [order, job] : context_.state().queue()) {
        if (job->state != JobState::active || job->done == job->spec->taskCount) continue;
        const wire::JobSpec& spec = *job->spec;
        Used& used = usedByTeam[spec.team];
        const double left = spec.taskCount - job->done;
        used.cores += spec.cores * left;
        used.gpus += spec.gpus * left;
        const config::Team* team = context_.settings().team(spec.team);
        if (!team || used.cores > team->cpus + kTolerance || used.gpus > team->gpus + kTolerance) overQuota.insert(job);
    }
    return overQuota;
}

std::vector<QueuedJob> QueueOrder::ordered_queue(const std::vector<Machine>& machines, Timestamp now) const {
    std::vector<QueuedJob> queue;
    const std::set<const Job*> overQuota = jobs_over_quota();
    for (const auto& [order, job] : context_.state().queue())
        if (job->state == JobState::active && job->open() > 0)
            queue.push_back({job, static_cast<int>(job->spec->priority), overQuota.count(job) > 0});
    std::stable_sort(queue.begin(), queue.end(), [](const QueuedJob& a, const QueuedJob& b) {
        return std::pair(a.priority, a.overQuota) < std::pair(b.priority, b.overQuota);
    });
    order_for_machines(queue, machines, now);
    order_within_team_limits(queue, now);
    put_lost_replicas_first(queue);
    ageing_.put_aged_first(queue, now);
    return queue;
}

void QueueOrder::put_lost_replicas_first(std::vector<QueuedJob>& queue) const {
    // The queue is sorted by priority at this point.
    for (auto first = queue.begin(); first != queue.end();) {
        auto last = std::find_if(first, queue.end(),
                                 [&](const QueuedJob& queued) { return queued.priority != first->priority; });
        std::stable_partition(first, last, [](const QueuedJob& queued) { return queued.job->lost_replica(); });
        first = last;
    }
}

std::vector<double> QueueOrder::due_times(const wire::JobSpec& spec, bool overQuota) const {
    std::vector<double> due;
    for (const config::Objective& objective : context_.settings().objectives) {
        const bool within = objective.withinS > 0;
        // An objective for the start of a job makes it due one run time later.
        if (objective.kind == "guarantee" && !overQuota && within)
            due.push_back(objective.withinS + spec.estimatedDurationS);
        if (objective.jobClass != spec.jobClass) continue;
        if (objective.kind == "deadline" && spec.deadlineS)
            due.push_back(*spec.deadlineS * (objective.deadlineMultiple > 0 ? objective.deadlineMultiple : 1));
        if (objective.kind == "finished" && within) due.push_back(objective.withinS);
        if (objective.kind == "wait" && within) due.push_back(objective.withinS + spec.estimatedDurationS);
    }
    if (due.empty() && spec.deadlineS) due.push_back(*spec.deadlineS);
    std::sort(due.begin(), due.end());
    return due;
}

void QueueOrder::order_for_machines(std::vector<QueuedJob>& queue, const std::vector<Machine>& machines,
                                    Timestamp now) const {
    CurveByClass curves;
    double ahead = 0;  // fraction of the capacity that jobs of earlier groups take
    for (std::size_t first = 0, last; first < queue.size(); first = last) {
        std::vector<DueJob> jobs;
        std::vector<const FreeCapacityCurve*> jobCurves;
        std::vector<std::size_t> places;
        double demand = ahead;
        bool overloaded = false;
        for (last = first; last < queue.size() && same_group(queue[first], queue[last]); ++last) {
            QueuedJob& queued = queue[last];
            const wire::JobSpec& spec = *queued.job->spec;
            auto entry = curves.find(spec.jobClass);
            if (entry == curves.end())
                entry = curves
                            .try_emplace(spec.jobClass,
                                         FreeCapacityCurve(machines, model_.request_of(*queued.job), now.wall))
                            .first;
            const FreeCapacityCurve& curve = entry->second;
            jobCurves.push_back(&curve);
            places.push_back(last);
            queued.capacityShare =
                curve.total_tasks() ? static_cast<double>(queued.job->open()) / curve.total_tasks() : 0;
            const double waitedS = now.wall - static_cast<double>(queued.job->submittedAtS);
            DueJob dueJob{queued.capacityShare, 0, due_times(spec, queued.overQuota)};
            for (double& dueS : dueJob.dueTimes)
                dueS -= spec.estimatedDurationS + waitedS;  // latest start instead of latest end
            dueJob.dueTimes.push_back(JobAgeing::kGangAgeingLeases * context_.settings().leaseS - waitedS);
            jobs.push_back(std::move(dueJob));
            demand += queued.capacityShare;
            overloaded = overloaded || demand > curve.fraction_free_within(0);
        }
        if (overloaded && jobs.size() > 1) {
            const auto capacity = [&](std::size_t job, double dueS) {
                return jobCurves[job]->fraction_free_within(dueS);
            };
            rearrange(queue, places, placement::order_by_due(jobs, capacity, ahead));
        }
        ahead = demand;
    }
}

void QueueOrder::order_within_team_limits(std::vector<QueuedJob>& queue, Timestamp now) const {
    using TeamPriority = std::pair<std::string, int>;
    std::map<TeamPriority, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < queue.size(); ++i)
        if (!due_times(*queue[i].job->spec, queue[i].overQuota).empty())
            groups[{queue[i].job->spec->team, queue[i].priority}].push_back(i);
    for (const auto& [key, places] : groups) {
        const config::Team* team = context_.settings().team(key.first);
        if (team && places.size() >= 2) order_within_team_limit(queue, places, *team, now);
    }
}

void QueueOrder::order_within_team_limit(std::vector<QueuedJob>& queue, const std::vector<std::size_t>& places,
                                         const config::Team& team, Timestamp now) const {
    double demand = 0;
    const bool byGpu = team.gpusMax > 0 && queue[places[0]].job->spec->gpus > 0;
    const double limit = byGpu ? team.gpusMax : team.cpusMax;
    std::vector<DueJob> jobs;
    for (std::size_t place : places) {
        const Job& job = *queue[place].job;
        const wire::JobSpec& spec = *job.spec;
        const double perTask = byGpu ? spec.gpus : spec.cores;
        demand += perTask * (spec.taskCount - job.done);
        DueJob dueJob{remaining_s(job, now) * perTask, spec.estimatedDurationS,
                      due_times(spec, queue[place].overQuota)};
        for (double& dueS : dueJob.dueTimes) dueS -= now.wall - job.submittedAtS;
        jobs.push_back(std::move(dueJob));
    }
    if (limit <= 0 || demand <= limit) return;
    const auto capacity = [&](std::size_t, double dueS) { return limit * dueS; };
    rearrange(queue, places, placement::order_by_due(jobs, capacity));
}

double QueueOrder::remaining_s(const Job& job, Timestamp now) const {
    const double runS = turnover_s(*job.spec, context_.settings());
    double remaining = job.open() * runS;
    for (const state::Chunk& chunk : job.chunks) {
        if (!chunk.placed) continue;
        for (const Task& task : chunk.tasks)
            if (task.state == TaskState::placed)
                remaining += std::max(runS / kMinRemainingDivisor, runS - (now.wall - task.placedAtS));
    }
    return remaining;
}

}  // namespace wellstair::scheduling
