// Log lines for the commands that are sent to hosts: host, attempt, fencing token, channel, and what allows the
// command.
//
// Stateless, free of I/O but for the log.
#pragma once

#include "common/timestamp.hpp"
#include "state/entities.hpp"
#include "wire/messages.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::commands {

// How commands are sent. A direct request may be executed minutes later, also once more after it was answered; a
// response is dropped by the worker when it is late.
enum class Channel { heartbeat_response, direct };

// Why a task is stopped.
enum class StopReason { job_cancelled, gang_stops, leaves_host, not_placed };

void log_start(const wire::Command& start, const state::HostRecord& host, const workers::HostTracker& tracker,
               Channel channel, Timestamp now);
void log_stop(const wire::Command& stop, const state::HostRecord& host, const workers::HostTracker& tracker,
              Channel channel, StopReason reason);
void log_acknowledgement(const wire::Command& acknowledgement, const state::HostRecord& host,
                         const workers::HostTracker& tracker, Channel channel);

}  // namespace wellstair::commands
