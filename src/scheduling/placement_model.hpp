// Turns the cached state into the machines and requests that placement works on.
//
// Owns the numbering of node pools (machine type, zone, spot or not) and zones; numbers are given out as hosts are met
// and never change. Single-threaded, free of I/O.
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

// All hosts that can take tasks, sorted by name.
struct ClusterSnapshot {
    std::vector<state::HostRecord*> hosts;
    std::vector<placement::Machine> machines;  // by the same index
};

class PlacementModel {
  public:
    PlacementModel(const leadership::ControllerContext& context, const HostEligibility& eligibility,
                   const workers::HostTable& hosts, const TuningOptions& options)
        : context_(context), eligibility_(eligibility), hosts_(hosts), options_(options) {}

    ClusterSnapshot snapshot(Timestamp now);
    // What the job asks for, without `count` and `replicaMachines`. Valid for the node pools known by now.
    placement::Request request_of(const state::Job& job) const;
    // Tasks like those of `spec`, without constraints among them: to see where further ones would find room.
    placement::Request unconstrained_request(const wire::JobSpec& spec, std::uint32_t count) const;
    // The weights of LEM (PAPER section IV, algorithm 5) for so many machines.
    placement::Weights weights(std::size_t machines) const;

  private:
    struct NodePool {
        std::string machineType, zone;
        bool spot = false;
    };

    placement::Machine machine_of(const state::HostRecord& host, Timestamp now);
    // What the task holds on the machine; `tracker` is that of a host that is led here.
    placement::Allocation allocation_of(const state::TaskRef& ref, const placement::Machine& machine,
                                        const workers::HostTracker* tracker, Timestamp now) const;
    void add_tasks_per_zone(const state::Job& job, placement::Request& request) const;
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
