// Recent demand: arrivals by job class, and the resources that one job of each team and priority requires.
//
// Recorded from the queue in the cached state. Planning reserves capacity for jobs of higher priority by it, and
// autoscaling rents machines ahead of demand. Not thread-safe; does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "common/timestamp.hpp"
#include "leadership/controller_context.hpp"
#include "placement/lem.hpp"

namespace wellstair::scheduling {

// One submitted job.
struct JobArrival {
    double atS = 0;  // steady time of the submission, in seconds
    std::uint32_t tasks = 0;
};

// The recent arrivals of one job class.
struct ClassArrivals {
    wire::JobSpec latestSpec;         // of the job that was counted last
    std::deque<JobArrival> arrivals;  // within DemandHistory::window_s

    // Total number of tasks of these arrivals.
    double tasks() const;
};

class DemandHistory {
  public:
    explicit DemandHistory(const leadership::ControllerContext& context) : context_(context) {}

    // Records the queued jobs that have not been counted yet, and removes arrivals older than the window.
    void record_arrivals(Timestamp now);
    // Updates the largest need of a queued job by team and priority, and removes needs that were not seen for long.
    void record_needs(Timestamp now);

    // Arrivals within the window, by name of the job class.
    const std::map<std::string, ClassArrivals>& by_class() const { return byClass_; }
    // Length of the window in which arrivals are counted, in seconds.
    double window_s() const;
    // Cores and GPUs that the team's jobs of higher priority need together, counting one job of each such priority. A
    // lower number is a higher priority.
    placement::Resources need_of_higher_priorities(const std::string& team, int priority) const;

  private:
    using TeamPriority = std::pair<std::string, int>;  // a lower number is a higher priority
    // Maximum that one job needs at once: all tasks of a gang or service, one task of a batch.
    struct JobNeed {
        double cores = 0, gpus = 0;
        double lastSeenS = kNeverS;  // steady time
    };

    const leadership::ControllerContext& context_;
    std::map<std::string, ClassArrivals> byClass_;
    std::map<TeamPriority, JobNeed> needs_;
    std::set<std::string> countedJobs_;  // ids of jobs whose arrival has been recorded
};

}  // namespace wellstair::scheduling
