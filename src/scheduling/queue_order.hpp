// Order in which queued jobs are placed: by priority and guarantee, and under overload by which due times can be met.
//
// Keeps the state of priority ageing; all else is computed from the cached state. Not thread-safe; does no I/O.
#pragma once

#include <set>
#include <vector>

#include "leadership/controller_context.hpp"
#include "placement/lem.hpp"
#include "scheduling/job_ageing.hpp"
#include "scheduling/placement_model.hpp"
#include "scheduling/queued_job.hpp"

namespace wellstair::scheduling {

class QueueOrder {
  public:
    QueueOrder(const leadership::ControllerContext& context, const PlacementModel& model)
        : context_(context), model_(model), ageing_(context) {}

    // All jobs with open tasks, in the order in which they are to be placed.
    std::vector<QueuedJob> ordered_queue(const std::vector<placement::Machine>& machines, Timestamp now) const;
    // Jobs beyond their team's guarantee. A job is within the guarantee if it fits together with the unfinished jobs
    // that the team submitted before it.
    std::set<const state::Job*> jobs_over_quota() const;
    // Records the start of this many tasks of an aged job, which counts against the share of aged jobs.
    void record_aged_start(const QueuedJob& queued, std::uint32_t tasks, Timestamp now) {
        ageing_.record_start(queued, tasks, now);
    }

  private:
    // If demand exceeds the free capacity of the machines, submission order would make one job after another late. Jobs
    // of one priority, separately within and beyond the guarantees, are then ordered by which can still start in time.
    // Also sets the capacity share of each job.
    void order_for_machines(std::vector<QueuedJob>& queue, const std::vector<placement::Machine>& machines,
                            Timestamp now) const;
    // If a team's demand exceeds its limit, its jobs of one priority are ordered by which can still meet their due
    // times. All other jobs keep their order.
    void order_within_team_limits(std::vector<QueuedJob>& queue, Timestamp now) const;
    // The same for the jobs of one team and priority, which are at these positions of the queue.
    void order_within_team_limit(std::vector<QueuedJob>& queue, const std::vector<std::size_t>& places,
                                 const config::Team& team, Timestamp now) const;
    // Services that have lost a replica go before new work of the same priority, since their users notice at once.
    void put_lost_replicas_first(std::vector<QueuedJob>& queue) const;
    // Seconds that the job's open and running tasks still run, summed over the tasks. Multiplied by the cores or GPUs
    // of a task, this is the part of the team's limit that the job still uses.
    double remaining_s(const state::Job& job, Timestamp now) const;
    // Due times of such a job by the objectives and its deadline, in seconds from its submission, earliest first.
    std::vector<double> due_times(const wire::JobSpec& spec, bool overQuota) const;

    const leadership::ControllerContext& context_;
    const PlacementModel& model_;
    JobAgeing ageing_;
};

}  // namespace wellstair::scheduling
