#include "leadership/cancellation_registry.hpp"

#include <algorithm>

namespace wellstair::leadership {

using state::HostRecord;
using state::HostState;
using state::Job;
using state::JobState;
using state::TaskRef;
using workers::HostTracker;

namespace {

// Fraction of `cancel_s` for which a silent host may keep a cancelled task before it is returned to the cloud. It
// exceeds the longest silence of a healthy host; the remainder allows for a change of the controller that holds the
// cloud role and for a retry of the call.
constexpr double kReturnAfterFraction = 0.55;
// Heartbeat intervals after an outage during which no host counts as silent, so that all can report again.
constexpr double kGraceHeartbeats = 3;
// Heartbeat intervals that a host has to confirm a new leader after a takeover.
constexpr double kConfirmationHeartbeats = 2;

}  // namespace

bool CancellationRegistry::cancelled(const std::string& id) const {
    if (const auto* final = context_.state().outcome(id)) return final->state == JobState::aborted;
    if (uncached_.count(id)) return true;
    const Job* job = context_.state().job(id);
    return job && job->state == JobState::cancelled;
}

bool CancellationRegistry::cancelled(const Job& job) const {
    return job.state == JobState::cancelled || (!uncached_.empty() && uncached_.count(job.id));
}

std::vector<std::string> CancellationRegistry::all() const {
    std::vector<std::string> jobs(uncached_.begin(), uncached_.end());
    for (const auto& [order, job] : context_.state().queue())
        if (job->state == JobState::cancelled && !uncached_.count(job->id)) jobs.push_back(job->id);
    return jobs;
}

void CancellationRegistry::record(const std::vector<std::string>& jobs) {
    for (const std::string& id : jobs) {
        if (cancelled(id) || !uncached_.insert(id).second) continue;
        if (const Job* job = context_.state().job(id)) schedule_.mark_job_due(*job);
    }
}

void CancellationRegistry::forget_cached() {
    std::erase_if(uncached_, [&](const std::string& id) {
        const Job* job = context_.state().job(id);
        return context_.state().outcome(id) || (job && job->state == JobState::cancelled);
    });
}

bool CancellationRegistry::may_start_cancelled(const HostRecord& host) const {
    const HostTracker* tracker = hosts_.find(host.name);
    if (!tracker) return false;
    return std::any_of(host.placed.begin(), host.placed.end(), [&](const TaskRef& ref) {
        if (!cancelled(*ref.job)) return false;
        auto sent = tracker->starts.find({ref.job->id, ref.index});
        return sent != tracker->starts.end() && !sent->second.seen &&
               (sent->second.inFlight > 0 || sent->second.unanswered > 0);
    });
}

// A host that hangs may resume with the tasks that it had. Whether its worker's lease expires meanwhile is unknown, so
// the lease proves nothing here.
bool CancellationRegistry::holds_cancelled(const HostRecord& host, const HostTracker& tracker, Timestamp now) const {
    const config::Settings& settings = context_.settings();
    if (now.steady - context_.serving_since() < kGraceHeartbeats * settings.heartbeatIntervalS) return false;
    if (tracker.state == HostState::silent || tracker.state == HostState::expired)
        // The cancellation came after the last heartbeat: the answer to that would have ended the task otherwise.
        return tracker.lease.renewal_age(now.steady) > kReturnAfterFraction * settings.cancelS &&
               std::any_of(tracker.tasks.begin(), tracker.tasks.end(), [&](const auto& entry) {
                   return entry.second.phase != wire::TaskPhase::ended && cancelled(entry.first.first);
               });
    // Taken over from another leader without a heartbeat since: only the stored state tells what the host runs.
    return tracker.state == HostState::led &&
           now.steady - tracker.unconfirmedS > kConfirmationHeartbeats * settings.heartbeatIntervalS &&
           std::any_of(host.placed.begin(), host.placed.end(), [&](const TaskRef& ref) {
               return ref.job->state == JobState::cancelled &&
                      now.wall - static_cast<double>(ref.job->cancelledAtS) > kReturnAfterFraction * settings.cancelS;
           });
}

}  // namespace wellstair::leadership
