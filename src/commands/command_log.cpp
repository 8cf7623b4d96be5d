#include "commands/command_log.hpp"

#include <spdlog/spdlog.h>

namespace wellstair::commands {

namespace {

const char* name(Channel channel) {
    return channel == Channel::direct ? "direct request" : "heartbeat response";
}

const char* name(StopReason reason) {
    switch (reason) {
        case StopReason::job_cancelled:
            return "its job is cancelled";
        case StopReason::gang_stops:
            return "its gang stops";
        case StopReason::leaves_host:
            return "it leaves the host";
        case StopReason::not_placed:
            return "it is not placed there";
    }
    return "";
}

}  // namespace

void log_start(const wire::Command& start, const state::HostRecord& host, const workers::HostTracker& tracker,
               Channel channel, Timestamp now) {
    spdlog::info(
        "start of task {}/{} attempt {} sent to host {} by {} under fencing token {}: agent epoch {} ({}), the host "
        "has shown token {}, lease {}",
        start.job, start.index, start.attempt, host.name, name(channel), tracker.fencingToken, tracker.agentEpoch,
        tracker.in_unanswered_epoch() ? "no heartbeat of it answered" : "a heartbeat of it answered", tracker.seenToken,
        tracker.lease.describe(now.steady));
}

void log_stop(const wire::Command& stop, const state::HostRecord& host, const workers::HostTracker& tracker,
              Channel channel, StopReason reason) {
    spdlog::info("stop of task {}/{} attempt {} sent to host {} by {} under fencing token {}, {:.0f} s of grace: {}",
                 stop.job, stop.index, stop.attempt, host.name, name(channel), tracker.fencingToken, stop.gracePeriodS,
                 name(reason));
}

void log_acknowledgement(const wire::Command& acknowledgement, const state::HostRecord& host,
                         const workers::HostTracker& tracker, Channel channel) {
    spdlog::info(
        "acknowledgement of task {}/{} attempt {} sent to host {} by {} under fencing token {}: starts were sent "
        "directly up to token {}, and none is in transit",
        acknowledgement.job, acknowledgement.index, acknowledgement.attempt, host.name, name(channel),
        tracker.fencingToken, tracker.directStartsUnder);
}

}  // namespace wellstair::commands
