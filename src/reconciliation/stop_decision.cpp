#include "reconciliation/stop_decision.hpp"

namespace wellstair::reconciliation {

bool must_stop(const leadership::CancellationRegistry& cancellations, const state::Job& job, const state::Task& task) {
    if (cancellations.cancelled(job)) return true;
    if (!job.multi_task_gang()) return false;
    return job.gang_state() == state::GangState::partial || (job.stopAttempt && job.stopAttempt == task.attempt);
}

}  // namespace wellstair::reconciliation
