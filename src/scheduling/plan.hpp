// The result of planning: what starts now, and what cannot.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "placement/lem.hpp"
#include "state/state_cache.hpp"

namespace wellstair::scheduling {

// A time of day that no plan reaches.
inline constexpr double kFarFutureS = 1e18;

// What a plan is made for.
enum class PlanPurpose {
    start_tasks,      // as far as it is this controller's turn, with notes for the next plans
    estimate_demand,  // everything, to see what lacks room
};

// The index of a task and the host it is to run on, as TransactionBuilder::place takes them.
using PlannedTask = std::pair<std::uint32_t, state::HostRecord*>;

// Tasks that start together: all tasks of a wide gang, or a single task.
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

struct Plan {
    std::vector<PlannedStart> starts;
    std::vector<UnmetDemand> unmet;
    std::vector<state::HostRecord*> hosts;     // by machine, sorted by name
    std::vector<placement::Machine> machines;  // with what the plan holds on them
};

}  // namespace wellstair::scheduling
