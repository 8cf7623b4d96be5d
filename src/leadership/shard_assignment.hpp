// Which controller each shard of hosts belongs to. All controllers compute the same without talking.
//
// Stateless beside the context. Single-threaded, free of I/O.
#pragma once

#include <string>

#include "leadership/controller_context.hpp"

namespace wellstair::leadership {

class ShardAssignment {
  public:
    explicit ShardAssignment(const ControllerContext& context) : context_(context) {}

    // The member that should lead the shard's hosts; empty if none lives.
    //
    // While all live, the controllers of the shard's zone (or all, if the zone has none) have equal parts of the
    // shards. The shards of one that has failed are spread over the live ones of that zone first.
    const std::string& preferred_leader(const state::HostShard& shard) const;
    bool assigned_to_self(const state::HostShard& shard) const;

  private:
    const ControllerContext& context_;
};

}  // namespace wellstair::leadership
