// What a keeper knows of one of its machines beyond the state service: the newest report, and which commands may
// still be under way. Time is passed in.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "model/states.hpp"
#include "model/worker_lease.hpp"
#include "wire/messages.hpp"

namespace wellstair::model {

using TaskKey = std::pair<std::string, std::uint32_t>;  // job, index

struct Seen {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::pulling;
    wire::Cause cause = wire::Cause::none;
    bool kept = false;
    double sinceS = 0;  // when this phase was first reported
};

struct StartNote {
    std::uint32_t attempt = 0;
    std::uint64_t session = 0;         // in which it was first sent
    std::uint64_t answeredReport = 0;  // the last report that was answered when it was sent
    double commandedS = -1e9;          // the last time it went out by /commands
    bool seen = false;                 // some report has listed it
    int inFlight = 0;                  // sent by /commands, reply outstanding
    std::uint64_t unanswered = 0;  // fencing token of a /commands start that got no reply: it may execute minutes later
};

struct HaltNote {
    std::uint32_t attempt = 0;
    double sentS = -1e9;
};

// How a report came here: sent by the worker itself, or as the reply to a command. Only the first is answered, and only
// its answer renews the worker's lease.
enum class ReportSource { checkin, command_reply };

struct HostNotes {
    StateMachine<HostState, HostTraits> state{HostState::claiming};
    std::uint64_t session = 0, reportNumber = 0;  // of the newest report, whichever way it came
    std::uint64_t token = 0;                      // the highest fencing token that the machine had seen by then
    std::uint64_t keptUnderToken = 0;             // of the keepership that these notes are about
    double unconfirmedS = -1e9;                   // since when the host has not confirmed it
    // Check-ins in a row that did not follow the last message from here: the host has been elsewhere meanwhile, as it
    // does when an answer fails to reach it.
    int gaps = 0;
    double deafSinceS = -1e9;
    WorkerLease lease;
    std::optional<double> reclaimS;  // steady time at which the cloud takes the machine
    std::string address;
    std::map<TaskKey, Seen> tasks;
    std::map<TaskKey, StartNote> starts;
    std::map<TaskKey, HaltNote> halts;
    std::map<TaskKey, double> evict;  // tasks to be stopped (room for others, machine going away): since when
    bool needFence = false;           // a start may be under way: register anew and wait for the host to confirm
    int failures = 0;                 // errors in a row
    std::set<std::string> failedJobs;
    double quarantineUntilS = -1e9;

    // Newer than everything seen before? Older reports are ignored: their task lists are as old as they are.
    bool newer(const wire::Report& r) const {
        return r.tenure > session || (r.tenure == session && r.tick > reportNumber);
    }
    // Takes over the contents of a report, from a check-in or from the reply of a command.
    void take(const wire::Report& r, ReportSource source, double nowS);
    // A new keepership: what was noted under the last one proves nothing any more.
    void begin_keepership(std::uint64_t token, double nowS);
    // Its reports arrive, but our answers seem not to reach it: fit for no work until one has.
    bool deaf() const { return gaps >= 2; }
};

}  // namespace wellstair::model
