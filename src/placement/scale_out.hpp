// Which machines to rent for work that has no room.
//
// A pure function over views, safe from any thread; no errors. The machines are filled by bin packing, first fit.
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
    double startupS = 0;   // seconds from the order until it is ready
    bool refused = false;  // the cloud had none a short while ago
};

// Tasks of one kind that wait for room.
struct TaskDemand {
    Resources need;  // of each
    std::uint32_t count = 0;
    std::vector<bool> allowed;  // by offer
};

struct ScaleOut {
    std::size_t offer = 0;           // index into the offers
    std::uint32_t machineCount = 0;  // machines to rent
};

// Cheapest per task first; machines on their way (`pending`, by offer) are filled before new ones are asked for. At
// most `most` machines in all.
std::vector<ScaleOut> choose_scale_out(const std::vector<Offer>& offers, const std::vector<TaskDemand>& wants,
                                       const std::vector<std::uint32_t>& pending, std::uint32_t most);

}  // namespace wellstair::placement
