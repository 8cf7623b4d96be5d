// How much room machines have for one kind of task, now and as what runs there ends.
//
// A pure function over views of the machines, which it does not keep; no errors. Times are seconds.
#pragma once

#include <cstdint>
#include <tuple>
#include <vector>

#include "placement/lem.hpp"

namespace wellstair::placement {

// Room over time, if nothing new starts, in tasks of one kind.
class FreeCapacityCurve {
  public:
    // `now`: on the clock of the machines' holds. Of the request, the need and the allowed node pools count. The holds
    // have to be in the order of their ends.
    FreeCapacityCurve(const std::vector<Machine>& machines, const Request& request, double now);
    // Tasks that the machines hold when nothing else is there.
    std::uint32_t total_tasks() const { return all_; }
    // Tasks that have room within so many seconds, as a part of `total_tasks`, 0 to 1.
    double fraction_free_within(double seconds) const;

  private:
    struct Step {
        double afterS;
        std::uint32_t tasks;  // with room from then on
        bool operator<(const Step& other) const {
            return std::tie(afterS, tasks) < std::tie(other.afterS, other.tasks);
        }
    };
    void add_machine(const Machine& machine, const Resources& need, double now);

    std::uint32_t all_ = 0;
    std::vector<Step> steps_;  // rising in both; the first is at 0
};

}  // namespace wellstair::placement
