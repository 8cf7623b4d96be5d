// This controller's membership: a lease of the state service, and the member's record that is attached to it. The
// record vanishes with the lease, by which the other controllers learn that this one has ended.
// Owns the id of the lease. One io_context thread.
// Errors: what fails is tried again after a short, random pause; a lease that has ended is replaced by a new one.
#pragma once

#include <cstdint>

#include "service/availability_monitor.hpp"
#include "service/loop_context.hpp"
#include "service/read_barrier.hpp"
#include "store/client.hpp"

namespace wellstair::service {

class MembershipLoop {
  public:
    MembershipLoop(LoopContext context, store::Client& store, ReadBarrier& readBarrier,
                   AvailabilityMonitor& availability)
        : context_(context), store_(store), readBarrier_(readBarrier), availability_(availability) {}

    // Acquires the lease, registers, and renews, for ever.
    asio::awaitable<void> run();

    // The lease that keys of this process are attached to; 0: none.
    std::uint64_t lease_id() const { return leaseId_; }

    // The state service does not know the lease any more: a new one is acquired.
    void forget_lease() { leaseId_ = 0; }

  private:
    double lease_ttl_s() const;
    asio::awaitable<bool> acquire_lease();
    asio::awaitable<void> register_member();
    asio::awaitable<void> renew_lease();

    LoopContext context_;
    store::Client& store_;
    ReadBarrier& readBarrier_;
    AvailabilityMonitor& availability_;
    std::uint64_t leaseId_ = 0;
};

}  // namespace wellstair::service
