// What to rent: what lacks room, and what usually arrives while a machine boots.
#include <algorithm>
#include <cmath>

#include "controller/core.hpp"
#include "scheduling/job_needs.hpp"

namespace wellstair::controller {

using scheduling::allows;
using scheduling::need_of;
using state::HostRecord;

namespace {

std::string offer_key(const ScaleOutRequest& o) {
    return o.machineType + "/" + o.zone + (o.spot ? "/spot" : "/ordinary");
}

}  // namespace

void Core::set_machines(std::vector<wire::Machine> machines, Timestamp) {
    for (const auto& m : machines) {
        auto it = pendingHosts_.find(m.name);
        if (it != pendingHosts_.end() && m.phase == "failed") pendingHosts_.erase(it);
    }
    scaleIn_.set_machines(std::move(machines));
}

void Core::record_rented(const ScaleOutRequest& order, const std::vector<std::string>& hosts, Timestamp now) {
    for (const auto& h : hosts) pendingHosts_[h] = {order, now.steady};
    if (!hosts.empty()) backoffs_.erase(offer_key(order));
    if (hosts.size() < order.number) record_refused(order, now);
}

void Core::record_refused(const ScaleOutRequest& order, Timestamp now) {
    Backoff& r = backoffs_[offer_key(order)];
    r.untilS = now.steady + settings_.leaseS;
}

// What lacks room, and which machines nobody needs.
void Core::plan_scale_out(Timestamp now) {
    context_.set_now(now);
    unmetDemand_.clear();
    if (!holds_cloud_role() || context_.state().types().empty()) return;
    scheduling::Plan plan = planner_.make_plan(now, scheduling::PlanPurpose::estimate_demand);
    for (const auto& u : plan.unmet) unmetDemand_.emplace_back(*u.job->spec, u.tasks);
    // Ahead of demand: what usually arrives while a machine boots.
    placement::Planner ahead(now.wall, std::move(plan.machines), placementModel_.weights(plan.records.size()));
    for (const auto& [name, jobClass] : demand_.by_class()) {
        double window = 4 * settings_.leaseS;
        double tasks = 0;
        for (const auto& [at, n] : jobClass.arrivals) tasks += n;
        double boot = 0;
        for (const auto& [typeName, t] : context_.state().types())
            if (need_of(jobClass.last).fits({t.cores, t.gpus, t.ramGb})) boot = std::max(boot, t.startupS);
        auto target = static_cast<std::uint32_t>(std::ceil(tunables_.headroom * tasks * boot / window));
        const config::Team* team = settings_.team(jobClass.last.team);
        if (team && team->gpusMax > 0 && jobClass.last.gpus > 0)
            target = std::min(target, static_cast<std::uint32_t>(team->gpusMax / jobClass.last.gpus));
        if (!target) continue;
        auto slots = ahead.place_batch(placementModel_.probe(jobClass.last, target), true);
        if (slots.size() < target)
            unmetDemand_.emplace_back(jobClass.last, target - static_cast<std::uint32_t>(slots.size()));
    }
    // Machines that neither work nor headroom needs are surplus; the clock of each starts when it becomes so.
    std::map<std::string, double> idle;
    for (std::size_t i = 0; i < plan.records.size(); ++i) {
        const std::string& name = plan.records[i]->name;
        if (ahead.machines()[i].holds.empty()) idle[name] = idleHosts_.count(name) ? idleHosts_[name] : now.steady;
    }
    idleHosts_ = std::move(idle);
}

std::vector<ScaleOutRequest> Core::scale_out_requests(Timestamp now) {
    std::vector<ScaleOutRequest> out;
    if (!holds_cloud_role() || context_.state().types().empty()) return out;
    std::erase_if(pendingHosts_, [&](auto& e) {
        HostRecord* h = context_.state().host(e.first);
        const auto* t = context_.state().type(e.second.what.machineType);
        return (h && (h->registered() || h->leaves())) ||
               now.steady - e.second.sinceS > 4 * (t ? t->startupS : 60) + 30;
    });
    std::vector<placement::Offer> offers;
    std::vector<std::uint32_t> pending;
    std::vector<ScaleOutRequest> kinds;
    std::map<std::string, std::uint32_t> onTheWay;
    for (const auto& [name, c] : pendingHosts_) ++onTheWay[offer_key(c.what)];
    for (const auto& [typeName, t] : context_.state().types())
        for (const std::string& zone : t.zones)
            for (bool spot : {false, true}) {
                ScaleOutRequest kind{typeName, zone, spot, 0};
                auto r = backoffs_.find(offer_key(kind));
                offers.push_back({typeName,
                                  zone,
                                  spot,
                                  {t.cores, t.gpus, t.ramGb},
                                  spot ? t.lowPrice : t.rate,
                                  t.startupS,
                                  r != backoffs_.end() && now.steady < r->second.untilS});
                pending.push_back(onTheWay[offer_key(kind)]);
                kinds.push_back(kind);
            }
    std::vector<placement::Want> wants;
    for (const auto& [s, count] : unmetDemand_) {
        placement::Want w{need_of(s), count, {}};
        for (const auto& o : offers) w.allowed.push_back(allows(s, o.machineType, o.zone, o.spot));
        wants.push_back(std::move(w));
    }
    // In one go, at most what a few calls bring, or a sixteenth of the machines there are.
    auto most = static_cast<std::uint32_t>(std::max<std::size_t>(20, context_.state().hosts().size() / 16));
    for (const auto& r : placement::choose_scale_out(offers, wants, pending, most)) {
        ScaleOutRequest o = kinds[r.offer];
        o.number = std::min(r.number, 50u);
        out.push_back(o);
    }
    return out;
}

}  // namespace wellstair::controller
