// What has gone wrong with jobs of late, and for how long each is held back for it.
//
// Owns the histories. Written by reconciliation as heartbeats show how tasks end; read by scheduling. Single-threaded,
// free of I/O.
#pragma once

#include <set>
#include <string>
#include <unordered_map>

#include "common/timestamp.hpp"
#include "state/state_cache.hpp"

namespace wellstair::reconciliation {

struct JobHistory {
    std::set<std::string> failedOn;  // hosts on which a task of it has failed
    int failures = 0;
    double notBeforeS = -1e9;  // steady time before which none of its tasks is started
    double lastFailureS = -1e9;
};

class JobHistories {
  public:
    // Begins an empty history if there is none.
    JobHistory& get_or_create(const std::string& job) { return histories_[job]; }
    void erase(const std::string& job) { histories_.erase(job); }
    // Whether the job has to wait after failures or refused starts.
    bool backing_off(const std::string& job, Timestamp now) const;

    // A replica of the service has been lost.
    void record_lost_replica(const std::string& service, Timestamp now) { replicaLostAtS_[service] = now.wall; }
    // Since when the service has had a replica to be started, as time of day: its submission, or the last loss.
    double open_since(const state::Job& service) const;
    // Forgets the losses of jobs that are over.
    void forget_ended(state::StateCache& state);

  private:
    std::unordered_map<std::string, JobHistory> histories_;
    std::unordered_map<std::string, double> replicaLostAtS_;  // by service: time of day
};

}  // namespace wellstair::reconciliation
