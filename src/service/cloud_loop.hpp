// The calls to the cloud, by the one controller that holds the cloud role: machine types, the list of machines, scale
// in and scale out. Owns when types and list were last read, and the numbering of requests for machines.
// One io_context thread. Whether the role is still held is judged before each call, which may take seconds.
// Errors: a call that fails is made again in a later turn of the loop; a request for machines is repeated once under
// the same name, by which the cloud knows it as the same request.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cloud/client.hpp"
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

    // Takes the role when it is free and does its work, for ever.
    asio::awaitable<void> run();

  private:
    bool may_call();
    asio::awaitable<void> acquire_role();
    asio::awaitable<void> refresh_types(double nowS);
    asio::awaitable<void> write_types(std::vector<wire::MachineType> types);
    asio::awaitable<void> refresh_machines(double nowS);
    asio::awaitable<void> scale_in();
    asio::awaitable<void> scale_out();
    asio::awaitable<cloud::RentResult> rent(controller::ScaleOutRequest request);
    asio::awaitable<void> commit(state::TransactionBuilder builder);
    std::string next_request_id();

    LoopContext context_;
    cloud::Client& cloud_;
    MembershipLoop& membership_;
    AvailabilityMonitor& availability_;
    ReadBarrier& readBarrier_;
    Committer& committer_;
    double lastTypesReadS_ = -1e9, lastMachinesReadS_ = -1e9;  // steady clock
    std::uint64_t rentRequestCount_ = 0;
};

}  // namespace wellstair::service
