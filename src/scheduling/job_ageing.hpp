// Jobs that have waited for many leases go first, within a share of the capacity that gets free.
//
// No order by priority, due time or size may keep a job waiting without end. Under lasting overload many jobs have
// waited for long; if they got all of the capacity, nothing else would be in time. Owns the times from which on the
// next such job may go first. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "leadership/controller_context.hpp"
#include "scheduling/queued_job.hpp"

namespace wellstair::scheduling {

class JobAgeing {
  public:
    // Leases after which a wide gang that waits has aged. It needs that sooner than an array, which begins with room
    // for one task; a gang needs room for all of its tasks at once.
    static constexpr double kGangAgeingLeases = 5;

    explicit JobAgeing(const leadership::ControllerContext& context) : context_(context) {}

    // Marks the jobs that have aged and may go first now, and moves them to the front in the order of the queue. The
    // longest wait is served first; but by age alone all would be late in turn, so those that are too late already
    // come behind the others, except in every fourth lease, which is theirs.
    void put_aged_first(std::vector<QueuedJob>& queue, Timestamp now) const;
    // So many tasks of an aged job start: uses up a part of the share.
    void record_start(const QueuedJob& queued, std::uint32_t tasks, Timestamp now) {
        charge_share(nextStart_, queued, tasks, now);
    }

  private:
    // Steady times in seconds from which on the next aged job may go first.
    struct NextStart {
        double clusterS = 0;
        std::map<std::string, double> byTeamS;
    };

    std::vector<QueuedJob*> aged_jobs(std::vector<QueuedJob>& queue, Timestamp now) const;
    // Whether the tasks that the job is to start at once, all of a gang or one of a batch, fit below the team's limit.
    bool fits_team_limit(const wire::JobSpec& spec) const;
    // What is scarce turns over once in about a run time, be it the machines or what a team may use: the part of each
    // that the tasks take is their part of what gets free in so many seconds. Both are counted: by the machines alone,
    // aged jobs of a team at its limit would take all of that limit, and none of its others would be in time.
    void charge_share(NextStart& next, const QueuedJob& queued, std::uint32_t tasks, Timestamp now) const;

    const leadership::ControllerContext& context_;
    NextStart nextStart_;
};

}  // namespace wellstair::scheduling
