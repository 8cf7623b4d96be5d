// The states of jobs, tasks, hosts, gangs and members, and their legal transitions.
#pragma once

#include "state/state_machine.hpp"

namespace wellstair::state {

// The stored state of a job. A cancelled job becomes `aborted` once its last task is gone.
enum class JobState { active, cancelled, done, aborted };
struct JobTraits {
    static const char* name(JobState s) {
        constexpr const char* kNames[] = {"active", "cancelled", "done", "aborted"};
        return kNames[static_cast<int>(s)];
    }
    static bool allows(JobState from, JobState to) {
        switch (from) {
            case JobState::active:
                return to != JobState::active;
            case JobState::cancelled:
                return to == JobState::aborted;
            default:
                return false;  // `done` and `aborted` are final
        }
    }
};

// The state of a task: `placed` from the stored intent to start it until its termination is proven.
enum class TaskState : unsigned char { open, placed, done };
struct TaskTraits {
    static const char* name(TaskState s) {
        constexpr const char* kNames[] = {"open", "placed", "done"};
        return kNames[static_cast<int>(s)];
    }
    static bool allows(TaskState from, TaskState to) {
        // A watch may merge several changes into one, so any transition except one out of `done` can be observed.
        return from != TaskState::done && from != to;
    }
};

// The state of a host from the view of its leader.
enum class HostState {
    acquiring,  // sends its heartbeats here; the registration is not stored yet
    led,        // registered here; commands of an earlier leader may still reach it
    confirmed,  // has confirmed our fencing token and rejects commands with older ones
    silent,     // heartbeats are overdue; its lease may still be valid
    expired,    // the lease of its newest known agent epoch has expired by our clock, so its tasks have terminated
    released,   // led by another controller or by none
};
struct HostTraits {
    static const char* name(HostState s) {
        constexpr const char* kNames[] = {"acquiring", "led", "confirmed", "silent", "expired", "released"};
        return kNames[static_cast<int>(s)];
    }
    static bool allows(HostState from, HostState to) {
        switch (to) {
            case HostState::acquiring:
                return true;
            case HostState::led:
                return from != HostState::silent && from != HostState::expired;
            case HostState::confirmed:
                return from == HostState::led || from == HostState::silent || from == HostState::expired;
            case HostState::silent:
                return from == HostState::confirmed || from == HostState::expired;
            case HostState::expired:
                return from == HostState::silent;
            case HostState::released:
                return true;
        }
        return false;
    }
};

// The state of a gang, derived from the states of its tasks (Job::gang_state). `partial`: some tasks are placed or
// done, others are open.
enum class GangState { open, placed, partial, done };

// Whether this process may act as a controller (leadership/availability.hpp).
enum class Availability {
    joining,       // holds no member lease yet
    serving,       // its member record exists and the state service responds
    disconnected,  // the state service responds to no controller: an outage
    isolated,      // the state service responds to others, or the last read is too old: it leads no hosts
};
struct AvailabilityTraits {
    static const char* name(Availability s) {
        constexpr const char* kNames[] = {"joining", "serving", "disconnected", "isolated"};
        return kNames[static_cast<int>(s)];
    }
    static bool allows(Availability from, Availability to) { return from != to; }
};

}  // namespace wellstair::state
