// Recent failures of each job, and the back-off that follows from them.
//
// Owns the histories. Written by reconciliation as heartbeats show how tasks end, read by scheduling. Single-threaded,
// free of I/O.
#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "common/timestamp.hpp"
#include "state/state_cache.hpp"

namespace wellstair::reconciliation {

// Times are seconds on the steady clock.
struct JobHistory {
    std::set<std::string> failedOn;  // hosts on which tasks of the job have failed
    int failures = 0;                // failed tasks, or for a service, ends of its replicas in a row
    double notBeforeS = kNeverS;     // no task of the job is started before this time
    double lastFailureS = kNeverS;   // last end of a replica; only kept for services
};

class JobHistories {
  public:
    // Returns the job's history; creates an empty one if there is none.
    JobHistory& get_or_create(const std::string& job) { return histories_[job]; }
    void erase(const std::string& job) { histories_.erase(job); }
    // Whether the job is in back-off after failures or refused starts.
    bool backing_off(const std::string& job, Timestamp now) const;

    // Records that the service has lost a replica.
    void record_lost_replica(const std::string& service, Timestamp now) { replicaLostAtS_[service] = now.wall; }
    // Wall-clock time in seconds since which the service has had a replica to start: its submission or the last loss of
    // a replica, whichever is later.
    double open_since(const state::Job& service) const;
    // Removes the recorded losses of services that have ended.
    void forget_ended(state::StateCache& state);

  private:
    std::unordered_map<std::string, JobHistory> histories_;
    std::unordered_map<std::string, double> replicaLostAtS_;  // by service: wall-clock time in seconds
};

}  // namespace wellstair::reconciliation
