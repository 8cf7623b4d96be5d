// Periodic work: updates the availability and the write rate, logs statistics, and closes unused connections to hosts.
// Owns the time at which the statistics were last logged. One io_context thread; no errors.
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

    // Runs the checks several times a second. Never returns.
    asio::awaitable<void> run();

  private:
    void log_statistics();

    LoopContext context_;
    AvailabilityMonitor& availability_;
    Committer& committer_;
    workers::CommandChannels& channels_;
    double lastLoggedS_ = 0;  // steady clock
};

}  // namespace wellstair::service
