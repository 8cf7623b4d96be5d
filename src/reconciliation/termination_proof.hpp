// Proofs that a placed task is done, or can no longer run on its host.
//
// A task is released only with such a proof, because restarting a task that may still run would run it twice. Missing
// heartbeats prove nothing before the lease has expired, and a heartbeat is evidence only for the fencing token and the
// agent epoch that it carries.
//
// Owns only references. Single-threaded, free of I/O.
#pragma once

#include <cstddef>

#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "state/state_cache.hpp"
#include "workers/host_table.hpp"

namespace wellstair::reconciliation {

// What proves that a task is done or gone.
enum class ProofKind {
    none,
    machine_gone,
    lease_expired,
    earlier_agent_epoch,
    earlier_fencing_token,
    never_sent,
    no_longer_reported,
    not_reported_after_start,
    reported_done,
    reported_ended,
};
inline constexpr std::size_t kProofKinds = static_cast<std::size_t>(ProofKind::reported_ended) + 1;

// The wording of log lines.
const char* to_string(ProofKind kind);

struct TerminationProof {
    enum class Verdict {
        none,  // no proof: the task may be running, or may still be started
        done,  // the task has completed
        gone,  // the task has not completed, does not run, and this attempt can no longer be started
    };
    Verdict verdict = Verdict::none;
    ProofKind kind = ProofKind::none;
};

class TerminationProver {
  public:
    TerminationProver(const leadership::ControllerContext& context,
                      const leadership::CancellationRegistry& cancellations, workers::HostTable& hosts)
        : context_(context), cancellations_(cancellations), hosts_(hosts) {}

    // Returns what is proven about a task placed on the host. If only a higher fencing token can give the proof, sets
    // `HostTracker::needsFencing` to request one.
    TerminationProof prove(const state::HostRecord& host, const state::TaskRef& ref);

  private:
    // Proofs that need no recent heartbeat: the host, which has confirmed this controller's fencing token, has begun an
    // agent epoch in which the task was not started.
    TerminationProof prove_by_agent_epoch(const state::HostRecord& host, const workers::HostTracker& tracker,
                                          const state::TaskRef& ref) const;
    // Requires that the host has confirmed this controller's fencing token.
    TerminationProof prove_by_heartbeats(const state::HostRecord& host, workers::HostTracker& tracker,
                                         const state::TaskRef& ref) const;
    // For a task that the newest status does not list. `sent`: its start command, null if none was sent.
    TerminationProof prove_absent(const state::HostRecord& host, const workers::HostTracker& tracker,
                                  const state::Job& job, const state::Task& task, const workers::SentStart* sent) const;

    const leadership::ControllerContext& context_;
    const leadership::CancellationRegistry& cancellations_;
    workers::HostTable& hosts_;
};

}  // namespace wellstair::reconciliation
