// The order of a team's jobs when they ask for more than the team may use: pure functions.
#pragma once

#include <cstddef>
#include <vector>

namespace wellstair::placement {

struct DueJob {
    double work = 0;          // machine share x seconds that are left of it
    double leastS = 0;        // it cannot take less than this, however much it gets
    std::vector<double> due;  // seconds from now by which it is wanted, dearest first; may be past
};

// Moore and Hodgson's rule, level by level: by due time, and when one job would be late, the one with the most work
// among those before it steps back, so that as many as possible are in time. Those that cannot be in time at any level
// come last, in the order given. `rate`: work done per second.
std::vector<std::size_t> order_by_due(const std::vector<DueJob>& jobs, double rate);

}  // namespace wellstair::placement
