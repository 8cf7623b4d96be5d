// Applies job back-off and host quarantine according to how tasks end.
//
// A failed task puts its host into quarantine, because most failures are caused by the host. A job that fails on
// several hosts is taken to be the cause itself: the job backs off, and its failures no longer count against the hosts.
// Both back-off and quarantine are bounded in time.
//
// Owns nothing: the failures of jobs are kept in JobHistories, those of hosts in their trackers. Single-threaded, free
// of I/O.
#pragma once

#include <string>

#include "common/timestamp.hpp"
#include "leadership/controller_context.hpp"
#include "reconciliation/job_history.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::reconciliation {

class TaskFailureRecorder {
  public:
    TaskFailureRecorder(const leadership::ControllerContext& context, JobHistories& histories)
        : context_(context), histories_(histories) {}

    // Handles the end of a task. Called once for each attempt, when a status of the host first lists it as ended.
    void record_task_end(workers::HostTracker& tracker, const std::string& host, const workers::TaskKey& key,
                         const workers::ObservedTask& observed, Timestamp now);

  private:
    // Restarts of a replica that ends repeatedly, for whatever cause, are delayed with exponential back-off.
    void record_replica_end(const std::string& service, const std::string& host, Timestamp now);
    // Clears the host's failures and, unless it is a service, those of the job.
    void record_completion(workers::HostTracker& tracker, const std::string& job, bool service);
    // Quarantines the host, or backs off the job once it has failed on several hosts.
    void record_error(workers::HostTracker& tracker, const std::string& host, const workers::TaskKey& key, bool service,
                      Timestamp now);
    // Delays the next start of the job's tasks by a part of the heartbeat interval.
    void record_refused_start(const std::string& host, const workers::TaskKey& key, wire::Cause cause, Timestamp now);

    const leadership::ControllerContext& context_;
    JobHistories& histories_;
};

}  // namespace wellstair::reconciliation
