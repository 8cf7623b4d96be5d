#include "leadership/controller_context.hpp"

#include <spdlog/spdlog.h>

#include "common/stable_hash.hpp"

namespace wellstair::leadership {

using state::Availability;
using state::AvailabilityTraits;

ControllerContext::ControllerContext(const config::Settings& settings, std::uint64_t incarnation)
    : settings_(settings), incarnation_(incarnation) {}

void ControllerContext::reset_state(const state::LayoutRecord& layout) {
    state_ = std::make_unique<state::StateCache>(layout.chunkSize, layout.shardWidth);
    stateReady_ = false;
}

void ControllerContext::set_availability(Availability next, Timestamp now) {
    const Availability before = availability_;
    if (!availability_.transition_to(next)) return;
    if (next == Availability::serving) servingSinceS_ = now.steady;
    spdlog::info("availability {} -> {}", AvailabilityTraits::name(before), AvailabilityTraits::name(next));
}

std::uint64_t ControllerContext::member_revision() const {
    auto it = state_->members().find(settings_.member);
    return it != state_->members().end() && it->second.incarnation == incarnation_ ? it->second.revision : 0;
}

bool ControllerContext::leads_host(const state::HostRecord* host) const {
    return host && host->registered() && host->leader == settings_.member && host->incarnation == incarnation_;
}

bool ControllerContext::unowned(const state::HostRecord& host) const {
    auto leader = state_->members().find(host.leader);
    return host.registered() && (leader == state_->members().end() || leader->second.incarnation != host.incarnation);
}

bool ControllerContext::responsible(const state::Job& job) const {
    if (state_->member_live(job.owner)) return job.owner == settings_.member;
    // Rendezvous hashing: the member with the highest hash for this job.
    const std::string* chosen = nullptr;
    for (const auto& [name, record] : state_->members())
        if (!chosen || stable_hash(name, job.id) > stable_hash(*chosen, job.id)) chosen = &name;
    return chosen && *chosen == settings_.member;
}

}  // namespace wellstair::leadership
