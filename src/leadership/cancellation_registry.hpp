// Cancellations that are known to be confirmed, and the hosts that may still hold a cancelled task.
//
// Owns the cancellations that the cached state does not show yet: those that this controller has confirmed itself, and
// those that other controllers have told of. With the cached ones they are carried out in an outage of the state
// service, too. Single-threaded, free of I/O.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "workers/host_table.hpp"

namespace wellstair::leadership {

class CancellationRegistry {
  public:
    CancellationRegistry(const ControllerContext& context, const workers::HostTable& hosts, RoundSchedule& schedule)
        : context_(context), hosts_(hosts), schedule_(schedule) {}

    bool cancelled(const std::string& job) const;
    bool cancelled(const state::Job& job) const;
    // All that are confirmed as far as this controller knows, for the other controllers.
    std::vector<std::string> all() const;
    // Confirmed here, or by another controller: their hosts get stop commands.
    void record(const std::vector<std::string>& jobs);
    // Drops what the cached state shows by now.
    void forget_cached();

    // Whether a start of a cancelled task, sent without an answer, may still execute on the host. It can for as long as
    // the worker's agent epoch lasts.
    bool may_start_cancelled(const state::HostRecord& host) const;
    // Whether the host has been silent for so long with a cancelled task that only its return to the cloud ends the
    // task within `cancel_s`.
    bool holds_cancelled(const state::HostRecord& host, const workers::HostTracker& tracker, Timestamp now) const;

  private:
    const ControllerContext& context_;
    const workers::HostTable& hosts_;
    RoundSchedule& schedule_;
    std::set<std::string> uncached_;
};

}  // namespace wellstair::leadership
