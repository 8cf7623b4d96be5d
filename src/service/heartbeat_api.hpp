// The workers' heartbeats. A machine that comes for the first time is answered when its registration is durable.
// Owns nothing of its own. One io_context thread.
// Errors (PROTOCOL, workers): 400 for what is not a heartbeat, 421 when another controller leads the machine, 503 with
// Retry-After when this one may not act for the controllers now, or the registration takes too long.
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
