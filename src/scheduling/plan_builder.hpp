// Computes one plan: goes through the ordered queue and places each job with LEM (PAPER section IV, algorithm 5).
//
// Used for one plan only. Keeps track of what the plan has used of the machines and of the teams' limits. Not
// thread-safe; does no I/O.
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

    // Computes the plan. May be called once only.
    Plan build();
    // Time of day from which this controller may place some job that the plan left to others; kFarFutureS if there is
    // none.
    double next_turn_s() const { return nextTurnS_; }

  private:
    // What a team may still use below its limit.
    struct TeamHeadroom {
        placement::Resources remaining;                  // after the starts of the plan so far
        std::optional<placement::Resources> beforePlan;  // unset for a team without settings
    };
    // Capacity reserved for a job class on one machine.
    struct ArrivalReserve {
        std::uint32_t nodePool = 0;
        placement::Resources free;  // on the machine before the reserve was taken
    };
    // Number of tasks of a job that may be placed; none if `max` is below `min`.
    struct TaskRange {
        std::uint32_t min = 0, max = 0;
    };
    // What the plan starts of one job.
    struct Started {
        std::uint32_t tasks = 0;
        double earliestStartS = kFarFutureS;  // time of day of the first start promised to the other tasks
    };

    bool starting() const { return purpose_ == PlanPurpose::start_tasks; }
    // Computes what each team may still use below its limit.
    void compute_team_headroom();

    // Before a job of lower priority is placed, reserves capacity for what job classes of higher priority usually
    // require within two heartbeat intervals: freeing it by preemption later would cost a grace period.
    void reserve_for_arrivals(const QueuedJob& queued);
    void reserve_for_class(const ClassArrivals& jobClass);

    void place_job(const QueuedJob& queued);
    // Whether the job's tasks may be placed now, regardless of capacity. If the job is left to other controllers, notes
    // when this controller may place it.
    bool may_start(const state::Job& job);
    // Time of day from which this controller may place tasks of the job; 0: at once. A batch of several tasks is left
    // to the controller that is responsible for it, then to the others one after another: if all placed it at once, the
    // state service would reject all transactions but one, and the others would have to plan again.
    double turn_s(const state::Job& job) const;
    // The part of the team's limit that is withheld from the job for the next job of each higher priority that the team
    // has recently had: without it, that job would wait for the end of a task in spite of its priority.
    placement::Resources need_withheld_from(const QueuedJob& queued) const;
    // Tasks of the job that may start within its team's limit.
    TaskRange startable_tasks(const QueuedJob& queued, const TeamHeadroom& headroom) const;
    // Whether the team's limit alone would let the job start, so that only need_withheld_from prevents it.
    static bool held_back_by_team_priorities(const state::Job& job, const TeamHeadroom& headroom,
                                             std::uint32_t minTasks);
    // Stores the indices of the job's first open tasks, at most `maxTasks`, in openTasks_.
    void collect_open_tasks(const state::Job& job, std::uint32_t maxTasks);
    placement::Request request_for(const state::Job& job) const;
    // Machines with tasks of the job, one entry per task.
    std::vector<std::size_t> machines_of(const state::Job& job) const;
    // Index of the host in the plan; unset if the host is not part of it.
    std::optional<std::size_t> machine_index(const std::string& host) const;
    // Adds the slots that start now to the plan; those of a gang only if all of its tasks start.
    Started record_starts(state::Job& job, const std::vector<placement::Slot>& slots);
    // Whether a task of the request would fit on some machine if no capacity were reserved for arrivals there.
    bool held_back_by_reserve(const placement::Request& request) const;
    // Withholds the capacity that preemption is freeing for the job from the jobs behind it, and releases the
    // reservation once all of the job's tasks start.
    void apply_reservation(const state::Job& job, bool complete);

    const PlanningInputs& inputs_;
    const config::Settings& settings_;
    const PlanPurpose purpose_;
    const Timestamp now_;
    placement::Planner planner_;
    Plan plan_;
    double nextTurnS_ = kFarFutureS;
    std::map<std::string, TeamHeadroom> teamHeadroom_;
    bool reserveForArrivals_ = true;         // false while some job has been held back for too long
    std::set<std::string> reservedClasses_;  // job classes for which capacity has been reserved
    std::vector<ArrivalReserve> arrivalReserves_;
    std::vector<std::uint32_t> openTasks_;  // of the job that is being placed
};

}  // namespace wellstair::scheduling
