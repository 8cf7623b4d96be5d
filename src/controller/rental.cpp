// What to rent: what lacks room, and what usually arrives while a machine boots.
#include <algorithm>
#include <cmath>

#include "controller/core.hpp"
#include "controller/job_needs.hpp"

namespace wellstair::controller {

using model::HostRecord;

namespace {

std::string offer_key(const RentalOrder& o) {
    return o.build + "/" + o.hall + (o.loaner ? "/spot" : "/ordinary");
}

}  // namespace

void Core::set_machines(std::vector<wire::Machine> machines, Moment now) {
    cloud_.machines = std::move(machines);
    cloud_.atS = now.steady;
    for (const auto& m : cloud_.machines) {
        auto it = coming_.find(m.ref);
        if (it != coming_.end() && m.phase == "failed") coming_.erase(it);
    }
}

void Core::rented(const RentalOrder& order, const std::vector<std::string>& hosts, Moment now) {
    for (const auto& h : hosts) coming_[h] = {order, now.steady};
    if (!hosts.empty()) refusals_.erase(offer_key(order));
    if (hosts.size() < order.number) refused(order, now);
}

void Core::refused(const RentalOrder& order, Moment now) {
    Refusal& r = refusals_[offer_key(order)];
    r.untilS = now.steady + settings_.leaseS;
}

// What lacks room, and which machines nobody needs.
void Core::plan_rentals(Moment now) {
    now_ = now;
    wanted_.clear();
    if (!holds_cloud_role() || view_->types().empty()) return;
    Plan plan = make_plan(now, false);
    for (const auto& u : plan.unmet) wanted_.emplace_back(*u.job->spec, u.tasks);
    // Ahead of demand: what usually arrives while a machine boots.
    placement::Planner ahead(now.wall, std::move(plan.machines), weights(plan.records.size()));
    for (auto& [name, lane] : lanes_) {
        double window = 4 * settings_.leaseS;
        double tasks = 0;
        for (const auto& [at, n] : lane.arrivals) tasks += n;
        double boot = 0;
        for (const auto& [sku, t] : view_->types())
            if (need_of(lane.last).fits({t.cores, t.gpus, t.ramGb})) boot = std::max(boot, t.startupS);
        auto target = static_cast<std::uint32_t>(std::ceil(tunables_.headroom * tasks * boot / window));
        const app::Team* team = settings_.team(lane.last.crew);
        if (team && team->gpusMax > 0 && lane.last.gpus > 0)
            target = std::min(target, static_cast<std::uint32_t>(team->gpusMax / lane.last.gpus));
        if (!target) continue;
        auto slots = ahead.place_batch(probe(lane.last, target), true);
        if (slots.size() < target) wanted_.emplace_back(lane.last, target - static_cast<std::uint32_t>(slots.size()));
    }
    // Machines that neither work nor headroom needs are surplus; the clock of each starts when it becomes so.
    std::map<std::string, double> idle;
    for (std::size_t i = 0; i < plan.records.size(); ++i) {
        const std::string& name = plan.records[i]->name;
        if (ahead.machines()[i].holds.empty()) idle[name] = idleSince_.count(name) ? idleSince_[name] : now.steady;
    }
    idleSince_ = std::move(idle);
}

std::vector<RentalOrder> Core::rentals(Moment now) {
    std::vector<RentalOrder> out;
    if (!holds_cloud_role() || view_->types().empty()) return out;
    std::erase_if(coming_, [&](auto& e) {
        HostRecord* h = view_->host(e.first);
        const auto* t = view_->type(e.second.what.build);
        return (h && (h->registered() || h->leaves())) ||
               now.steady - e.second.sinceS > 4 * (t ? t->startupS : 60) + 30;
    });
    std::vector<placement::Offer> offers;
    std::vector<std::uint32_t> coming;
    std::vector<RentalOrder> kinds;
    std::map<std::string, std::uint32_t> onTheWay;
    for (const auto& [name, c] : coming_) ++onTheWay[offer_key(c.what)];
    for (const auto& [sku, t] : view_->types())
        for (const std::string& hall : t.halls)
            for (bool loaner : {false, true}) {
                RentalOrder kind{sku, hall, loaner, 0};
                auto r = refusals_.find(offer_key(kind));
                offers.push_back({sku,
                                  hall,
                                  loaner,
                                  {t.cores, t.gpus, t.ramGb},
                                  loaner ? t.lowPrice : t.rate,
                                  t.startupS,
                                  r != refusals_.end() && now.steady < r->second.untilS});
                coming.push_back(onTheWay[offer_key(kind)]);
                kinds.push_back(kind);
            }
    std::vector<placement::Want> wants;
    for (const auto& [s, count] : wanted_) {
        placement::Want w{need_of(s), count, {}};
        for (const auto& o : offers) w.allowed.push_back(allows(s, o.build, o.hall, o.loaner));
        wants.push_back(std::move(w));
    }
    // In one go, at most what a few calls bring, or a sixteenth of the machines there are.
    auto most = static_cast<std::uint32_t>(std::max<std::size_t>(20, view_->hosts().size() / 16));
    for (const auto& r : placement::choose_rentals(offers, wants, coming, most)) {
        RentalOrder o = kinds[r.offer];
        o.number = std::min(r.number, 50u);
        out.push_back(o);
    }
    return out;
}

}  // namespace wellstair::controller
