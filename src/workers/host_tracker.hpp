// What a leader knows of one of its hosts beyond the state service: the newest heartbeat, and which commands may still
// be under way.
//
// Plain data, owned by HostTable and changed by the components that use it. Times are steady, in seconds, and passed
// in. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "state/states.hpp"
#include "wire/messages.hpp"
#include "workers/worker_lease.hpp"

namespace wellstair::workers {

// A steady time in seconds that lies before every event.
inline constexpr double kNeverS = -1e9;
// Answers in a row that have not reached a host, from which on it counts as unreachable.
inline constexpr int kMissedAnswersUntilUnreachable = 2;

using TaskKey = std::pair<std::string, std::uint32_t>;  // job, index

// A task as the newest heartbeat lists it.
struct ObservedTask {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::pulling;
    wire::Cause cause = wire::Cause::none;  // of its end
    bool checkpointed = false;
    double sinceS = 0;  // when this phase was first reported
};

// A start command that was sent.
struct SentStart {
    std::uint32_t attempt = 0;           // 0: nothing is noted yet
    std::uint64_t agentEpoch = 0;        // in which it was first sent
    std::uint64_t answeredSequence = 0;  // the last heartbeat that was answered when it was sent
    double commandedS = kNeverS;         // the last time it was sent straight to the host
    bool seen = false;                   // some heartbeat has listed it
    int inFlight = 0;                    // commands sent straight to the host whose reply is outstanding
    std::uint64_t unanswered = 0;        // highest fencing token of one that got no reply: it may execute minutes later
};

// A stop command that was sent.
struct SentStop {
    std::uint32_t attempt = 0;
    double sentS = kNeverS;
};

// How a host's status arrived: in a heartbeat that the worker sent itself, or in the reply to a command. Only the first
// is answered, and only its answer renews the worker's lease.
enum class StatusSource { heartbeat, command_reply };

struct HostTracker {
    state::StateMachine<state::HostState, state::HostTraits> state{state::HostState::acquiring};

    // --- the newest status, from either source
    std::uint64_t agentEpoch = 0, sequence = 0;
    std::uint64_t seenToken = 0;            // the highest fencing token that the host had seen by then
    std::string address;                    // where it takes commands
    std::optional<double> preemptionAtS;    // when the cloud takes the host, if it has given notice
    std::map<TaskKey, ObservedTask> tasks;  // the latest attempt of each

    // --- the leadership
    std::uint64_t leaderToken = 0;  // fencing token of the leadership that these notes are about
    double unconfirmedS = kNeverS;  // since when the host has not confirmed that token
    WorkerLease lease;
    // A start may still execute late: the host is to be registered anew, and to confirm the higher fencing token.
    bool needsFencing = false;
    // Heartbeats in a row that did not follow the last message from here: the host has tried other controllers
    // meanwhile, as it does when an answer fails to reach it.
    int missedAnswers = 0;
    double unreachableSinceS = kNeverS;

    // --- commands
    std::map<TaskKey, SentStart> starts;
    std::map<TaskKey, SentStop> stops;
    std::map<TaskKey, double> evictions;  // tasks to be stopped (room for others, host being returned): since when

    // --- failures
    int failures = 0;                   // errors in a row
    std::set<std::string> failedJobs;   // jobs with errors since the last task that completed
    double quarantineUntilS = kNeverS;  // nothing is placed on the host before

    // Whether the heartbeat is newer than every status so far. Older ones are ignored: their task lists are out of
    // date.
    bool is_newer(const wire::Heartbeat& heartbeat) const {
        return heartbeat.agentEpoch > agentEpoch ||
               (heartbeat.agentEpoch == agentEpoch && heartbeat.sequence > sequence);
    }
    // Takes over the contents of a heartbeat that is newer.
    void update(const wire::Heartbeat& heartbeat, StatusSource source, double nowS);
    // A new leadership: what was noted under the last one proves nothing any more.
    void begin_leadership(std::uint64_t nextToken, double nowS);
    // Its heartbeats arrive, but our answers seem not to reach it: nothing is placed on it until one has.
    bool unreachable() const { return missedAnswers >= kMissedAnswersUntilUnreachable; }

  private:
    void count_missed_answers(const wire::Heartbeat& heartbeat, double nowS);
    void take_tasks(const wire::Heartbeat& heartbeat, double nowS);
};

}  // namespace wellstair::workers
