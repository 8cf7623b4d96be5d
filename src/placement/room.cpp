#include "placement/room.hpp"

#include <algorithm>

namespace wellstair::placement {

RoomCurve::RoomCurve(const std::vector<Machine>& machines, const Request& request, double now) {
    std::uint32_t free = 0;
    for (const Machine& m : machines) {
        if (!request.allowed[m.nodePool] || !request.need.fits(m.total)) continue;
        all_ += times(m.total, request.need);
        Need room = free_at(m, now);
        std::uint32_t fits = times(room, request.need);
        free += fits;
        for (const Hold& h : m.holds) {  // in the order of their ends
            if (h.from > now || h.until <= now) continue;
            room += h.need;
            std::uint32_t more = times(room, request.need);
            if (more > fits) free_.emplace_back(h.until - now, more - fits);
            fits = more;
        }
    }
    std::sort(free_.begin(), free_.end());
    free_.insert(free_.begin(), {0, free});
    for (std::size_t i = 1; i < free_.size(); ++i) free_[i].second += free_[i - 1].second;
}

double RoomCurve::within(double seconds) const {
    if (seconds < 0 || all_ == 0) return 0;
    auto next =
        std::upper_bound(free_.begin(), free_.end(), seconds, [](double s, const auto& e) { return s < e.first; });
    return static_cast<double>(std::prev(next)->second) / all_;
}

}  // namespace wellstair::placement
