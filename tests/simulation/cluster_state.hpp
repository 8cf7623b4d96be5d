// The state of a simulated run: controllers, workers, jobs, the state service and the connectivity between them. It is
// shared by the simulation (SimulatedCluster), the checks (ClusterInvariants) and the failure report.
//
// Owns all of these. Single-threaded test support; all times are seconds of the simulated clock.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "in_memory_state_store.hpp"
#include "simulation/scenario.hpp"
#include "simulation/simulated_controller.hpp"
#include "simulation/simulated_worker.hpp"

namespace wellstair::test {

// A job in the view of its user.
struct SubmittedJob {
    wire::JobSpec spec;
    bool accepted = false;
    bool cancelRequested = false;        // whether or not a reply arrived
    double cancelConfirmedS = -1;        // when the user first learned of the cancellation; -1: never
    double waitingDespiteCapacityS = 0;  // after the faults: how long it has waited despite free capacity
    std::set<std::uint32_t> completed;   // tasks that have succeeded
    std::string finalPhase;              // the first final phase that a controller reported

    // Whether no task may run any more: the user learned of the cancellation more than kCancelS ago.
    bool cancelOverdue(double nowS) const { return cancelConfirmedS >= 0 && nowS > cancelConfirmedS + kCancelS; }
    // Whether all of its tasks have succeeded.
    bool complete() const { return completed.size() == spec.taskCount; }
};

// The simulated cluster at one moment.
struct ClusterState {
    Scenario scenario{"random_faults"};
    double nowS = 0;
    InMemoryStateStore store;
    std::uint32_t chunkSize = 0;  // tasks in a stored chunk
    std::deque<SimulatedController> controllers;
    std::deque<SimulatedWorker> workers;
    std::map<std::string, SubmittedJob> jobs;
    std::map<std::string, double> zoneIsolatedUntilS;
    int startedTasks = 0;       // number of tasks started
    int submittedServices = 0;  // number of services submitted; one without a reply may run as well
    int acceptedServices = 0;   // number of services accepted

    // The simulated time as the monotonic and wall-clock times of a controller.
    controller::Timestamp timestamp() const { return {nowS, 1'000'000 + nowS}; }
    // Whether `atS` falls into the present step.
    bool step_contains(double atS) const { return nowS >= atS && nowS < atS + kStepS; }

    // Whether the zone is disconnected from other zones and from the state service.
    bool zone_isolated(const std::string& zone) const;
    // Whether the network between the two zones is partitioned. The state service belongs to no zone.
    bool partitioned(const std::string& zone, const std::string& other) const;
    // Whether the controller is connected to the state service.
    bool has_store(const SimulatedController& controller) const;
    // Whether the controller handles requests of users: it serves and is connected to the state service.
    bool accepts_requests(const SimulatedController& controller) const;
    // Whether messages between the controller and the worker arrive.
    bool can_reach(const SimulatedController& controller, const SimulatedWorker& worker) const;

    // The worker of that name whose machine is present, or null.
    SimulatedWorker* find_worker(const std::string& name);
    std::size_t index_of(const SimulatedController& controller) const;
    // The process of that incarnation, or null if it no longer runs.
    controller::Core* process(std::size_t controller, std::uint64_t incarnation);

    // Applies all changes to the controller's cache, if it is connected to the state service.
    void sync(SimulatedController& controller);
    // Commits operations without preconditions, for writers other than the code under test.
    void write_unconditionally(wire::Json operations);

    // Whether the state service holds the intent to start this attempt on the worker.
    bool placed(const SimulatedWorker& worker, const workers::TaskAttempt& attempt) const;
    // The number of running tasks of the job.
    std::uint32_t running_tasks(const std::string& job) const;
    // Whether every accepted job has ended or, as a service, runs all of its replicas.
    bool all_jobs_settled() const;
};

}  // namespace wellstair::test
