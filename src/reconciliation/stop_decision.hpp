// Whether a placed task has to stop, whatever host it is on.
//
// Stateless. Single-threaded, free of I/O.
#pragma once

#include "leadership/cancellation_registry.hpp"
#include "state/state_cache.hpp"

namespace wellstair::reconciliation {

// Whether the task has to stop: its job is cancelled, or it belongs to a gang that has lost a task or whose attempt is
// being stopped. A task that only has to leave its host is in `HostTracker::evictions` instead.
bool must_stop(const leadership::CancellationRegistry& cancellations, const state::Job& job, const state::Task& task);

}  // namespace wellstair::reconciliation
