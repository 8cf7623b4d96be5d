// Orders jobs by due time when they ask for more than their team's limit, or than the machines provide.
//
// Pure function over views of the jobs; thread-safe, does not fail. Times are seconds from now.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace wellstair::placement {

// A job as the ordering sees it.
struct DueJob {
    double work = 0;               // capacity that it uses up, in the unit of Capacity
    double minDurationS = 0;       // shortest possible duration, however much capacity it gets
    std::vector<double> dueTimes;  // one for each level, most valuable level first; may be in the past
};

// Capacity that is available to a job until a moment. For a team's limit: the work that can be done by then. For
// machines: the capacity that becomes free by then. `job` is an index into the jobs.
using Capacity = std::function<double(std::size_t job, double due)>;

// Orders the jobs so that as many as possible meet their due times (Moore-Hodgson, applied level by level): jobs are
// taken by due time, and whenever one would be late, the job with the most work among those taken so far is deferred
// to the next level. Jobs that cannot meet any of their due times come last, in the given order. `ahead`: work of other
// jobs that precede all of these. Returns indices into `jobs`.
std::vector<std::size_t> order_by_due(const std::vector<DueJob>& jobs, const Capacity& capacity, double ahead = 0);

}  // namespace wellstair::placement
