// What has been asked for of late: arrivals by job class, and what one job of each team and priority takes.
//
// Owns these notes, which the queue of the cached state feeds. Read by planning, which keeps room for jobs of higher
// priority, and by autoscaling, which rents ahead of demand. Single-threaded, free of I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "leadership/controller_context.hpp"
#include "placement/lem.hpp"

namespace wellstair::scheduling {

struct JobArrival {
    double atS = 0;  // steady time of the submission
    std::uint32_t tasks = 0;
};

struct ClassArrivals {
    wire::JobSpec latestSpec;         // the newest job of the class
    std::deque<JobArrival> arrivals;  // within DemandHistory::window_s

    double tasks() const;
};

class DemandHistory {
  public:
    explicit DemandHistory(const leadership::ControllerContext& context) : context_(context) {}

    // Counts queued jobs that have not been counted yet, and forgets arrivals older than the window.
    void record_arrivals(Timestamp now);
    // Notes what the queued jobs take, by team and priority.
    void record_needs(Timestamp now);

    // By name of the job class.
    const std::map<std::string, ClassArrivals>& by_class() const { return byClass_; }
    // Seconds for which arrivals are counted.
    double window_s() const;
    // Cores and GPUs that the team's next jobs of all priorities above this one take, one job of each.
    placement::Resources need_of_higher_priorities(const std::string& team, int priority) const;

  private:
    using TeamPriority = std::pair<std::string, int>;  // a lower number is a higher priority
    // The most that one job takes: all tasks of a gang or service, one task of a batch.
    struct JobNeed {
        double cores = 0, gpus = 0;
        double lastSeenS = -1e9;  // steady time
    };

    const leadership::ControllerContext& context_;
    std::map<std::string, ClassArrivals> byClass_;
    std::map<TeamPriority, JobNeed> needs_;
    std::set<std::string> countedJobs_;  // jobs
};

}  // namespace wellstair::scheduling
