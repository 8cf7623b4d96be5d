// Responses to workers' heartbeats. A response of 200 renews the worker's lease; it is granted and recorded here.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

using state::HostState;
using workers::HostTracker;

namespace {

std::size_t ended_attempts(const wire::Heartbeat& heartbeat) {
    return static_cast<std::size_t>(std::count_if(heartbeat.tasks.begin(), heartbeat.tasks.end(), [](const auto& task) {
        return task.phase == wire::TaskPhase::ended;
    }));
}

}  // namespace

HeartbeatResponse Core::handle_heartbeat(const wire::Heartbeat& heartbeat, Timestamp now) {
    using Decision = failover::Admission::Decision;
    const failover::Admission admission = failover_.admit(heartbeat, now);
    HeartbeatResponse response;
    if (admission.decision == Decision::redirect) {
        response.kind = HeartbeatResponse::redirect;
        response.leader = admission.leader;
    } else if (admission.decision == Decision::acquire) {
        response.kind = HeartbeatResponse::acquiring;
        failover_.request_acquisition(heartbeat);
    } else if (admission.decision == Decision::accept && renew_lease(heartbeat, now)) {
        reconciler_.apply_status(heartbeat, workers::StatusSource::heartbeat, now);
        response.kind = HeartbeatResponse::renewed;
        heartbeatStatistics_.record_ended_attempts(ended_attempts(heartbeat));
        const std::uint64_t tokenBefore = hosts_.track(heartbeat.host).fencingToken;
        response.commands = hostCommands_.commands_for(heartbeat.host, commands::Channel::heartbeat_response, now);
        response.token = hosts_.track(heartbeat.host).fencingToken;
        if (response.token > tokenBefore) heartbeatStatistics_.record_raised_token();
    }
    return response;
}

bool Core::renew_lease(const wire::Heartbeat& heartbeat, Timestamp now) {
    HostTracker& tracker = hosts_.track(heartbeat.host);
    const bool takenAsExpired =
        tracker.state == HostState::expired && heartbeat.agentEpoch == tracker.lease.last_answered().agentEpoch;
    const workers::WorkerLease leaseBefore = tracker.lease;
    if (!tracker.renew_lease(heartbeat, now.steady)) {
        heartbeatStatistics_.record_stale_heartbeat();
        spdlog::debug("heartbeat {}/{} of host {} rejected as stale: lease {}", heartbeat.agentEpoch,
                      heartbeat.sequence, heartbeat.host, leaseBefore.describe(now.steady));
        return false;
    }
    const bool overtaken = !tracker.is_newer(heartbeat);
    heartbeatStatistics_.record_renewal(leaseBefore.renewal_age(now.steady) / settings_.leaseS, overtaken);
    if (takenAsExpired) {
        heartbeatStatistics_.record_return_after_expiry();
        spdlog::warn(
            "host {} sends heartbeats in agent epoch {} although its lease was taken to have expired: lease {}",
            heartbeat.host, heartbeat.agentEpoch, leaseBefore.describe(now.steady));
    }
    if (overtaken)
        spdlog::debug("heartbeat {}/{} of host {} was overtaken by status {}/{}: it renews the lease, which was {}",
                      heartbeat.agentEpoch, heartbeat.sequence, heartbeat.host, tracker.agentEpoch, tracker.sequence,
                      leaseBefore.describe(now.steady));
    return true;
}

void Core::handle_command_reply(const wire::Heartbeat& status, Timestamp now) {
    reconciler_.apply_status(status, workers::StatusSource::command_reply, now);
}

}  // namespace wellstair::controller
