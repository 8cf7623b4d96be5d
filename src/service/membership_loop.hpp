// Maintains this controller's membership: a lease of the state service, and the member key attached to it. The key is
// removed when the lease expires, which tells the other controllers that this process is gone.
// Owns the id of the lease. One io_context thread.
// Errors: a failed request is retried after a short, random pause; an expired lease is replaced by a new one.
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

    // Acquires the lease, registers under it, and renews it. Never returns.
    asio::awaitable<void> run();

    // The lease that the keys of this process are attached to; 0 if there is none.
    std::uint64_t lease_id() const { return leaseId_; }

    // Discards the lease, which the state service no longer knows, so that a new one is acquired.
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
