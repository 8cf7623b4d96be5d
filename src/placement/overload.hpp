// The order of jobs that ask for more than their team may use, or than the machines have.
//
// A pure function over views of the jobs, safe from any thread; no errors. Times are seconds from now.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

namespace wellstair::placement {

struct DueJob {
    double work = 0;               // what it takes of the capacity, in the unit of the capacity
    double minDurationS = 0;       // it cannot take less than this, however much it gets
    std::vector<double> dueTimes;  // by when it is wanted, dearest level first; may be past
};

// What there is until a moment, for this job: of a team's limit, work that can be done; of machines, room that gets
// free. `job` is an index into the jobs.
using Capacity = std::function<double(std::size_t job, double due)>;

// Moore and Hodgson's rule, level by level: by due time, and when one job would be late, the one with the most work
// among those before it steps back, so that as many as possible are in time. Those that cannot be in time at any level
// come last, in the order given. `ahead`: work of others that go before all of them. Returns indices into the jobs.
std::vector<std::size_t> order_by_due(const std::vector<DueJob>& jobs, const Capacity& capacity, double ahead = 0);

}  // namespace wellstair::placement
