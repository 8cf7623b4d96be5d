// The named states of jobs, steps, hosts, gangs and members, and their legal changes.
#pragma once

#include "model/machine.hpp"

namespace wellstair::model {

// A job as the state service has it.
enum class JobState { active, withdrawn, done, aborted };
struct JobTraits {
    static const char* name(JobState s) {
        constexpr const char* n[] = {"active", "withdrawn", "done", "aborted"};
        return n[static_cast<int>(s)];
    }
    static bool allows(JobState from, JobState to) {
        switch (from) {
            case JobState::active:
                return to != JobState::active;
            case JobState::withdrawn:
                return to == JobState::aborted;
            default:
                return false;  // final for ever
        }
    }
};

// A task: `placed` from the durable intent until the proof that it is gone.
enum class StepState : unsigned char { open, placed, done };
struct StepTraits {
    static const char* name(StepState s) {
        constexpr const char* n[] = {"open", "placed", "done"};
        return n[static_cast<int>(s)];
    }
    static bool allows(StepState from, StepState to) {
        // A watch may fold several changes into one, so every change but one away from done can be seen.
        return from != StepState::done && from != to;
    }
};

// A machine as its keeper sees it.
enum class HostState {
    claiming,  // reported here; the registration is not durable yet
    kept,      // registered here; older commands may still reach it
    fenced,    // has confirmed our baton: nobody else's command can reach it
    silent,    // no report for a while; its lease may still run
    expired,   // the lease has run out by our own count: its tasks are gone
    released,  // somebody else keeps it, or we have let go
};
struct HostTraits {
    static const char* name(HostState s) {
        constexpr const char* n[] = {"claiming", "kept", "fenced", "silent", "expired", "released"};
        return n[static_cast<int>(s)];
    }
    static bool allows(HostState from, HostState to) {
        switch (to) {
            case HostState::claiming:
                return true;
            case HostState::kept:
                return from != HostState::silent && from != HostState::expired;
            case HostState::fenced:
                return from == HostState::kept || from == HostState::silent || from == HostState::expired;
            case HostState::silent:
                return from == HostState::fenced;
            case HostState::expired:
                return from == HostState::silent;
            case HostState::released:
                return true;
        }
        return false;
    }
};

// A gang's state follows from those of its steps (Core::gang_state): it is never set.
enum class GangState { open, placed, broken, done };

// This process's own standing.
enum class MemberState {
    joining,  // no lease yet
    live,     // our member key stands and the store answers
    adrift,   // the store does not answer anybody: an outage
    alone,    // the store answers others, not us: let go
};
struct MemberTraits {
    static const char* name(MemberState s) {
        constexpr const char* n[] = {"joining", "live", "adrift", "alone"};
        return n[static_cast<int>(s)];
    }
    static bool allows(MemberState from, MemberState to) { return from != to; }
};

}  // namespace wellstair::model
