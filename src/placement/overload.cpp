#include "placement/overload.hpp"

#include <algorithm>
#include <numeric>

namespace wellstair::placement {
namespace {

using Indices = std::vector<std::size_t>;

// The job with the most work; the last one of equals.
Indices::iterator most_work(const std::vector<DueJob>& jobs, Indices& among) {
    auto lessWork = [&](std::size_t a, std::size_t b) { return jobs[a].work < jobs[b].work; };
    return std::prev(std::max_element(among.rbegin(), among.rend(), lessWork).base());
}

// Result of ordering by one level of due times.
struct LevelOrder {
    Indices inTime;   // sorted by due time
    Indices late;     // deferred to the next level
    double work = 0;  // of the jobs in time, plus `ahead`
};

// `remaining`: the jobs that earlier levels have deferred; `ahead`: the work of the jobs that precede them.
LevelOrder order_level(const std::vector<DueJob>& jobs, const Indices& remaining, std::size_t level,
                       const Capacity& capacity, double ahead) {
    LevelOrder order;
    order.work = ahead;
    Indices candidates;
    for (std::size_t job : remaining) (level < jobs[job].dueTimes.size() ? candidates : order.late).push_back(job);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](std::size_t a, std::size_t b) { return jobs[a].dueTimes[level] < jobs[b].dueTimes[level]; });
    for (std::size_t job : candidates) {
        const double due = jobs[job].dueTimes[level];
        if (jobs[job].minDurationS > due) {
            order.late.push_back(job);
            continue;
        }
        order.inTime.push_back(job);
        order.work += jobs[job].work;
        if (order.work <= capacity(job, due)) continue;
        auto deferred = most_work(jobs, order.inTime);
        order.work -= jobs[*deferred].work;
        order.late.push_back(*deferred);
        order.inTime.erase(deferred);
    }
    std::sort(order.late.begin(), order.late.end());
    return order;
}

}  // namespace

std::vector<std::size_t> order_by_due(const std::vector<DueJob>& jobs, const Capacity& capacity, double ahead) {
    Indices remaining(jobs.size());
    std::iota(remaining.begin(), remaining.end(), 0);
    std::size_t levels = 0;
    for (const DueJob& job : jobs) levels = std::max(levels, job.dueTimes.size());
    Indices ordered;
    for (std::size_t level = 0; level < levels; ++level) {
        LevelOrder order = order_level(jobs, remaining, level, capacity, ahead);
        ordered.insert(ordered.end(), order.inTime.begin(), order.inTime.end());
        remaining = std::move(order.late);
        ahead = order.work;
    }
    ordered.insert(ordered.end(), remaining.begin(), remaining.end());
    return ordered;
}

}  // namespace wellstair::placement
