// Chooses the machines to rent for tasks that do not fit on the existing ones.
//
// Pure function over views; thread-safe, does not fail. Machines are filled by first-fit bin packing.
#pragma once

#include <string>
#include <vector>

#include "placement/lem.hpp"

namespace wellstair::placement {

// What can be rented: one machine type in one zone, on demand or spot.
struct Offer {
    std::string machineType, zone;
    bool spot = false;
    Resources total;
    double rate = 0;       // price, in the cloud's unit
    double startupS = 0;   // seconds from the order until the machine is ready
    bool refused = false;  // the cloud recently had no capacity for it
};

// Tasks of one kind that wait for free capacity.
struct TaskDemand {
    Resources need;  // of each task
    std::uint32_t count = 0;
    std::vector<bool> allowed;  // by offer
};

// An order for machines of one offer.
struct ScaleOut {
    std::size_t offer = 0;  // index into the offers
    std::uint32_t machineCount = 0;
};

// Chooses the offer with the lowest price per task first. Machines that were already ordered (`pending`, by offer) are
// filled before new ones are chosen; at most `maxMachines` new ones in total.
std::vector<ScaleOut> choose_scale_out(const std::vector<Offer>& offers, const std::vector<TaskDemand>& demands,
                                       const std::vector<std::uint32_t>& pending, std::uint32_t maxMachines);

}  // namespace wellstair::placement
