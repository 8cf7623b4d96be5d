// What a leader knows of one of its machines beyond the state service: the newest heartbeat, and which commands may
// still be under way. Time is passed in.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "state/states.hpp"
#include "wire/messages.hpp"
#include "workers/worker_lease.hpp"

namespace wellstair::workers {

using TaskKey = std::pair<std::string, std::uint32_t>;  // job, index

struct ObservedTask {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::pulling;
    wire::Cause cause = wire::Cause::none;
    bool checkpointed = false;
    double sinceS = 0;  // when this phase was first reported
};

struct SentStart {
    std::uint32_t attempt = 0;
    std::uint64_t agentEpoch = 0;        // in which it was first sent
    std::uint64_t answeredSequence = 0;  // the last heartbeat that was answered when it was sent
    double commandedS = -1e9;            // the last time it went out by /commands
    bool seen = false;                   // some heartbeat has listed it
    int inFlight = 0;                    // sent by /commands, reply outstanding
    std::uint64_t unanswered = 0;  // fencing token of a /commands start that got no reply: it may execute minutes later
};

struct SentStop {
    std::uint32_t attempt = 0;
    double sentS = -1e9;
};

// How a heartbeat came here: sent by the worker itself, or as the reply to a command. Only the first is answered, and
// only its answer renews the worker's lease.
enum class StatusSource { heartbeat, command_reply };

struct HostTracker {
    state::StateMachine<state::HostState, state::HostTraits> state{state::HostState::acquiring};
    std::uint64_t agentEpoch = 0, sequence = 0;  // of the newest heartbeat, whichever way it came
    std::uint64_t seenToken = 0;                 // the highest fencing token that the machine had seen by then
    std::uint64_t leaderToken = 0;               // of the leadership that these notes are about
    double unconfirmedS = -1e9;                  // since when the host has not confirmed it
    // Heartbeats in a row that did not follow the last message from here: the host has been elsewhere meanwhile, as it
    // does when an answer fails to reach it.
    int missedAnswers = 0;
    double unreachableSinceS = -1e9;
    WorkerLease lease;
    std::optional<double> preemptionAtS;  // steady time at which the cloud takes the machine
    std::string address;
    std::map<TaskKey, ObservedTask> tasks;
    std::map<TaskKey, SentStart> starts;
    std::map<TaskKey, SentStop> stops;
    std::map<TaskKey, double> evict;  // tasks to be stopped (room for others, machine going away): since when
    bool needFence = false;           // a start may be under way: register anew and wait for the host to confirm
    int failures = 0;                 // errors in a row
    std::set<std::string> failedJobs;
    double quarantineUntilS = -1e9;

    // Newer than everything seen before? Older heartbeats are ignored: their task lists are as old as they are.
    bool newer(const wire::Heartbeat& r) const {
        return r.agentEpoch > agentEpoch || (r.agentEpoch == agentEpoch && r.sequence > sequence);
    }
    // Takes over the contents of a heartbeat, from a heartbeat or from the reply of a command.
    void take(const wire::Heartbeat& r, StatusSource source, double nowS);
    // A new leadership: what was noted under the last one proves nothing any more.
    void begin_leadership(std::uint64_t seenToken, double nowS);
    // Its heartbeats arrive, but our answers seem not to reach it: fit for no work until one has.
    bool unreachable() const { return missedAnswers >= 2; }
};

}  // namespace wellstair::workers
