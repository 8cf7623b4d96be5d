// The cloud role: only the process that holds it calls the cloud API (machine types, machine list, scale-out,
// scale-in).
//
// The role is a key in the state service, attached to the holder's member lease. Keeps no state of its own.
// Single-threaded, does no I/O.
#pragma once

#include <cstdint>

#include "leadership/controller_context.hpp"
#include "state/transaction_builder.hpp"

namespace wellstair::autoscaling {

class CloudRole {
  public:
    explicit CloudRole(const leadership::ControllerContext& context) : context_(context) {}

    // Whether this process holds the role. An earlier process of the same member name does not count: it holds the role
    // until its own lease expires.
    bool held_here() const;
    // Whether the role is free, or held by an earlier process of the same member name.
    bool may_acquire() const;
    // Adds the acquisition to the transaction, attached to this process's own lease. A role taken over by name alone
    // would end with the lease of the earlier process, possibly during a call of this one.
    bool acquire(state::TransactionBuilder& builder, std::uint64_t memberLeaseId) const;
    // To be checked before each call: the role ends with the member's lease, which may expire while a call is in
    // progress.
    bool may_call_cloud() const;

  private:
    const leadership::ControllerContext& context_;
};

}  // namespace wellstair::autoscaling
