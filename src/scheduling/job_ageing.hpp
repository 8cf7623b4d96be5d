// Priority ageing: jobs that have waited for many leases go first, within a share of the capacity that becomes free.
//
// Prevents starvation by priority, due time or size. Under lasting overload many jobs have aged; if they got all of the
// capacity, no other job would meet its due time, so the times at which the next aged job may go first are limited by
// rate. Not thread-safe; does no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "leadership/controller_context.hpp"
#include "scheduling/queued_job.hpp"

namespace wellstair::scheduling {

class JobAgeing {
  public:
    // Leases after which a waiting gang of several tasks has aged. This is sooner than for a batch, which can start
    // with capacity for one task; a gang needs capacity for all of its tasks at once.
    static constexpr double kGangAgeingLeases = 5;

    explicit JobAgeing(const leadership::ControllerContext& context) : context_(context) {}

    // Marks the aged jobs that may go first now and moves them to the front, in the order of the queue. They are chosen
    // by submission, oldest first. By age alone all would become late in turn, so jobs that are already too late are
    // chosen after the others, except in every fourth lease.
    void put_aged_first(std::vector<QueuedJob>& queue, Timestamp now) const;
    // Charges the start of this many tasks of an aged job to the share.
    void record_start(const QueuedJob& queued, std::uint32_t tasks, Timestamp now) {
        charge_share(nextStart_, queued, tasks, now);
    }

  private:
    // Steady times, in seconds, from which the next aged job may go first: in the whole cluster and by team.
    struct NextStart {
        double clusterS = 0;
        std::map<std::string, double> byTeamS;
    };

    // The jobs of the queue that have aged and fit below their team's limit.
    std::vector<QueuedJob*> aged_jobs(std::vector<QueuedJob>& queue, Timestamp now) const;
    // Whether the tasks that have to start together, all of a gang or one of any other job, fit below the team's limit.
    bool fits_team_limit(const wire::JobSpec& spec) const;
    // Postpones the next start of an aged job. A scarce resource, the machines or a team's limit, becomes free once per
    // run time or so: tasks that take a fraction of it take that fraction of what becomes free in that time. Both are
    // charged: if only the machines were, aged jobs of a team at its limit would take all of that limit, and none of
    // the team's other jobs would meet its due time.
    void charge_share(NextStart& next, const QueuedJob& queued, std::uint32_t tasks, Timestamp now) const;

    const leadership::ControllerContext& context_;
    NextStart nextStart_;
};

}  // namespace wellstair::scheduling
