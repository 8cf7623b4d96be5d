// Answers to workers' heartbeats. An answer of 200 renews the worker's lease: here it is granted, and counted.
#include <spdlog/spdlog.h>

#include "controller/core.hpp"

namespace wellstair::controller {

using state::HostState;
using workers::HostTracker;

HeartbeatResponse Core::handle_heartbeat(const wire::Heartbeat& r, Timestamp now) {
    using Decision = failover::Admission::Decision;
    const failover::Admission admission = failover_.admit(r, now);
    HeartbeatResponse answer;
    if (admission.decision == Decision::redirect) {
        answer.kind = HeartbeatResponse::redirect;
        answer.leader = admission.leader;
    } else if (admission.decision == Decision::acquire) {
        answer.kind = HeartbeatResponse::acquiring;
        failover_.request_acquisition(r);
    } else if (admission.decision == Decision::accept && renew_lease(r, now)) {
        reconciler_.apply_status(r, workers::StatusSource::heartbeat, now);
        answer.kind = HeartbeatResponse::renewed;
        answer.token = context_.state().host(r.host)->fencingToken;
        answer.commands = commands_for(r.host, false, now);
    }
    return answer;
}

bool Core::renew_lease(const wire::Heartbeat& r, Timestamp now) {
    HostTracker& n = hosts_.track(r.host);
    const bool countedAsEnded = n.state == HostState::expired && r.agentEpoch == n.lease.agent_epoch();
    const workers::WorkerLease before = n.lease;
    if (!n.lease.renew(r.agentEpoch, r.sequence, now.steady)) {
        heartbeatStatistics_.record_stale_heartbeat();
        spdlog::debug("heartbeat {}/{} of {} is rejected as stale: lease {}", r.agentEpoch, r.sequence, r.host,
                      before.describe(now.steady));
        return false;
    }
    const bool overtaken = !n.is_newer(r);
    heartbeatStatistics_.record_renewal(before.age(now.steady) / settings_.leaseS, overtaken);
    if (countedAsEnded) {
        heartbeatStatistics_.record_return_after_expiry();
        spdlog::warn("host {} sends heartbeats in an agent epoch whose lease was counted as expired: {}", r.host,
                     before.describe(now.steady));
    }
    if (overtaken)
        spdlog::debug("heartbeat {}/{} of {} was overtaken by {}/{}: its answer renews the lease, which was {}",
                      r.agentEpoch, r.sequence, r.host, n.agentEpoch, n.sequence, before.describe(now.steady));
    return true;
}

void Core::handle_command_reply(const wire::Heartbeat& r, Timestamp now) {
    reconciler_.apply_status(r, workers::StatusSource::command_reply, now);
}

}  // namespace wellstair::controller
