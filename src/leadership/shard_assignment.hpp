// Assigns each shard of hosts to a controller. With the same cached members, all controllers compute the same
// assignment without communicating.
//
// Has no state but the context. Single-threaded, free of I/O.
#pragma once

#include <string>

#include "leadership/controller_context.hpp"

namespace wellstair::leadership {

class ShardAssignment {
  public:
    explicit ShardAssignment(const ControllerContext& context) : context_(context) {}

    // The member that should lead the shard's hosts; empty if no member is live.
    //
    // While all members are live, the controllers of the shard's zone (or all controllers, if the zone has none) have
    // equal numbers of its shards. The shards of a failed controller are spread over the live ones of that zone, and
    // over all live ones only if that zone has none.
    const std::string& preferred_leader(const state::HostShard& shard) const;
    // Whether this controller is the preferred leader.
    bool assigned_to_self(const state::HostShard& shard) const;

  private:
    const ControllerContext& context_;
};

}  // namespace wellstair::leadership
