// Decides whether a placed task must stop for reasons that do not depend on its host.
//
// Stateless. Single-threaded, free of I/O.
#pragma once

#include "leadership/cancellation_registry.hpp"
#include "state/state_cache.hpp"

namespace wellstair::reconciliation {

// Whether the task must stop: its job is cancelled, or it belongs to a gang of several tasks that has lost one or whose
// attempt is being stopped. A task that only has to leave its host is in `HostTracker::evictions` instead.
bool must_stop(const leadership::CancellationRegistry& cancellations, const state::Job& job, const state::Task& task);

}  // namespace wellstair::reconciliation
