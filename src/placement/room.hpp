// Free capacity of the machines for one kind of task, now and as running tasks end.
//
// Computed from views of the machines, which are not kept; does not fail. Times are seconds.
#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "placement/lem.hpp"

namespace wellstair::placement {

// Free capacity over time, counted in tasks of one kind, if nothing new starts.
class FreeCapacityCurve {
  public:
    // `now`: on the clock of the machines' allocations, which must be sorted by end. Only the need and the allowed node
    // pools of the request are used.
    FreeCapacityCurve(const std::vector<Machine>& machines, const Request& request, double now);
    // Tasks that fit on the machines when nothing else runs there.
    std::uint32_t total_tasks() const { return totalTasks_; }
    // Fraction (0 to 1) of `total_tasks` that fit within this many seconds from now; 0 for a time in the past.
    double fraction_free_within(double seconds) const;

  private:
    struct Step {
        double afterS;
        std::uint32_t tasks;  // that fit from then on
        bool operator<(const Step& other) const {
            return std::tie(afterS, tasks) < std::tie(other.afterS, other.tasks);
        }
    };
    void add_machine(const Machine& machine, const Resources& need, double now);

    std::uint32_t totalTasks_ = 0;
    std::vector<Step> steps_;  // ascending in both members; the first is at 0
};

}  // namespace wellstair::placement
