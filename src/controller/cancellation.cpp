// Cancellations that are known to be confirmed, and the machines that may still hold a cancelled task.
#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

using state::HostRecord;
using state::HostState;
using state::Job;
using state::JobState;
using state::TaskRef;
using workers::HostTracker;

bool Core::cancelled(const std::string& id) const {
    if (const auto* f = state_->final(id)) return f->state == JobState::aborted;
    if (cancelled_.count(id)) return true;
    const Job* job = state_->job(id);
    return job && job->state == JobState::cancelled;
}

bool Core::cancelled(const Job& job) const {
    return job.state == JobState::cancelled || (!cancelled_.empty() && cancelled_.count(job.id));
}

std::vector<std::string> Core::cancellations() const {
    std::vector<std::string> out(cancelled_.begin(), cancelled_.end());
    for (const auto& [order, job] : state_->queue())
        if (job->state == JobState::cancelled && !cancelled_.count(job->id)) out.push_back(job->id);
    return out;
}

void Core::record_cancellations(const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
        if (cancelled(id) || !cancelled_.insert(id).second) continue;
        if (const Job* job = state_->job(id)) mark_job_due(*job);
    }
}

// A start of a cancelled task that had no answer can execute for as long as the machine's session lasts.
bool Core::may_start_cancelled(const HostRecord& h) const {
    auto it = trackers_.find(h.name);
    if (it == trackers_.end()) return false;
    return std::any_of(h.placed.begin(), h.placed.end(), [&](const TaskRef& ref) {
        if (!cancelled(*ref.job)) return false;
        auto sent = it->second.starts.find({ref.job->id, ref.index});
        return sent != it->second.starts.end() && !sent->second.seen &&
               (sent->second.inFlight > 0 || sent->second.unanswered > 0);
    });
}

// A machine that hangs does nothing and may go on with what it has: whether its worker counts the lease meanwhile is
// not ours to know. If it has a cancelled task, the cloud's word has to come before cancel_s is over. Half of that is
// longer than a machine that is well is ever quiet, and leaves the cloud's role to change hands and the call to be
// repeated.
bool Core::holds_cancelled(const HostRecord& h, const HostTracker& n, Timestamp now) const {
    constexpr double kPart = 0.55;
    // Back from an outage, all machines have been quiet for as long: they are given time to heartbeat.
    if (now.steady - liveSinceS_ < 3 * settings_.heartbeatIntervalS) return false;
    if (n.state == HostState::silent || n.state == HostState::expired)
        // Cancelled after its last heartbeat, or it would have ended the task on the answer to that.
        return n.lease.age(now.steady) > kPart * settings_.cancelS &&
               std::any_of(n.tasks.begin(), n.tasks.end(), [&](const auto& t) {
                   return t.second.phase != wire::TaskPhase::ended && cancelled(t.first.first);
               });
    // Taken over from another leader, and it has not been heard here: what it holds is known by the store alone.
    return n.state == HostState::led && now.steady - n.unconfirmedS > 2 * settings_.heartbeatIntervalS &&
           std::any_of(h.placed.begin(), h.placed.end(), [&](const TaskRef& ref) {
               return ref.job->state == state::JobState::cancelled &&
                      now.wall - static_cast<double>(ref.job->cancelledAtS) > kPart * settings_.cancelS;
           });
}

}  // namespace wellstair::controller
