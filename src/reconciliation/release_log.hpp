// Logs and counts releases of tasks: once for each decision, although a release is proposed again in each round until a
// transaction with it is applied.
//
// Owns the decisions that have not been applied yet. Single-threaded, free of I/O but for the log.
#pragma once

#include <cstdint>
#include <map>

#include "common/timestamp.hpp"
#include "reconciliation/decision_statistics.hpp"
#include "reconciliation/termination_proof.hpp"
#include "state/entities.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::reconciliation {

class ReleaseLog {
  public:
    explicit ReleaseLog(DecisionStatistics& statistics) : statistics_(statistics) {}

    // Records that a release is proposed. `tracker`: null if this controller does not track the host.
    void record(const state::TaskRef& ref, std::uint32_t attempt, const state::HostRecord& host,
                const workers::HostTracker* tracker, const TerminationProof& proof, Timestamp now);
    // Forgets the decision on a task, which has changed in the cached state.
    void forget(const workers::TaskKey& task) { proposed_.erase(task); }
    // Forgets all decisions, because the cached state is read again.
    void clear() { proposed_.clear(); }

  private:
    // The decision that was logged for a task.
    struct Decision {
        std::uint32_t attempt = 0;
        ProofKind proof = ProofKind::none;
        bool operator==(const Decision&) const = default;
    };

    DecisionStatistics& statistics_;
    std::map<workers::TaskKey, Decision> proposed_;
};

}  // namespace wellstair::reconciliation
