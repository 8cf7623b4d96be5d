// The result of planning: tasks that start now, and demand that cannot be met now.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "placement/lem.hpp"
#include "state/state_cache.hpp"

namespace wellstair::scheduling {

// A time of day, in seconds, later than any plan: nothing is scheduled or promised.
inline constexpr double kFarFutureS = 1e18;

// The purpose of a plan.
enum class PlanPurpose {
    start_tasks,      // skips jobs that are left to other controllers for now; updates what later plans read
    estimate_demand,  // all jobs, to find the demand that lacks capacity
};

// Index of a task and the host that it is to run on, as TransactionBuilder::place takes them.
using PlannedTask = std::pair<std::uint32_t, state::HostRecord*>;

// Tasks that start together: all tasks of a gang, or a single task.
struct PlannedStart {
    state::Job* job = nullptr;
    std::vector<PlannedTask> tasks;
    std::uint32_t attempt = 0;
};

// Tasks of a job that cannot start now.
struct UnmetDemand {
    state::Job* job = nullptr;
    std::uint32_t tasks = 0;
    bool overQuota = false;               // beyond its team's guarantee
    double earliestStartS = kFarFutureS;  // time of day of the first promised start
};

// Starts, unmet demand, and the machines as they are after all starts and promises of the plan.
struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<UnmetDemand> unmet;
    std::vector<state::HostRecord*> hosts;     // by machine, sorted by name
    std::vector<placement::Machine> machines;  // with the allocations of the plan; index as in `hosts`
};

}  // namespace wellstair::scheduling
