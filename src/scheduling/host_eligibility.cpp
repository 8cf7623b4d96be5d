#include "scheduling/host_eligibility.hpp"

namespace wellstair::scheduling {

using state::HostRecord;
using state::HostState;
using workers::HostTracker;

namespace {

// A planned start is overdue after the heartbeat interval divided by this.
constexpr double kOverdueStartDivisor = 6;
// Heartbeat intervals after which a host with an overdue start is retried.
constexpr double kRetryIntervals = 4;
// No task is planned for a peer's host within the heartbeat interval divided by this after its registration.
constexpr double kNewRegistrationDivisor = 2;

}  // namespace

bool HostEligibility::eligible(const HostRecord& host, Timestamp now) const {
    if (!host.registered() || host.returning() || !context_.state().member_live(host.leader)) return false;
    return context_.leads_host(&host) ? own_host_eligible(host, now) : peer_host_eligible(host, now);
}

bool HostEligibility::own_host_eligible(const HostRecord& host, Timestamp now) const {
    const HostTracker* tracker = hosts_.find(host.name);
    if (!tracker) return false;
    return tracker->state == HostState::confirmed && tracker->shows_leadership() && !tracker->preemptionAtS &&
           !tracker->needsFencing && !tracker->missedAnswers && now.steady >= tracker->quarantineUntilS;
}

bool HostEligibility::peer_host_eligible(const HostRecord& host, Timestamp now) const {
    const double intervalS = context_.settings().heartbeatIntervalS;
    const peers::ReceivedStatus* leader = peers_.find(host.leader);
    if (leader && leader->age(now) < intervalS && leader->status.is_unusable(host.name)) return false;
    if (start_overdue(host.name, now)) return false;
    // The leader of a host that has just registered still waits for the host to confirm the fencing token.
    return now.wall - host.registeredS > intervalS / kNewRegistrationDivisor;
}

bool HostEligibility::start_overdue(const std::string& host, Timestamp now) const {
    auto since = unstartedSinceS_.find(host);
    if (since == unstartedSinceS_.end()) return false;
    const double intervalS = context_.settings().heartbeatIntervalS;
    const double ageS = now.steady - since->second;
    return ageS > intervalS / kOverdueStartDivisor && ageS < kRetryIntervals * intervalS;
}

void HostEligibility::expect_start(const std::string& host, Timestamp now) {
    auto [since, inserted] = unstartedSinceS_.try_emplace(host, now.steady);
    const double retryAfterS = kRetryIntervals * context_.settings().heartbeatIntervalS;
    if (!inserted && now.steady - since->second > retryAfterS) since->second = now.steady;
}

}  // namespace wellstair::scheduling
