#include "reconciliation/release_log.hpp"

#include <spdlog/spdlog.h>

namespace wellstair::reconciliation {

void ReleaseLog::record(const state::TaskRef& ref, std::uint32_t attempt, const state::HostRecord& host,
                        const workers::HostTracker* tracker, const TerminationProof& proof, Timestamp now) {
    const Decision decision{attempt, proof.kind};
    Decision& logged = proposed_[{ref.job->id, ref.index}];
    if (logged == decision) return;
    logged = decision;
    statistics_.record_release(proof.kind);
    spdlog::info("releasing task {}/{} attempt {} on host {} as {}: {} (fencing token {}, lease {})", ref.job->id,
                 ref.index, attempt, host.name, proof.verdict == TerminationProof::Verdict::done ? "done" : "gone",
                 to_string(proof.kind), tracker ? tracker->fencingToken : host.fencingToken,
                 tracker ? tracker->lease.describe(now.steady) : "not tracked by this controller");
}

}  // namespace wellstair::reconciliation
