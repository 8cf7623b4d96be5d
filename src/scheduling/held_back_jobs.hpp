// Tracks jobs that could run now if no capacity were reserved for other jobs.
//
// Reservations for expected jobs are a preference and may delay a job by two leases at most. Not thread-safe; does no
// I/O.
#pragma once

#include <string>
#include <unordered_map>

#include "leadership/controller_context.hpp"

namespace wellstair::scheduling {

class HeldBackJobs {
  public:
    explicit HeldBackJobs(const leadership::ControllerContext& context) : context_(context) {}

    // Records that the job, which has not started, would start now if no capacity were reserved for others.
    void record(const state::Job& job, Timestamp now);
    // Removes jobs that have started or ended, or that were last held back more than a heartbeat interval ago. The
    // interval bridges moments between two tasks in which there is no free capacity at all.
    void remove_released(Timestamp now);

    // Whether the job has been held back for longer than the limit.
    bool held_too_long(const std::string& job, Timestamp now) const;
    bool any_held_too_long(Timestamp now) const;

  private:
    // Steady times, in seconds, of the first and the latest record.
    struct HeldBack {
        double sinceS, lastSeenS;
    };
    bool held_too_long(const HeldBack& heldBack, Timestamp now) const;

    const leadership::ControllerContext& context_;
    std::unordered_map<std::string, HeldBack> heldBack_;
};

}  // namespace wellstair::scheduling
