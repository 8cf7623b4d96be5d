#include "scheduling/scheduling_planner.hpp"

#include "scheduling/plan_builder.hpp"

namespace wellstair::scheduling {

namespace {

// If no input changes, planning is repeated after the heartbeat interval divided by this.
constexpr double kPlanIntervalDivisor = 6;

}  // namespace

Plan SchedulingPlanner::make_plan(Timestamp now, PlanPurpose purpose) {
    inputs_.demand.record_arrivals(now);
    ClusterSnapshot cluster = inputs_.model.snapshot(now);
    inputs_.preemption.expire_reservations(now);
    PlanBuilder builder(inputs_, purpose, now, std::move(cluster));
    Plan plan = builder.build();
    if (purpose == PlanPurpose::start_tasks) nextTurnS_ = builder.next_turn_s();
    return plan;
}

bool SchedulingPlanner::plan_due(std::uint64_t newestJob, Timestamp now) const {
    const double intervalS = inputs_.context.settings().heartbeatIntervalS / kPlanIntervalDivisor;
    return schedule_.plan_due() || newestJob != newestPlannedJob_ || now.steady - plannedAtS_ >= intervalS ||
           now.wall >= nextTurnS_;
}

void SchedulingPlanner::place(state::TransactionBuilder& builder, Timestamp now) {
    const auto& queue = inputs_.context.state().queue();
    if (queue.empty()) return;
    const std::uint64_t newestJob = queue.rbegin()->first;
    if (!plan_due(newestJob, now)) return;
    schedule_.begin_plan();
    newestPlannedJob_ = newestJob;
    plannedAtS_ = now.steady;
    const Plan plan = make_plan(now, PlanPurpose::start_tasks);
    inputs_.preemption.preempt(plan, now);
    for (const PlannedStart& start : plan.starts) {
        if (!starts_locally(start)) {
            expect_start_by_peer(start, now);
            continue;
        }
        if (!builder.place(*start.job, start.tasks, start.attempt, static_cast<std::int64_t>(now.wall))) {
            schedule_.request_replan();
            return;
        }
    }
}

bool SchedulingPlanner::starts_locally(const PlannedStart& start) const {
    const bool multiTask = start.tasks.size() > 1;
    if (!multiTask && inputs_.context.leads_host(start.tasks.front().second)) return true;
    // The responsible controller places gangs and services, on hosts of any leader.
    return (multiTask || start.job->service()) && inputs_.context.responsible(*start.job);
}

void SchedulingPlanner::expect_start_by_peer(const PlannedStart& start, Timestamp now) {
    const bool anyLeader = start.tasks.size() > 1 || start.job->service();
    if (!anyLeader && start.job->spec->taskCount == 1)
        inputs_.eligibility.expect_start(start.tasks.front().second->name, now);
}

}  // namespace wellstair::scheduling
