// Jobs that would run but for room that is kept free for other jobs.
//
// Keeping room is a preference, and may not cost a job more than two leases. Owns the notes on these jobs.
// Single-threaded, free of I/O.
#pragma once

#include <string>
#include <unordered_map>

#include "leadership/controller_context.hpp"

namespace wellstair::scheduling {

class HeldBackJobs {
  public:
    explicit HeldBackJobs(const leadership::ControllerContext& context) : context_(context) {}

    // The job, which has not begun, would start now if no room were kept from it.
    void record(const state::Job& job, Timestamp now);
    // Forgets jobs that have begun, are over, or have not been held back for a heartbeat interval. A moment without
    // any room, between two tasks, does not count as such.
    void remove_released(Timestamp now);

    bool held_too_long(const std::string& job, Timestamp now) const;
    bool any_held_too_long(Timestamp now) const;

  private:
    // Steady times in seconds.
    struct HeldBack {
        double sinceS, lastSeenS;
    };
    bool held_too_long(const HeldBack& heldBack, Timestamp now) const;

    const leadership::ControllerContext& context_;
    std::unordered_map<std::string, HeldBack> heldBack_;
};

}  // namespace wellstair::scheduling
