// How much room machines have for one shape of task, now and as what runs there ends: a pure function over views.
#pragma once

#include <utility>
#include <vector>

#include "placement/lem.hpp"

namespace wellstair::placement {

class RoomCurve {
  public:
    RoomCurve(const std::vector<Machine>& machines, const Request& request, double now);
    // Tasks of the shape that the machines hold when nothing else is there.
    std::uint32_t all() const { return all_; }
    // Tasks that have room within so many seconds if nothing new starts, as a part of `all`.
    double within(double seconds) const;

  private:
    std::uint32_t all_ = 0;
    std::vector<std::pair<double, std::uint32_t>> free_;  // from when on, how many: rising
};

}  // namespace wellstair::placement
