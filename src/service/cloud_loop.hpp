// Calls the cloud API while this controller holds the cloud role: machine types, machine list, scale-in and scale-out.
// Owns the times of the last reads, and the counter for the ids of rent requests.
// One io_context thread. A call may take seconds, so the role is checked again before each one.
// Errors: a failed call is repeated in a later iteration of the loop. A rent request is retried once with the same id,
// by which the cloud recognises the duplicate.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cloud/client.hpp"
#include "common/timestamp.hpp"
#include "service/availability_monitor.hpp"
#include "service/committer.hpp"
#include "service/loop_context.hpp"
#include "service/membership_loop.hpp"
#include "service/read_barrier.hpp"

namespace wellstair::service {

class CloudLoop {
  public:
    CloudLoop(LoopContext context, cloud::Client& cloud, MembershipLoop& membership, AvailabilityMonitor& availability,
              ReadBarrier& readBarrier, Committer& committer)
        : context_(context),
          cloud_(cloud),
          membership_(membership),
          availability_(availability),
          readBarrier_(readBarrier),
          committer_(committer) {}

    // Acquires the role when it is free, and performs its calls while it is held. Never returns.
    asio::awaitable<void> run();

  private:
    // Re-evaluates the availability and returns whether this controller may call the cloud now.
    bool may_call();
    asio::awaitable<void> acquire_role();
    asio::awaitable<void> refresh_types(double nowS);
    asio::awaitable<void> write_types(std::vector<wire::MachineType> types);
    asio::awaitable<void> refresh_machines(double nowS);
    asio::awaitable<void> scale_in();
    asio::awaitable<void> scale_out();
    asio::awaitable<cloud::RentResult> rent(controller::ScaleOutRequest request);
    asio::awaitable<void> commit(state::TransactionBuilder builder);
    // An id for a rent request that no process of any controller uses a second time.
    std::string next_request_id();

    LoopContext context_;
    cloud::Client& cloud_;
    MembershipLoop& membership_;
    AvailabilityMonitor& availability_;
    ReadBarrier& readBarrier_;
    Committer& committer_;
    double lastTypesReadS_ = kNeverS, lastMachinesReadS_ = kNeverS;  // steady clock
    std::uint64_t rentRequestCount_ = 0;
};

}  // namespace wellstair::service
