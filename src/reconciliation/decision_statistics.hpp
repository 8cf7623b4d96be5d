// Counts the decisions that rest on what a controller believes of its hosts: starts, releases by kind of proof, and
// leases taken as expired.
//
// Owns the counts. Single-threaded, free of I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "reconciliation/termination_proof.hpp"

namespace wellstair::reconciliation {

class DecisionStatistics {
  public:
    // Records a start that is sent. `epochAnswered`: a heartbeat of the agent epoch in which it is sent was answered.
    void record_start(bool epochAnswered);
    void record_release(ProofKind proof) { ++releases_[static_cast<std::size_t>(proof)]; }
    // Records a lease that is taken as expired. `marginS`: seconds since the latest end that the worker can give it.
    void record_lease_expiry(double marginS);

    bool empty() const;
    // Returns the counts as one log line and resets them.
    std::string take_summary();

  private:
    std::uint64_t starts_ = 0, startsInUnansweredEpoch_ = 0;
    std::array<std::uint64_t, kProofKinds> releases_{};
    std::optional<double> leastMarginS_;
};

}  // namespace wellstair::reconciliation
