// Plans which tasks start on which hosts, and adds the starts that this controller has to make to a transaction.
//
// Every controller plans for all hosts and makes only its own part of the starts; of several conflicting ones, the
// state service accepts one. Keeps the time of the last plan and of this controller's next turn. Not thread-safe; does
// no I/O.
#pragma once

#include <cstdint>

#include "common/timestamp.hpp"
#include "leadership/round_schedule.hpp"
#include "scheduling/plan.hpp"
#include "scheduling/planning_inputs.hpp"
#include "state/transaction_builder.hpp"

namespace wellstair::scheduling {

class SchedulingPlanner {
  public:
    SchedulingPlanner(const PlanningInputs& inputs, leadership::RoundSchedule& schedule)
        : inputs_(inputs), schedule_(schedule) {}

    // Plans if an input of planning has changed or the plan interval has passed; then preempts tasks and adds the
    // starts of this controller to the transaction.
    void place(state::TransactionBuilder& builder, Timestamp now);
    // Computes a plan of the whole cluster for this purpose.
    Plan make_plan(Timestamp now, PlanPurpose purpose);

  private:
    // Whether to plan now. Planning is the most expensive part of a round, so it is skipped while nothing has changed.
    bool plan_due(std::uint64_t newestJob, Timestamp now) const;
    // Whether this controller, and not a peer, makes the planned start.
    bool starts_locally(const PlannedStart& start) const;
    // Records that a peer is expected to make the start. Only recorded for jobs of one task.
    void expect_start_by_peer(const PlannedStart& start, Timestamp now);

    PlanningInputs inputs_;
    leadership::RoundSchedule& schedule_;
    double plannedAtS_ = kNeverS;         // steady time of the last plan
    double nextTurnS_ = kFarFutureS;      // time of day from which this controller may place a job left to others
    std::uint64_t newestPlannedJob_ = 0;  // position of the newest job in submission order
};

}  // namespace wellstair::scheduling
