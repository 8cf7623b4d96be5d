// The making of one plan: goes through the queue in its order and asks LEM (PAPER section IV, algorithm 5) for places.
//
// Lives for one plan. Owns the plan and what it has used of the machines and of the teams' limits. Single-threaded,
// free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/lem.hpp"
#include "scheduling/plan.hpp"
#include "scheduling/planning_inputs.hpp"

namespace wellstair::scheduling {

class PlanBuilder {
  public:
    PlanBuilder(const PlanningInputs& inputs, PlanPurpose purpose, Timestamp now, ClusterSnapshot cluster);

    // Once.
    Plan build();
    // Time of day from which on this controller may place tasks of some job that it left to others; kNever if none.
    double next_turn_s() const { return nextTurnS_; }

  private:
    // Of a team: what it may still use below its limit.
    struct TeamHeadroom {
        placement::Resources remaining;
        std::optional<placement::Resources> beforePlan;  // unset: a team without settings
    };
    // Room that was left for a job class, and what was free there in all.
    struct ArrivalReserve {
        std::uint32_t nodePool = 0;
        placement::Resources free;
    };
    // How many tasks of a job are to be placed; none if `most` is below `least`.
    struct TaskRange {
        std::uint32_t min = 0, max = 0;
    };
    struct Started {
        std::uint32_t tasks = 0;
        double earliestStartS = kFarFutureS;  // time of day of the first promised start of the others
    };

    bool starting() const { return purpose_ == PlanPurpose::start_tasks; }
    void compute_team_headroom();

    // Before jobs of lower priority take what is free, leaves room for what job classes of higher priority usually ask
    // for within two heartbeat intervals: making room by preemption costs a grace period.
    void reserve_for_arrivals(const QueuedJob& queued);
    void reserve_for_class(const ClassArrivals& jobClass);

    void place_job(const QueuedJob& queued);
    // Whether tasks of the job may start now, but for room.
    bool may_start(const state::Job& job);
    // Time of day from which on this controller may place tasks of the job; 0: at once. The tasks of a wide batch are
    // left to the controller that is responsible for it, then to the others one after the other: if all placed them at
    // once, the state service would refuse all but one, and they would plan again.
    double turn_s(const state::Job& job) const;
    // Up to its team's limit, a job leaves room for the next job of each higher priority that the team has had of late:
    // that one would otherwise wait for the end of a task in spite of its priority.
    placement::Resources need_withheld_from(const QueuedJob& queued) const;
    TaskRange startable_tasks(const QueuedJob& queued, const TeamHeadroom& headroom) const;
    // The team's limit would leave room for the job if no room were kept for higher priorities.
    static bool held_back_by_team_priorities(const state::Job& job, const TeamHeadroom& headroom,
                                             std::uint32_t minTasks);
    // The indices of the job's first open tasks, into openTasks_.
    void collect_open_tasks(const state::Job& job, std::uint32_t maxTasks);
    placement::Request request_for(const state::Job& job) const;
    // The machines that tasks of the job are on, once for each task.
    std::vector<std::size_t> machines_of(const state::Job& job) const;
    std::optional<std::size_t> machine_index(const std::string& host) const;
    Started record_starts(state::Job& job, const std::vector<placement::Slot>& slots);
    // Whether the request would fit into room that is kept for others.
    bool held_back_by_reserve(const placement::Request& request) const;
    // Keeps the room that is being made for the job by preemption, until all of its tasks start.
    void apply_reservation(const state::Job& job, bool complete);

    const PlanningInputs& inputs_;
    const config::Settings& settings_;
    const PlanPurpose purpose_;
    const Timestamp now_;
    placement::Planner planner_;
    Plan plan_;
    double nextTurnS_ = kFarFutureS;
    std::map<std::string, TeamHeadroom> teamHeadroom_;
    bool reserveForArrivals_ = true;         // for arrivals: unless that has held back some job for too long
    std::set<std::string> reservedClasses_;  // job classes for which room has been left
    std::vector<ArrivalReserve> arrivalReserves_;
    std::vector<std::uint32_t> openTasks_;  // of the job that is being placed
};

}  // namespace wellstair::scheduling
