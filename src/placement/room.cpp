#include "placement/room.hpp"

#include <algorithm>

namespace wellstair::placement {

FreeCapacityCurve::FreeCapacityCurve(const std::vector<Machine>& machines, const Request& request, double now) {
    std::uint32_t fitNow = 0;
    for (const Machine& machine : machines) {
        if (!request.allowed[machine.nodePool] || !request.need.fits(machine.total)) continue;
        totalTasks_ += fit_count(machine.total, request.need);
        fitNow += fit_count(free_at(machine, now), request.need);
        add_machine(machine, request.need, now);
    }
    std::sort(steps_.begin(), steps_.end());
    steps_.insert(steps_.begin(), {0, fitNow});
    for (std::size_t i = 1; i < steps_.size(); ++i) steps_[i].tasks += steps_[i - 1].tasks;
}

// Adds a step for each end of a task that increases the capacity. The steps are increments until the constructor sums
// them up.
void FreeCapacityCurve::add_machine(const Machine& machine, const Resources& need, double now) {
    Resources available = free_at(machine, now);
    std::uint32_t fitBefore = fit_count(available, need);
    for (const Allocation& allocation : machine.allocations) {
        if (allocation.from > now || allocation.until <= now) continue;
        available += allocation.need;
        std::uint32_t fitAfter = fit_count(available, need);
        if (fitAfter > fitBefore) steps_.push_back({allocation.until - now, fitAfter - fitBefore});
        fitBefore = fitAfter;
    }
}

double FreeCapacityCurve::fraction_free_within(double seconds) const {
    if (seconds < 0 || totalTasks_ == 0) return 0;
    auto next = std::upper_bound(steps_.begin(), steps_.end(), seconds,
                                 [](double limit, const Step& step) { return limit < step.afterS; });
    return static_cast<double>(std::prev(next)->tasks) / totalTasks_;
}

}  // namespace wellstair::placement
