#include "reconciliation/job_history.hpp"

#include <algorithm>

namespace wellstair::reconciliation {

bool JobHistories::backing_off(const std::string& job, Timestamp now) const {
    auto it = histories_.find(job);
    return it != histories_.end() && now.steady < it->second.notBeforeS;
}

double JobHistories::open_since(const state::Job& service) const {
    const auto submitted = static_cast<double>(service.submittedAtS);
    auto lost = replicaLostAtS_.find(service.id);
    return lost == replicaLostAtS_.end() ? submitted : std::max(submitted, lost->second);
}

void JobHistories::forget_ended(state::StateCache& state) {
    std::erase_if(replicaLostAtS_, [&](const auto& entry) { return !state.job(entry.first); });
}

}  // namespace wellstair::reconciliation
