// The state of a simulated run: controllers, workers, jobs and the state service, and who can reach whom. The run
// (SimulatedCluster), the checks (ClusterInvariants) and the failure report work on it.
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

// A job as its user knows it.
struct SubmittedJob {
    wire::JobSpec spec;
    bool accepted = false;
    bool cancelRequested = false;        // the answer may have been lost
    double cancelConfirmedS = -1;        // when the user was first told that it is cancelled; -1: never
    double waitingDespiteCapacityS = 0;  // after the faults: for how long a machine has had room for it
    std::set<std::uint32_t> completed;   // tasks that have ended with success
    std::string finalPhase;              // the first final phase that a controller told

    // Whether it may not run any more: the user was told of its cancellation more than kCancelS ago.
    bool cancelOverdue(double nowS) const { return cancelConfirmedS >= 0 && nowS > cancelConfirmedS + kCancelS; }
    // Whether all of its tasks have ended with success.
    bool complete() const { return completed.size() == spec.taskCount; }
};

struct ClusterState {
    Scenario scenario{"mix"};
    double nowS = 0;
    InMemoryStateStore store;
    std::deque<SimulatedController> controllers;
    std::deque<SimulatedWorker> workers;
    std::map<std::string, SubmittedJob> jobs;
    std::map<std::string, double> zoneIsolatedUntilS;
    int startedTasks = 0;      // tasks started
    int acceptedServices = 0;  // services accepted

    // The simulated clock as a controller sees it.
    controller::Timestamp timestamp() const { return {nowS, 1'000'000 + nowS}; }
    // Whether the step that begins now is the one of the time `atS`.
    bool step_contains(double atS) const { return nowS >= atS && nowS < atS + kStepS; }

    bool zone_isolated(const std::string& zone) const;
    // Whether nothing gets from a process in one zone to one in another. The state service belongs to no zone.
    bool partitioned(const std::string& zone, const std::string& other) const;
    bool has_store(const SimulatedController& controller) const;
    // Whether the state service answers the controller and its process serves users.
    bool accepts_requests(const SimulatedController& controller) const;
    bool can_reach(const SimulatedController& controller, const SimulatedWorker& worker) const;

    // The present machine of that name, or null.
    SimulatedWorker* find_worker(const std::string& name);
    std::size_t index_of(const SimulatedController& controller) const;
    // The process that sent a request, if it still runs, or null.
    controller::Core* process(std::size_t controller, std::uint64_t incarnation);

    // Brings the controller's cache of the state up to date, if the state service answers it.
    void sync(SimulatedController& controller);
    // Applies operations that come from no controller under test, without preconditions.
    void write_unconditionally(wire::Json operations);

    // How many tasks of a job run.
    std::uint32_t running_tasks(const std::string& job) const;
    // Whether every accepted job has ended, or, as a service, runs all of its replicas.
    bool all_jobs_settled() const;
};

}  // namespace wellstair::test
