#include "placement/scale_out.hpp"

#include <algorithm>
#include <limits>
#include <optional>

namespace wellstair::placement {
namespace {

// A machine that was ordered or is chosen now, with its remaining resources.
struct Bin {
    std::size_t offer;
    Resources available;
};

std::vector<Bin> pending_bins(const std::vector<Offer>& offers, const std::vector<std::uint32_t>& pending) {
    std::vector<Bin> bins;
    for (std::size_t i = 0; i < offers.size(); ++i)
        for (std::uint32_t n = 0; n < pending[i]; ++n) bins.push_back({i, offers[i].total});
    return bins;
}

// Places as many of the tasks into the bin as fit; returns the number of tasks left.
std::uint32_t fill(Bin& bin, const Resources& need, std::uint32_t tasks) {
    while (tasks > 0 && need.fits(bin.available)) {
        bin.available = bin.available - need;
        --tasks;
    }
    return tasks;
}

// The offer with the lowest price per task, the first of equals. The price of a machine is divided by the tasks that it
// would run, at most `tasks`.
std::optional<std::size_t> cheapest_offer(const std::vector<Offer>& offers, const TaskDemand& demand,
                                          std::uint32_t tasks) {
    std::optional<std::size_t> cheapest;
    double lowestPrice = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < offers.size(); ++i) {
        const Offer& offer = offers[i];
        if (offer.refused || !demand.allowed[i]) continue;
        std::uint32_t fitCount = std::min(fit_count(offer.total, demand.need), tasks);
        if (fitCount == 0) continue;
        double price = offer.rate / fitCount;
        if (price < lowestPrice) {
            lowestPrice = price;
            cheapest = i;
        }
    }
    return cheapest;
}

}  // namespace

std::vector<ScaleOut> choose_scale_out(const std::vector<Offer>& offers, const std::vector<TaskDemand>& demands,
                                       const std::vector<std::uint32_t>& pending, std::uint32_t maxMachines) {
    std::vector<Bin> bins = pending_bins(offers, pending);
    std::vector<std::uint32_t> rented(offers.size(), 0);
    std::uint32_t rentedTotal = 0;
    for (const TaskDemand& demand : demands) {
        std::uint32_t tasks = demand.count;
        for (Bin& bin : bins)
            if (demand.allowed[bin.offer]) tasks = fill(bin, demand.need, tasks);
        while (tasks > 0 && rentedTotal < maxMachines) {
            auto offer = cheapest_offer(offers, demand, tasks);
            if (!offer) break;
            Bin& bin = bins.emplace_back(Bin{*offer, offers[*offer].total});
            tasks = fill(bin, demand.need, tasks);
            ++rented[*offer];
            ++rentedTotal;
        }
    }
    std::vector<ScaleOut> chosen;
    for (std::size_t i = 0; i < offers.size(); ++i)
        if (rented[i] > 0) chosen.push_back({i, rented[i]});
    return chosen;
}

}  // namespace wellstair::placement
