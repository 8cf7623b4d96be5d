// The invariants of a simulated run, checked as GTest expectations: no task runs twice at a time, teams stay within
// their quota, tasks run where the constraints of their job allow, cancelled jobs stop in time, no controller considers
// a lease expired before the worker does, final phases do not change, and no job waits while machines have capacity for
// it.
//
// Refers to the state of the run and owns nothing. Single-threaded test support.
#pragma once

#include <map>
#include <string>

#include "simulation/cluster_state.hpp"

namespace wellstair::test {

class ClusterInvariants {
  public:
    explicit ClusterInvariants(ClusterState& cluster) : cluster_(cluster) {}

    // Called before a worker starts a task.
    void check_start(const SimulatedWorker& worker, const workers::TaskAttempt& attempt) const;
    // Called at the end of every step.
    void check_step();
    // Called when a user requests the status of an accepted job or repeats its submission: the controller must know it.
    void check_accepted_job(SimulatedController& controller, const std::string& id, const SubmittedJob& job) const;
    // Called at the end of the run: at every controller each accepted job must have ended or, as a service, run.
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

    // Cores of the machine in use, or reserved by placements, whichever is more.
    double allocated_cores(const SimulatedWorker& worker, state::StateCache& state) const;
    // Whether the job waits although a zone has capacity for it within the quota of its team.
    bool waits_despite_capacity(const std::string& id, const SubmittedJob& job, const CoresByTeam& used,
                                state::StateCache& state) const;

    ClusterState& cluster_;
};

}  // namespace wellstair::test
