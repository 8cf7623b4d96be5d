#include "placement/scale_out.hpp"

#include <algorithm>
#include <limits>

namespace wellstair::placement {

std::vector<ScaleOut> choose_scale_out(const std::vector<Offer>& offers, const std::vector<Want>& wants,
                                       std::vector<std::uint32_t> pending, std::uint32_t most) {
    struct Box {
        std::size_t offer;
        Need room;
    };
    std::vector<Box> boxes;
    for (std::size_t i = 0; i < offers.size(); ++i)
        for (std::uint32_t n = 0; n < pending[i]; ++n) boxes.push_back({i, offers[i].total});
    std::vector<std::uint32_t> rented(offers.size(), 0);
    std::uint32_t sum = 0;
    for (const Want& w : wants) {
        std::uint32_t left = w.count;
        for (Box& b : boxes)
            while (left > 0 && w.allowed[b.offer] && w.need.fits(b.room)) {
                b.room = b.room - w.need;
                --left;
            }
        while (left > 0 && sum < most) {
            std::size_t best = offers.size();
            double bestPrice = std::numeric_limits<double>::infinity();
            for (std::size_t i = 0; i < offers.size(); ++i) {
                const Offer& o = offers[i];
                std::uint32_t fit = o.refused || !w.allowed[i] ? 0 : std::min(times(o.total, w.need), left);
                if (fit == 0) continue;
                double price = o.rate / fit;
                if (price < bestPrice) bestPrice = price, best = i;
            }
            if (best == offers.size()) break;
            Box box{best, offers[best].total};
            while (left > 0 && w.need.fits(box.room)) {
                box.room = box.room - w.need;
                --left;
            }
            boxes.push_back(box);
            ++rented[best];
            ++sum;
        }
    }
    std::vector<ScaleOut> out;
    for (std::size_t i = 0; i < offers.size(); ++i)
        if (rented[i]) out.push_back({i, rented[i]});
    return out;
}

}  // namespace wellstair::placement
