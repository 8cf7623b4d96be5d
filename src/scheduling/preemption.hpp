// Preempts tasks in favour of jobs of higher priority, and in favour of jobs within their team's guarantee if another
// team runs the tasks beyond its own; in no other case.
//
// Every controller evaluates all hosts but preempts only on those that it leads, so that all make the same choice
// without exchanging messages. Capacity that is being freed is reserved for its job until the last victim should have
// stopped. For a gang of several tasks, either all places are freed at once or nothing is preempted. Not thread-safe;
// does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "scheduling/placement_model.hpp"
#include "scheduling/plan.hpp"
#include "scheduling/queue_order.hpp"
#include "workers/host_table.hpp"

namespace wellstair::scheduling {

// Capacity that preemption is freeing for a job.
struct Reservation {
    std::vector<std::string> hosts;  // one entry per task
    double untilS = 0;               // time of day
};

class Preemption {
  public:
    Preemption(const leadership::ControllerContext& context, leadership::RoundSchedule& schedule,
               workers::HostTable& hosts, const PlacementModel& model, const QueueOrder& queueOrder)
        : context_(context), schedule_(schedule), hosts_(hosts), model_(model), queueOrder_(queueOrder) {}

    // Preempts tasks in favour of the plan's unmet demand.
    void preempt(const Plan& plan, Timestamp now);

    // Removes reservations that have expired or whose job has ended.
    void expire_reservations(Timestamp now);
    // The job's reservation; null if there is none.
    const Reservation* reservation(const std::string& job) const;
    void release_reservation(const std::string& job) { reservations_.erase(job); }

  private:
    // A task that may be preempted. Costs are seconds of lost work.
    struct Victim {
        state::TaskRef task;
        double costS = 0;
    };
    // A machine with capacity for one task once these victims have stopped.
    struct Place {
        std::size_t machine = 0;
        double costS = 0;  // of the victims, plus the time to fetch the image
        std::vector<state::TaskRef> victims;
    };
    // State shared by all unmet demand of one plan.
    struct Pass {
        const Plan& plan;
        Timestamp now;
        std::set<const state::Job*> overQuota;  // jobs beyond their team's guarantee
        std::set<std::pair<const state::Job*, std::uint32_t>> preempted;
    };

    // Tasks on the machine that may be preempted for the job, cheapest first.
    void collect_victims(const Pass& pass, const UnmetDemand& unmet, std::size_t machine,
                         std::vector<Victim>& victims) const;
    // Whether the job with unmet demand may preempt the task. Tasks of multi-task gangs never are.
    static bool may_preempt(const Pass& pass, const UnmetDemand& unmet, const state::TaskRef& task);
    // Seconds of work that preempting the task would lose.
    double preemption_cost_s(const state::TaskRef& task, const placement::Machine& machine, Timestamp now) const;
    // All places that the job can get by preemption, cheapest first.
    std::vector<Place> candidate_places(const Pass& pass, const UnmetDemand& unmet) const;
    // Adds the places that the job can get on the machine.
    static void add_places(const Pass& pass, const UnmetDemand& unmet, std::size_t machine,
                           const std::vector<Victim>& victims, std::vector<Place>& places);
    // The cheapest places that the job's tasks can get together.
    static std::vector<Place> choose_places(const Pass& pass, const UnmetDemand& unmet, std::vector<Place> places);
    // Places for all tasks in one zone: the first zone that has enough of the cheapest places.
    static std::vector<Place> choose_in_one_zone(const Pass& pass, const UnmetDemand& unmet,
                                                 std::vector<Place>& places);
    // Drops places whose cost is not below the wait until the promised start. The cost is the work that the victims
    // lose plus the image fetch.
    static void drop_costly(const Pass& pass, const UnmetDemand& unmet, std::vector<Place>& chosen);
    // Preempts the victims on hosts that this controller leads, and reserves the capacity on all of the hosts.
    void execute(Pass& pass, const UnmetDemand& unmet, const std::vector<Place>& chosen);
    void preempt_task(const state::TaskRef& victim, const state::HostRecord& host, const state::Job& preemptor,
                      Timestamp now);

    const leadership::ControllerContext& context_;
    leadership::RoundSchedule& schedule_;
    workers::HostTable& hosts_;
    const PlacementModel& model_;
    const QueueOrder& queueOrder_;
    std::map<std::string, Reservation> reservations_;  // by job
};

}  // namespace wellstair::scheduling
