// Makes room for jobs of higher priority, and for jobs within their team's guarantee at the cost of what other teams
// run beyond theirs; in no other case.
//
// All controllers look at all hosts and each preempts only on hosts that it leads, so that they choose alike without
// messages. Owns the reservations: room that is being made is kept for its job until the last of it is free. A wide
// gang gets all its places at once or nothing is preempted for it. Single-threaded, free of I/O.
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

// Room that is being made for a job.
struct Reservation {
    std::vector<std::string> hosts;  // by task
    double untilS = 0;               // time of day
};

class Preemption {
  public:
    Preemption(const leadership::ControllerContext& context, leadership::RoundSchedule& schedule,
               workers::HostTable& hosts, const PlacementModel& model, const QueueOrder& queueOrder)
        : context_(context), schedule_(schedule), hosts_(hosts), model_(model), queueOrder_(queueOrder) {}

    // Preempts for what the plan leaves without room.
    void preempt(const Plan& plan, Timestamp now);

    // Forgets reservations that have ended, or whose job is over.
    void expire_reservations(Timestamp now);
    // Nothing if no room is kept for the job.
    const Reservation* reservation(const std::string& job) const;
    void release_reservation(const std::string& job) { reservations_.erase(job); }

  private:
    // A task that may be preempted. Costs are in seconds of work that is lost.
    struct Victim {
        state::TaskRef task;
        double costS = 0;
    };
    // Room for one task, once these victims are gone.
    struct Place {
        std::size_t machine = 0;
        double costS = 0;  // of the victims, and of fetching the image
        std::vector<state::TaskRef> victims;
    };
    // What is the same for all jobs that one plan leaves without room.
    struct Pass {
        const Plan& plan;
        Timestamp now;
        std::set<const state::Job*> overQuota;
        std::set<std::pair<const state::Job*, std::uint32_t>> preempted;
    };

    // Tasks on the machine that may be preempted for the job, cheapest first.
    void collect_victims(const Pass& pass, const UnmetDemand& unmet, std::size_t machine,
                         std::vector<Victim>& victims) const;
    static bool may_preempt(const Pass& pass, const UnmetDemand& unmet, const state::TaskRef& task);
    double preemption_cost_s(const state::TaskRef& task, const placement::Machine& machine, Timestamp now) const;
    // All places that the job can have, cheapest first.
    std::vector<Place> candidate_places(const Pass& pass, const UnmetDemand& unmet) const;
    static void add_places(const Pass& pass, const UnmetDemand& unmet, std::size_t machine,
                           const std::vector<Victim>& victims, std::vector<Place>& places);
    // The cheapest places that the job's tasks can have together.
    static std::vector<Place> choose_places(const Pass& pass, const UnmetDemand& unmet, std::vector<Place> places);
    // All tasks in one zone: the first zone with enough places.
    static std::vector<Place> choose_in_one_zone(const Pass& pass, const UnmetDemand& unmet,
                                                 std::vector<Place>& places);
    // Drops places that are not worth it: the promised start must be later than what the victims lose and the fetch
    // together.
    static void drop_costly(const Pass& pass, const UnmetDemand& unmet, std::vector<Place>& chosen);
    // Preempts the victims on hosts that are led here, and keeps the room.
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
