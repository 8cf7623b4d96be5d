// Handles the heartbeats of workers. The first heartbeat of a host is answered once its registration is durable.
// Stateless. One io_context thread.
// Errors (PROTOCOL, workers): 400 for an invalid heartbeat, 421 if another controller leads the host, 503 with
// Retry-After if this controller may not answer heartbeats now or the registration takes too long.
#pragma once

#include <string>

#include "api/server.hpp"
#include "service/availability_monitor.hpp"
#include "service/loop_context.hpp"

namespace wellstair::service {

class HeartbeatApi {
  public:
    HeartbeatApi(LoopContext context, AvailabilityMonitor& availability)
        : context_(context), availability_(availability) {}

    // POST /checkin with a MessagePack body.
    asio::awaitable<api::Response> heartbeat(std::string bytes);

  private:
    LoopContext context_;
    AvailabilityMonitor& availability_;
};

}  // namespace wellstair::service
