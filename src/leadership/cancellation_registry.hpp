// Confirmed cancellations that this controller knows of, and the hosts that may still run a cancelled task.
//
// Owns the confirmed cancellations that the cached state does not contain yet: those confirmed by this controller and
// those reported by other controllers. Together with the cached ones they are enforced during an outage of the state
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
    // Ids of all jobs whose cancellation is confirmed as far as this controller knows; sent to the other controllers.
    std::vector<std::string> all() const;
    // Adds cancellations that this or another controller has confirmed, and schedules the jobs' hosts for stop
    // commands.
    void record(const std::vector<std::string>& jobs);
    // Drops the cancellations that the cached state contains by now.
    void forget_cached();

    // Whether a start command of a cancelled task that got no reply may still execute on the host. It may until the
    // worker's agent epoch ends.
    bool may_start_cancelled(const state::HostRecord& host) const;
    // Whether the host has been silent with a cancelled task for so long that only returning the host to the cloud ends
    // the task within `cancel_s`.
    bool holds_cancelled(const state::HostRecord& host, const workers::HostTracker& tracker, Timestamp now) const;

  private:
    const ControllerContext& context_;
    const workers::HostTable& hosts_;
    RoundSchedule& schedule_;
    std::set<std::string> uncached_;  // ids of jobs
};

}  // namespace wellstair::leadership
