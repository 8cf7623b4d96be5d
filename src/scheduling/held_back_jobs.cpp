#include "scheduling/held_back_jobs.hpp"

#include <algorithm>

namespace wellstair::scheduling {

using state::Job;

namespace {

constexpr double kMaxHeldBackLeases = 2;  // for which a job may be held back

}  // namespace

void HeldBackJobs::record(const Job& job, Timestamp now) {
    heldBack_.try_emplace(job.id, HeldBack{now.steady, now.steady}).first->second.lastSeenS = now.steady;
}

void HeldBackJobs::remove_released(Timestamp now) {
    std::erase_if(heldBack_, [&](const auto& entry) {
        const Job* job = context_.state().job(entry.first);
        if (!job || job->placed + job->done > 0) return true;
        return now.steady - entry.second.lastSeenS > context_.settings().heartbeatIntervalS;
    });
}

bool HeldBackJobs::held_too_long(const HeldBack& heldBack, Timestamp now) const {
    return now.steady - heldBack.sinceS > kMaxHeldBackLeases * context_.settings().leaseS;
}

bool HeldBackJobs::held_too_long(const std::string& job, Timestamp now) const {
    auto entry = heldBack_.find(job);
    return entry != heldBack_.end() && held_too_long(entry->second, now);
}

bool HeldBackJobs::any_held_too_long(Timestamp now) const {
    return std::any_of(heldBack_.begin(), heldBack_.end(),
                       [&](const auto& entry) { return held_too_long(entry.second, now); });
}

}  // namespace wellstair::scheduling
