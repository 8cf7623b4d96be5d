// Which machines to rent: for tasks that have no room, and for those that usually arrive while a machine boots.
#include <algorithm>
#include <cmath>

#include "controller/core.hpp"
#include "scheduling/job_needs.hpp"

namespace wellstair::controller {

using scheduling::allows;
using scheduling::need_of;
using state::HostRecord;

namespace {

// A rented host that has not registered after a multiple of its boot time and a margin no longer counts as pending.
constexpr double kPendingBootTimes = 4, kPendingMarginS = 30;
// Upper bound of the machines requested at a time: the larger of a fixed number, which a few calls bring, and a
// fraction of the existing hosts, given by its divisor.
constexpr std::size_t kMinScaleOutBatch = 20, kScaleOutBatchDivisor = 16;
constexpr std::uint32_t kMaxMachinesPerRequest = 50;  // of one type and zone

std::string offer_key(const ScaleOutRequest& offer) {
    return offer.machineType + "/" + offer.zone + (offer.spot ? "/spot" : "/ordinary");
}

}  // namespace

void Core::set_machines(std::vector<wire::Machine> machines, Timestamp) {
    for (const auto& machine : machines) {
        auto it = pendingHosts_.find(machine.name);
        if (it != pendingHosts_.end() && machine.phase == "failed") pendingHosts_.erase(it);
    }
    scaleIn_.set_machines(std::move(machines));
}

void Core::record_rented(const ScaleOutRequest& request, const std::vector<std::string>& hosts, Timestamp now) {
    for (const auto& host : hosts) pendingHosts_[host] = {request, now.steady};
    if (!hosts.empty()) backoffs_.erase(offer_key(request));
    if (hosts.size() < request.number) record_refused(request, now);
}

void Core::record_refused(const ScaleOutRequest& request, Timestamp now) {
    Backoff& backoff = backoffs_[offer_key(request)];
    backoff.untilS = now.steady + settings_.leaseS;
}

void Core::plan_scale_out(Timestamp now) {
    context_.set_now(now);
    unmetDemand_.clear();
    if (!holds_cloud_role() || context_.state().machine_types().empty()) return;
    scheduling::Plan plan = planner_.make_plan(now, scheduling::PlanPurpose::estimate_demand);
    for (const auto& unmet : plan.unmet) unmetDemand_.emplace_back(*unmet.job->spec, unmet.tasks);
    // Headroom: room for the tasks of each job class that usually arrive while a machine boots.
    placement::Planner headroomPlanner(now.wall, std::move(plan.machines), placementModel_.weights(plan.hosts.size()));
    for (const auto& [name, jobClass] : demand_.by_class()) {
        double bootS = 0;
        for (const auto& [typeName, type] : context_.state().machine_types())
            if (need_of(jobClass.latestSpec).fits({type.cores, type.gpus, type.ramGb}))
                bootS = std::max(bootS, type.startupS);
        double headroomTasks = std::ceil(tunables_.headroom * jobClass.tasks() * bootS / demand_.window_s());
        const config::Team* team = settings_.team(jobClass.latestSpec.team);
        if (team && team->gpusMax > 0 && jobClass.latestSpec.gpus > 0)
            headroomTasks = std::min(headroomTasks, std::floor(team->gpusMax / jobClass.latestSpec.gpus));
        const auto target = static_cast<std::uint32_t>(headroomTasks);
        if (!target) continue;
        auto slots =
            headroomPlanner.place_batch(placementModel_.unconstrained_request(jobClass.latestSpec, target), true);
        if (slots.size() < target)
            unmetDemand_.emplace_back(jobClass.latestSpec, target - static_cast<std::uint32_t>(slots.size()));
    }
    // Hosts that neither tasks nor headroom need are idle. The time is kept since when each has been idle.
    std::map<std::string, double> idle;
    for (std::size_t i = 0; i < plan.hosts.size(); ++i) {
        const std::string& name = plan.hosts[i]->name;
        if (headroomPlanner.machines()[i].allocations.empty())
            idle[name] = idleHosts_.count(name) ? idleHosts_[name] : now.steady;
    }
    idleHosts_ = std::move(idle);
}

std::vector<ScaleOutRequest> Core::scale_out_requests(Timestamp now) {
    std::vector<ScaleOutRequest> out;
    if (!holds_cloud_role() || context_.state().machine_types().empty()) return out;
    std::erase_if(pendingHosts_, [&](auto& entry) {
        HostRecord* host = context_.state().host(entry.first);
        const double bootS = context_.state().boot_time_s(entry.second.request.machineType);
        return (host && (host->registered() || host->returning())) ||
               now.steady - entry.second.sinceS > kPendingBootTimes * bootS + kPendingMarginS;
    });
    std::vector<placement::Offer> offers;
    std::vector<std::uint32_t> pending;     // per offer: rented hosts that have not registered yet
    std::vector<ScaleOutRequest> requests;  // per offer, without a number
    std::map<std::string, std::uint32_t> pendingByKey;
    for (const auto& [name, pendingHost] : pendingHosts_) ++pendingByKey[offer_key(pendingHost.request)];
    for (const auto& [typeName, type] : context_.state().machine_types())
        for (const std::string& zone : type.zones)
            for (bool spot : {false, true}) {
                ScaleOutRequest request{typeName, zone, spot, 0};
                auto backoff = backoffs_.find(offer_key(request));
                offers.push_back({typeName,
                                  zone,
                                  spot,
                                  {type.cores, type.gpus, type.ramGb},
                                  spot ? type.spotPrice : type.price,
                                  type.startupS,
                                  backoff != backoffs_.end() && now.steady < backoff->second.untilS});
                pending.push_back(pendingByKey[offer_key(request)]);
                requests.push_back(request);
            }
    std::vector<placement::TaskDemand> wants;
    for (const auto& [spec, count] : unmetDemand_) {
        placement::TaskDemand want{need_of(spec), count, {}};
        for (const auto& offer : offers)
            want.allowed.push_back(allows(spec, offer.machineType, offer.zone, offer.spot));
        wants.push_back(std::move(want));
    }
    auto maxMachines = static_cast<std::uint32_t>(
        std::max<std::size_t>(kMinScaleOutBatch, context_.state().hosts().size() / kScaleOutBatchDivisor));
    for (const auto& choice : placement::choose_scale_out(offers, wants, pending, maxMachines)) {
        ScaleOutRequest request = requests[choice.offer];
        request.number = std::min(choice.machineCount, kMaxMachinesPerRequest);
        out.push_back(request);
    }
    return out;
}

}  // namespace wellstair::controller
