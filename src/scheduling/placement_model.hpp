// Converts the cached state into the machines and requests that placement works on.
//
// Numbers the node pools (machine type, zone, spot flag) and the zones in the order in which hosts are first seen; a
// number never changes. Not thread-safe; does no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "leadership/controller_context.hpp"
#include "placement/lem.hpp"
#include "scheduling/host_eligibility.hpp"
#include "scheduling/tuning_options.hpp"
#include "workers/host_table.hpp"

namespace wellstair::scheduling {

// All hosts that can take new tasks, sorted by name.
struct ClusterSnapshot {
    std::vector<state::HostRecord*> hosts;
    std::vector<placement::Machine> machines;  // index as in `hosts`
};

class PlacementModel {
  public:
    PlacementModel(const leadership::ControllerContext& context, const HostEligibility& eligibility,
                   const workers::HostTable& hosts, const TuningOptions& options)
        : context_(context), eligibility_(eligibility), hosts_(hosts), options_(options) {}

    // The hosts that can take tasks now, with their current allocations. Numbers new node pools and zones.
    ClusterSnapshot snapshot(Timestamp now);
    // Placement request for the job's tasks, without `count` and `replicaMachines`. Covers the node pools known so far.
    placement::Request request_of(const state::Job& job) const;
    // Request for `count` tasks like those of `spec`, without constraints among the tasks: used to find the capacity
    // for further tasks of a job class.
    placement::Request unconstrained_request(const wire::JobSpec& spec, std::uint32_t count) const;
    // Weights of LEM (PAPER section IV, algorithm 5) for a cluster of this many machines.
    placement::Weights weights(std::size_t machines) const;

  private:
    // Machines of one type, zone and spot flag.
    struct NodePool {
        std::string machineType, zone;
        bool spot = false;
    };

    // The host as placement sees it.
    placement::Machine machine_of(const state::HostRecord& host, Timestamp now);
    // Resources that the task holds on the machine, and the time until which it is expected to hold them. `tracker`:
    // null unless this controller leads the host.
    placement::Allocation allocation_of(const state::TaskRef& ref, const placement::Machine& machine,
                                        const workers::HostTracker* tracker, Timestamp now) const;
    // Counts the job's placed tasks by zone.
    void add_tasks_per_zone(const state::Job& job, placement::Request& request) const;
    // Number of the zone or node pool; a new one is numbered.
    std::uint32_t zone_id(const std::string& zone);
    std::uint32_t node_pool_id(const std::string& machineType, const std::string& zone, bool spot);

    const leadership::ControllerContext& context_;
    const HostEligibility& eligibility_;
    const workers::HostTable& hosts_;
    const TuningOptions& options_;
    std::vector<NodePool> nodePools_;
    std::vector<std::string> zones_;
};

}  // namespace wellstair::scheduling
