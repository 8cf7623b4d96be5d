// The named states of jobs, tasks, hosts, gangs and members, and their legal changes.
#pragma once

#include "state/state_machine.hpp"

namespace wellstair::state {

// A job as the state service has it.
enum class JobState { active, cancelled, done, aborted };
struct JobTraits {
    static const char* name(JobState s) {
        constexpr const char* n[] = {"active", "cancelled", "done", "aborted"};
        return n[static_cast<int>(s)];
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
        constexpr const char* n[] = {"open", "placed", "done"};
        return n[static_cast<int>(s)];
    }
    static bool allows(TaskState from, TaskState to) {
        // A watch may fold several changes into one, so every change but one away from done can be seen.
        return from != TaskState::done && from != to;
    }
};

// A machine as its leader sees it.
enum class HostState {
    acquiring,  // reported here; the registration is not durable yet
    led,        // registered here; older commands may still reach it
    confirmed,  // has confirmed our fencing token: nobody else's command can reach it
    silent,     // no heartbeat for a while; its lease may still run
    expired,    // the lease has run out by our own count: its tasks are gone
    released,   // somebody else keeps it, or we have let go
};
struct HostTraits {
    static const char* name(HostState s) {
        constexpr const char* n[] = {"acquiring", "led", "confirmed", "silent", "expired", "released"};
        return n[static_cast<int>(s)];
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

// A gang's state follows from those of its tasks (Core::gang_state): it is never set.
enum class GangState { open, placed, broken, done };

// This process's own standing.
enum class Availability {
    joining,       // no lease yet
    serving,       // our member key stands and the store answers
    disconnected,  // the store does not answer anybody: an outage
    isolated,      // the store answers others, not us: let go
};
struct AvailabilityTraits {
    static const char* name(Availability s) {
        constexpr const char* n[] = {"joining", "serving", "disconnected", "isolated"};
        return n[static_cast<int>(s)];
    }
    static bool allows(Availability from, Availability to) { return from != to; }
};

}  // namespace wellstair::state
