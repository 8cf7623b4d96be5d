// The cloud role: the one process at a time that calls the cloud (machine types, machine list, scale-out, scale-in).
//
// The role is a key of the state service attached to the holder's member lease. Stateless beside the context.
// Single-threaded, free of I/O.
#pragma once

#include <cstdint>

#include "leadership/controller_context.hpp"
#include "state/transaction_builder.hpp"

namespace wellstair::autoscaling {

class CloudRole {
  public:
    explicit CloudRole(const leadership::ControllerContext& context) : context_(context) {}

    // Whether this very process holds the role. An earlier process of the same name holds it until its lease expires.
    bool held_here() const;
    // Whether the role is free, or held by an earlier process of this name.
    bool may_acquire() const;
    // Adds the acquisition to the transaction, on this process's own lease: inherited by name alone the role would end
    // with the lease of the earlier process, in the middle of this one's calls.
    bool acquire(state::TransactionBuilder& builder, std::uint64_t memberLeaseId) const;
    // Asked before each call: the role lasts as long as the member's lease, which may expire while a call is under way.
    bool may_call_cloud() const;

  private:
    const leadership::ControllerContext& context_;
};

}  // namespace wellstair::autoscaling
