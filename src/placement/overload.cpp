#include "placement/overload.hpp"

#include <algorithm>
#include <numeric>

namespace wellstair::placement {

std::vector<std::size_t> order_by_due(const std::vector<DueJob>& jobs, const Capacity& capacity, double ahead) {
    std::vector<std::size_t> left(jobs.size()), out;
    std::iota(left.begin(), left.end(), 0);
    std::size_t levels = 0;
    for (const DueJob& j : jobs) levels = std::max(levels, j.due.size());
    for (std::size_t level = 0; level < levels; ++level) {
        std::vector<std::size_t> candidates, later, in;
        for (std::size_t i : left) (level < jobs[i].due.size() ? candidates : later).push_back(i);
        std::stable_sort(candidates.begin(), candidates.end(),
                         [&](std::size_t a, std::size_t b) { return jobs[a].due[level] < jobs[b].due[level]; });
        double work = ahead;  // of those already in the order
        for (std::size_t i : candidates) {
            if (jobs[i].leastS > jobs[i].due[level]) {
                later.push_back(i);
                continue;
            }
            in.push_back(i);
            work += jobs[i].work;
            if (work <= capacity(i, jobs[i].due[level])) continue;
            // Of equals the last one tasks back.
            auto most = std::prev(std::max_element(in.rbegin(), in.rend(), [&](std::size_t a, std::size_t b) {
                                      return jobs[a].work < jobs[b].work;
                                  }).base());
            work -= jobs[*most].work;
            later.push_back(*most);
            in.erase(most);
        }
        ahead = work;
        out.insert(out.end(), in.begin(), in.end());
        std::sort(later.begin(), later.end());
        left = std::move(later);
    }
    out.insert(out.end(), left.begin(), left.end());
    return out;
}

}  // namespace wellstair::placement
