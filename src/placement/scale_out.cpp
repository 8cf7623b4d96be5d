#include "placement/scale_out.hpp"

#include <algorithm>
#include <limits>
#include <optional>

namespace wellstair::placement {
namespace {

// A machine that is to come, with what is left of it.
struct Bin {
    std::size_t offer;
    Resources room;
};

std::vector<Bin> pending_bins(const std::vector<Offer>& offers, const std::vector<std::uint32_t>& pending) {
    std::vector<Bin> bins;
    for (std::size_t i = 0; i < offers.size(); ++i)
        for (std::uint32_t n = 0; n < pending[i]; ++n) bins.push_back({i, offers[i].total});
    return bins;
}

// Puts as many of the tasks into the bin as it holds; returns how many are left.
std::uint32_t fill(Bin& bin, const Resources& need, std::uint32_t tasks) {
    while (tasks > 0 && need.fits(bin.room)) {
        bin.room = bin.room - need;
        --tasks;
    }
    return tasks;
}

// The offer with the lowest price per task, the first of equals; a machine counts with no more tasks than there are.
std::optional<std::size_t> cheapest_offer(const std::vector<Offer>& offers, const TaskDemand& want,
                                          std::uint32_t tasks) {
    std::optional<std::size_t> cheapest;
    double lowestPrice = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < offers.size(); ++i) {
        const Offer& offer = offers[i];
        if (offer.refused || !want.allowed[i]) continue;
        std::uint32_t fitting = std::min(fit_count(offer.total, want.need), tasks);
        if (fitting == 0) continue;
        double price = offer.rate / fitting;
        if (price < lowestPrice) {
            lowestPrice = price;
            cheapest = i;
        }
    }
    return cheapest;
}

}  // namespace

std::vector<ScaleOut> choose_scale_out(const std::vector<Offer>& offers, const std::vector<TaskDemand>& wants,
                                       const std::vector<std::uint32_t>& pending, std::uint32_t most) {
    std::vector<Bin> bins = pending_bins(offers, pending);
    std::vector<std::uint32_t> rented(offers.size(), 0);
    std::uint32_t rentedInAll = 0;
    for (const TaskDemand& want : wants) {
        std::uint32_t tasks = want.count;
        for (Bin& bin : bins)
            if (want.allowed[bin.offer]) tasks = fill(bin, want.need, tasks);
        while (tasks > 0 && rentedInAll < most) {
            auto offer = cheapest_offer(offers, want, tasks);
            if (!offer) break;
            Bin& bin = bins.emplace_back(Bin{*offer, offers[*offer].total});
            tasks = fill(bin, want.need, tasks);
            ++rented[*offer];
            ++rentedInAll;
        }
    }
    std::vector<ScaleOut> chosen;
    for (std::size_t i = 0; i < offers.size(); ++i)
        if (rented[i] > 0) chosen.push_back({i, rented[i]});
    return chosen;
}

}  // namespace wellstair::placement
