#include "service/availability_monitor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::service {

using state::Availability;

leadership::AvailabilityLimits AvailabilityMonitor::limits() const {
    return {context_.settings.cancelS, context_.settings.leaseS};
}

leadership::AvailabilitySignals AvailabilityMonitor::signals() const {
    const controller::Core& core = context_.core;
    const double nowS = net::steady_now();
    const double readS = std::max(reader_.last_read_s(),
                                  peerStatus_.cancellation_barrier().acknowledged_until(core.peer_incarnations()));
    leadership::AvailabilitySignals out;
    out.registered = core.member_revision() != 0;
    out.storeContactAgeS = nowS - store_.last_contact();
    out.cancellationsReadAgeS = nowS - readS;
    out.hasPeers = !context_.settings.members.empty();
    out.peerHeard = core.peer_heard(now());
    out.peerReachesStore = core.peer_has_state_service(now());
    out.disconnectedS = nowS - disconnectedSinceS_;
    out.readFailedS = readBarrier_.failed_since_s() > 0 ? nowS - readBarrier_.failed_since_s() : 0;
    return out;
}

void AvailabilityMonitor::update() {
    controller::Core& core = context_.core;
    const Availability current = core.availability();
    const Availability next = leadership::next_availability(current, signals(), limits());
    if (next != current) log_change(signals());
    if (next == Availability::disconnected && current != Availability::disconnected)
        disconnectedSinceS_ = net::steady_now();
    core.set_availability(next, now());
}

bool AvailabilityMonitor::healthy() const {
    return leadership::healthy(context_.core.availability(), context_.core.state_ready(), signals(), limits());
}

void AvailabilityMonitor::log_change(const leadership::AvailabilitySignals& signals) const {
    spdlog::info(
        "availability changes: registered {}, state service responded {:.3f} s ago, cancellations read {:.3f} s ago "
        "(limit {:.3f} s), peer heard {}, peer reaches the state service {}",
        signals.registered, signals.storeContactAgeS, signals.cancellationsReadAgeS,
        leadership::answer_window(limits()), signals.peerHeard, signals.peerReachesStore);
}

}  // namespace wellstair::service
