// Descriptions of the present state of a run, for the messages of failed checks.
//
// Owns nothing; apart from caches filled by lookups, changes nothing. Single-threaded test support.
#pragma once

#include <string>

#include "simulation/cluster_state.hpp"

namespace wellstair::test {

// The tasks of a job in the view of one controller, with every controller's tracker of their machines.
std::string describe_tasks(ClusterState& cluster, SimulatedController& controller, const std::string& job);
// The changes in the state service to keys that contain the job's name, one per line.
std::string describe_store_history(const ClusterState& cluster, const std::string& job);
// All present machines with their tasks, and all accepted jobs that are neither completed nor cancelled.
std::string describe_cluster(ClusterState& cluster);

}  // namespace wellstair::test
