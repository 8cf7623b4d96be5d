// Who this controller process is and what it has read: the state that all decisions share.
//
// Owns the cached state of the state service, the process's availability and the time of the event that is being
// handled. Changed by Core alone; every component gets it by reference. Single-threaded, free of I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/timestamp.hpp"
#include "config/settings.hpp"
#include "state/state_cache.hpp"
#include "state/states.hpp"

namespace wellstair::leadership {

class ControllerContext {
  public:
    // `incarnation` is unique among all processes that have ever run under this member name.
    ControllerContext(const config::Settings& settings, std::uint64_t incarnation);

    const config::Settings& settings() const { return settings_; }
    const std::string& member() const { return settings_.member; }
    std::uint64_t incarnation() const { return incarnation_; }

    state::StateCache& state() { return *state_; }
    const state::StateCache& state() const { return *state_; }
    // Begins with an empty cache, for keys of this layout. Its callbacks are not set, and it is not ready.
    void reset_state(const state::LayoutRecord& layout);
    // Whether the cache has caught up with the state service since it was reset.
    bool state_ready() const { return stateReady_; }
    void set_state_ready(bool ready) { stateReady_ = ready; }

    state::Availability availability() const { return availability_; }
    bool serving() const { return availability_ == state::Availability::serving; }
    // Steady time in seconds since when this process has been serving; far in the past before it has.
    double serving_since() const { return servingSinceS_; }
    void set_availability(state::Availability next, Timestamp now);

    // The revision of this process's own member record, on which all of its transactions depend. 0: not registered.
    std::uint64_t member_revision() const;

    // Whether this very process is the leader of the host, by the cached state.
    bool leads_host(const state::HostRecord* host) const;
    // Whether the process that leads the host has ended.
    bool unowned(const state::HostRecord& host) const;
    // Whether this controller is the one to end the job, stop its gang and place what any controller may place. That
    // is the job's owner while it lives; then the live controllers agree on one by a hash.
    bool responsible(const state::Job& job) const;

    // The event that is being handled: callbacks of the cache have no other clock.
    Timestamp now() const { return now_; }
    void set_now(Timestamp now) { now_ = now; }

  private:
    const config::Settings& settings_;
    const std::uint64_t incarnation_;
    std::unique_ptr<state::StateCache> state_;
    bool stateReady_ = false;
    state::StateMachine<state::Availability, state::AvailabilityTraits> availability_{state::Availability::joining};
    double servingSinceS_ = -1e9;
    Timestamp now_;
};

}  // namespace wellstair::leadership
