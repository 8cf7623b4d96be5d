// The order in which queued jobs get room: by priority and guarantee, and under overload by what can still be in time.
//
// Owns the ageing of jobs; all else is computed from the cached state. Single-threaded, free of I/O.
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

    // All jobs with open tasks, first the one that is placed first.
    std::vector<QueuedJob> ordered_queue(const std::vector<placement::Machine>& machines, Timestamp now) const;
    // Jobs beyond their team's guarantee. A job is within it if it fits together with the team's earlier unfinished
    // jobs.
    std::set<const state::Job*> jobs_over_quota() const;
    // So many tasks of an aged job start.
    void record_aged_start(const QueuedJob& queued, std::uint32_t tasks, Timestamp now) {
        ageing_.record_start(queued, tasks, now);
    }

  private:
    // Where more is asked for than the machines have room for, submission order would make all jobs late one after the
    // other. Among the jobs of one priority, within or beyond the guarantees, the order then follows what can still
    // start in time.
    void order_for_machines(std::vector<QueuedJob>& queue, const std::vector<placement::Machine>& machines,
                            Timestamp now) const;
    // Where a team asks for more than its limit, the order among its jobs of one priority follows what can still be in
    // time. For all others submission order stays.
    void order_within_team_limits(std::vector<QueuedJob>& queue, Timestamp now) const;
    // The same for the jobs of one team and priority, which stand at these places of the queue.
    void order_within_team_limit(std::vector<QueuedJob>& queue, const std::vector<std::size_t>& places,
                                 const config::Team& team, Timestamp now) const;
    // A service that has lost a replica goes before new work of its priority: its users notice at once.
    void put_lost_replicas_first(std::vector<QueuedJob>& queue) const;
    // Seconds of a team's limit that the job's open and running tasks still take, without their number of cores.
    double remaining_s(const state::Job& job, Timestamp now) const;
    // By when users want such a job to be over, in seconds from its submission, soonest first.
    std::vector<double> due_times(const wire::JobSpec& spec, bool overQuota) const;

    const leadership::ControllerContext& context_;
    const PlacementModel& model_;
    JobAgeing ageing_;
};

}  // namespace wellstair::scheduling
