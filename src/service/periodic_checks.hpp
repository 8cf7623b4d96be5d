// What time alone makes due: the availability, the write rate, the statistics in the log, and unused connections.
// Owns when the statistics were last logged. One io_context thread; no errors.
#pragma once

#include "service/availability_monitor.hpp"
#include "service/committer.hpp"
#include "service/loop_context.hpp"
#include "workers/command_channel.hpp"

namespace wellstair::service {

class PeriodicChecks {
  public:
    PeriodicChecks(LoopContext context, AvailabilityMonitor& availability, Committer& committer,
                   workers::CommandChannels& channels)
        : context_(context), availability_(availability), committer_(committer), channels_(channels) {}

    // Checks several times a second, for ever.
    asio::awaitable<void> run();

  private:
    void log_statistics();

    LoopContext context_;
    AvailabilityMonitor& availability_;
    Committer& committer_;
    workers::CommandChannels& channels_;
    double lastLoggedS_ = 0;
};

}  // namespace wellstair::service
