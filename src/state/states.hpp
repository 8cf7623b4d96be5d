// The named states of jobs, tasks, hosts, gangs and members, and their legal changes.
#pragma once

#include "state/state_machine.hpp"

namespace wellstair::state {

// A job as the state service has it. `cancelled` until its last task is gone, then `aborted`.
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
                return false;  // final for ever
        }
    }
};

// A task: `placed` from the durable intent until the proof that it is gone.
enum class TaskState : unsigned char { open, placed, done };
struct TaskTraits {
    static const char* name(TaskState s) {
        constexpr const char* kNames[] = {"open", "placed", "done"};
        return kNames[static_cast<int>(s)];
    }
    static bool allows(TaskState from, TaskState to) {
        // A watch may fold several changes into one, so every change but one away from done can be seen.
        return from != TaskState::done && from != to;
    }
};

// A host as its leader sees it.
enum class HostState {
    acquiring,  // sends its heartbeats here; the registration is not durable yet
    led,        // registered here; older commands may still reach it
    confirmed,  // has confirmed our fencing token: commands under older ones are refused
    silent,     // no heartbeat for a while; its lease may still run
    expired,    // its lease has expired by our own count: its tasks are gone
    released,   // led by another controller, or by none
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
                return from == HostState::confirmed;
            case HostState::expired:
                return from == HostState::silent;
            case HostState::released:
                return true;
        }
        return false;
    }
};

// A gang's state follows from those of its tasks (Job::gang_state): it is never set.
enum class GangState { open, placed, partial, done };

// Whether this process may act as a controller (leadership/availability.hpp).
enum class Availability {
    joining,       // has no member lease yet
    serving,       // its member record exists and the state service answers
    disconnected,  // the state service answers nobody: an outage
    isolated,      // the state service answers others, or was read too long ago: it leads no host any more
};
struct AvailabilityTraits {
    static const char* name(Availability s) {
        constexpr const char* kNames[] = {"joining", "serving", "disconnected", "isolated"};
        return kNames[static_cast<int>(s)];
    }
    static bool allows(Availability from, Availability to) { return from != to; }
};

}  // namespace wellstair::state
