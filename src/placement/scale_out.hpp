// Which machines to rent for work that has no room: pure functions over views.
#pragma once

#include <string>
#include <vector>

#include "placement/lem.hpp"

namespace wellstair::placement {

struct Offer {  // one type in one zone, ordinary or spot
    std::string machineType, zone;
    bool spot = false;
    Need total;
    double rate = 0, startupS = 0;
    bool refused = false;  // the cloud had none a short while ago
};

struct Want {
    Need need;
    std::uint32_t count = 0;
    std::vector<bool> allowed;  // by offer
};

struct ScaleOut {
    std::size_t offer = 0;
    std::uint32_t number = 0;
};

// Cheapest per task first; machines on their way (`coming`, by offer) are filled before new ones are asked for.
std::vector<ScaleOut> choose_scale_out(const std::vector<Offer>& offers, const std::vector<Want>& wants,
                                       std::vector<std::uint32_t> pending, std::uint32_t most);

}  // namespace wellstair::placement
