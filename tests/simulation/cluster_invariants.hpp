// Every rule that a simulated run is checked against, each as GTest expectations: no task runs twice, teams stay within
// their quota, tasks are placed where their job allows, cancelled jobs stop in time, no lease is counted as ended
// before the worker's own count, final phases stand, and no job waits beside a machine with room.
//
// Owns nothing but a reference to the state of the run. Single-threaded test support.
#pragma once

#include <map>
#include <string>

#include "simulation/cluster_state.hpp"

namespace wellstair::test {

class ClusterInvariants {
  public:
    explicit ClusterInvariants(ClusterState& cluster) : cluster_(cluster) {}

    // Checked when a worker is about to start a task.
    void check_start(const SimulatedWorker& worker, const workers::TaskKey& task) const;
    // Checked at the end of every step.
    void check_step();
    // Checked when a user asks about an accepted job, or repeats its submission.
    void check_accepted_job(SimulatedController& controller, const std::string& id, const SubmittedJob& job) const;
    // Checked when the run is over: every accepted job has ended or serves, at every controller.
    void check_end();

  private:
    using CoresByTeam = std::map<std::string, double>;

    void check_single_instance(const SimulatedWorker& worker, const workers::TaskKey& task) const;
    void check_placement(const SimulatedWorker& worker, const wire::JobSpec& spec) const;
    CoresByTeam check_cancellations() const;
    void check_leases() const;
    void check_quota(CoresByTeam& used) const;
    void check_waiting_jobs(CoresByTeam used);
    void check_job_phases(SimulatedController& controller);
    void check_job_phase(SimulatedController& controller, const std::string& id, SubmittedJob& job,
                         const std::string& phase) const;
    void check_final_phase(SimulatedController& controller, const std::string& id, const SubmittedJob& job) const;
    void check_run_coverage() const;

    // Cores of the machine that tasks use, or that are placed on it and not there yet.
    double allocated_cores(const SimulatedWorker& worker, state::StateCache& state) const;
    // Whether the job waits although some zone has room and its team may use it.
    bool waits_despite_capacity(const std::string& id, const SubmittedJob& job, const CoresByTeam& used,
                                state::StateCache& state) const;

    ClusterState& cluster_;
};

}  // namespace wellstair::test
