#include "reconciliation/decision_statistics.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace wellstair::reconciliation {

void DecisionStatistics::record_start(bool epochAnswered) {
    ++starts_;
    startsInUnansweredEpoch_ += !epochAnswered;
}

void DecisionStatistics::record_lease_expiry(double marginS) {
    leastMarginS_ = std::min(leastMarginS_.value_or(marginS), marginS);
}

bool DecisionStatistics::empty() const {
    return starts_ == 0 && !leastMarginS_ &&
           std::all_of(releases_.begin(), releases_.end(), [](std::uint64_t count) { return count == 0; });
}

std::string DecisionStatistics::take_summary() {
    std::string line =
        fmt::format("decisions: {} starts sent, {} of them in an agent epoch without an answered heartbeat", starts_,
                    startsInUnansweredEpoch_);
    for (std::size_t i = 0; i < releases_.size(); ++i)
        if (releases_[i] > 0)
            line += fmt::format("; {} releases: {}", releases_[i], to_string(static_cast<ProofKind>(i)));
    if (leastMarginS_)
        line += fmt::format("; least margin after the latest end of a worker's lease: {:.3f} s", *leastMarginS_);
    *this = DecisionStatistics();
    return line;
}

}  // namespace wellstair::reconciliation
