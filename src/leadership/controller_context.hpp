// Identity, availability and cached state of this controller process, shared by all of its decisions.
//
// Owns the cache of the state service, the process's availability and the time of the event that is being handled.
// Changed by Core only; every component gets it by reference. Single-threaded, free of I/O.
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
    // Replaces the cache by an empty one for keys of this layout. Its callbacks are not set, and it is not ready.
    void reset_state(const state::LayoutRecord& layout);
    // Whether the cache has caught up with the state service since it was reset.
    bool state_ready() const { return stateReady_; }
    void set_state_ready(bool ready) { stateReady_ = ready; }

    state::Availability availability() const { return availability_; }
    bool serving() const { return availability_ == state::Availability::serving; }
    // Steady time at which this process last began to serve, in seconds; kNeverS before it has.
    double serving_since() const { return servingSinceS_; }
    void set_availability(state::Availability next, Timestamp now);

    // Revision of this process's own member record, which all of its transactions compare. 0: not registered.
    std::uint64_t member_revision() const;

    // Whether this process is the leader of the host, by the cached state. An earlier process of the same member name
    // does not count.
    bool leads_host(const state::HostRecord* host) const;
    // Whether the host is registered under a process that is no longer a member.
    bool unowned(const state::HostRecord& host) const;
    // Whether this controller finishes the job, stops its gang, and places those of its tasks that any controller may
    // place. The job's owner does so while it is a live member; otherwise a live member that is chosen by a hash, so
    // that all of them agree on it.
    bool responsible(const state::Job& job) const;

    // Time of the event that is being handled. Callbacks of the cache take their time from here.
    Timestamp now() const { return now_; }
    void set_now(Timestamp now) { now_ = now; }

  private:
    const config::Settings& settings_;
    const std::uint64_t incarnation_;
    std::unique_ptr<state::StateCache> state_;
    bool stateReady_ = false;
    state::StateMachine<state::Availability, state::AvailabilityTraits> availability_{state::Availability::joining};
    double servingSinceS_ = kNeverS;
    Timestamp now_;
};

}  // namespace wellstair::leadership
