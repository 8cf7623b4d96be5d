// Draws the consequences of how tasks end: back-off of jobs, quarantine of hosts.
//
// A task that fails puts its host into quarantine, for most failures are the host's fault. A job that fails on several
// hosts is at fault itself: it backs off, and the hosts are cleared of its failures. Neither lasts for ever.
//
// Owns nothing: job histories are in JobHistories, those of hosts in their trackers. Single-threaded, free of I/O.
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

    // A heartbeat of the host shows, for the first time, that this attempt of the task has ended.
    void record_task_end(workers::HostTracker& tracker, const std::string& host, const workers::TaskKey& key,
                         const workers::ObservedTask& observed, Timestamp now);

  private:
    // A replica that ends again and again, for whatever cause, is restarted with growing pauses.
    void record_replica_end(const std::string& service, const std::string& host, Timestamp now);
    void record_completion(workers::HostTracker& tracker, const std::string& job, bool service);
    void record_error(workers::HostTracker& tracker, const std::string& host, const workers::TaskKey& key, bool service,
                      Timestamp now);
    void record_refused_start(const std::string& host, const workers::TaskKey& key, wire::Cause cause, Timestamp now);

    const leadership::ControllerContext& context_;
    JobHistories& histories_;
};

}  // namespace wellstair::reconciliation
