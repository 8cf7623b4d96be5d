// Proofs that a placed task is done, or can no longer run on its host.
//
// A task is released only by such a proof, since starting it again while it may still run would run it twice. Silence
// proves nothing before the lease has expired, and a heartbeat proves only what the fencing token and the agent epoch
// that it carries support.
//
// Owns nothing beside references. Single-threaded, free of I/O.
#pragma once

#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "state/state_cache.hpp"
#include "workers/host_table.hpp"

namespace wellstair::reconciliation {

struct TerminationProof {
    enum class Verdict {
        none,  // nothing is proven: the task may run, or may still be started
        done,  // the task has completed
        gone,  // the task has not completed, and nothing can start this attempt any more
    };
    Verdict verdict = Verdict::none;
    const char* reason = "";  // for the log; empty without a verdict
};

class TerminationProver {
  public:
    TerminationProver(const leadership::ControllerContext& context,
                      const leadership::CancellationRegistry& cancellations, workers::HostTable& hosts)
        : context_(context), cancellations_(cancellations), hosts_(hosts) {}

    // What is proven of a task that is placed on the host. If only a higher fencing token can bring the proof, this
    // asks for one (`HostTracker::needsFencing`).
    TerminationProof prove(const state::HostRecord& host, const state::TaskRef& ref);

  private:
    // For a host that has confirmed this controller's fencing token.
    TerminationProof prove_by_heartbeats(const state::HostRecord& host, workers::HostTracker& tracker,
                                         const state::TaskRef& ref) const;
    // For a task that the newest heartbeat does not list. `sent`: its start, or nothing if none was sent.
    TerminationProof prove_absent(const state::HostRecord& host, const workers::HostTracker& tracker,
                                  const state::Job& job, const state::Task& task, const workers::SentStart* sent) const;

    const leadership::ControllerContext& context_;
    const leadership::CancellationRegistry& cancellations_;
    workers::HostTable& hosts_;
};

}  // namespace wellstair::reconciliation
