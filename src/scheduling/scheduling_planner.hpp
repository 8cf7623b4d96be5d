// Plans which tasks start on which hosts, and writes the starts that are this controller's to make into a transaction.
//
// Every controller plans for all hosts; each carries out what falls to it, and the state service lets one of several
// conflicting starts win. Owns the times of the last plan and of this controller's next turn. Single-threaded, free of
// I/O.
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

    // Plans, if anything that a plan depends on has changed or some time has passed; then preempts and starts tasks.
    void place(state::TransactionBuilder& builder, Timestamp now);
    Plan make_plan(Timestamp now, PlanPurpose purpose);

  private:
    // Planning is the costly part of a round.
    bool plan_due(std::uint64_t newestJob, Timestamp now) const;
    // Whether this controller makes the planned start.
    bool starts_locally(const PlannedStart& start) const;
    // Remembers that a peer is expected to make the start.
    void expect_start_by_peer(const PlannedStart& start, Timestamp now);

    PlanningInputs inputs_;
    leadership::RoundSchedule& schedule_;
    double plannedAtS_ = -1e9;            // steady time of the last plan
    double nextTurnS_ = kFarFutureS;      // time of day of the next turn of this controller at some job
    std::uint64_t newestPlannedJob_ = 0;  // its place in submission order
};

}  // namespace wellstair::scheduling
