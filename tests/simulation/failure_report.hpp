// Texts for the message of a failed check: what the run looked like at that moment.
//
// Owns nothing, changes nothing but the caches that a lookup fills. Single-threaded test support.
#pragma once

#include <string>

#include "simulation/cluster_state.hpp"

namespace wellstair::test {

// Where a job's tasks are, as the controller has it, and what each controller knows of their machines.
std::string describe_tasks(ClusterState& cluster, SimulatedController& controller, const std::string& job);
// Every change of the state service whose key names the job, one line each.
std::string describe_store_history(const ClusterState& cluster, const std::string& job);
// All machines with their tasks, and all jobs that are not over.
std::string describe_cluster(ClusterState& cluster);

}  // namespace wellstair::test
