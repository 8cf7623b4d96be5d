// The components that a plan is computed from. Planning reads all of them and updates the non-const ones.
#pragma once

#include "leadership/controller_context.hpp"
#include "reconciliation/job_history.hpp"
#include "scheduling/demand_history.hpp"
#include "scheduling/held_back_jobs.hpp"
#include "scheduling/host_eligibility.hpp"
#include "scheduling/placement_model.hpp"
#include "scheduling/preemption.hpp"
#include "scheduling/queue_order.hpp"

namespace wellstair::scheduling {

struct PlanningInputs {
    const leadership::ControllerContext& context;
    const reconciliation::JobHistories& jobHistories;
    HostEligibility& eligibility;
    PlacementModel& model;
    DemandHistory& demand;
    QueueOrder& queueOrder;
    HeldBackJobs& heldBack;
    Preemption& preemption;
};

}  // namespace wellstair::scheduling
