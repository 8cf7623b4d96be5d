// What a leader knows about one of its hosts in addition to the state service: the newest status, and the commands that
// may still be in flight.
//
// Plain data, owned by HostTable and changed by the components that use it. Times are seconds on the steady clock and
// are passed in. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "common/timestamp.hpp"
#include "state/fencing_tokens.hpp"
#include "state/states.hpp"
#include "wire/messages.hpp"
#include "workers/worker_lease.hpp"

namespace wellstair::workers {

// Consecutive heartbeat responses without the acknowledgements that were due, from which on no start is sent directly.
inline constexpr int kMaxResponsesWithoutAcknowledgements = 2;
// Consecutive heartbeat responses that did not reach a host, from which on it counts as unreachable.
inline constexpr int kMissedAnswersUntilUnreachable = 2;

using TaskKey = std::pair<std::string, std::uint32_t>;  // job id, task index

// One attempt to run a task.
struct TaskAttempt {
    TaskKey task;
    std::uint32_t attempt = 0;
    bool operator<(const TaskAttempt& other) const {
        return std::tie(task, attempt) < std::tie(other.task, other.attempt);
    }
};

// A task as listed in the newest status.
struct ObservedTask {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::pulling;
    wire::Cause cause = wire::Cause::none;  // why the task has ended
    bool checkpointed = false;
    double sinceS = 0;  // when this phase was first reported
};

// A start command that was sent.
struct SentStart {
    std::uint32_t attempt = 0;     // 0: no start is recorded yet
    std::uint64_t agentEpoch = 0;  // the worker's agent epoch when the start was first sent
    HeartbeatId answered;          // the newest answered heartbeat when the start was sent
    double commandedS = kNeverS;   // when it was last sent directly, that is, not in a heartbeat response
    bool seen = false;             // a status has listed the task
    int inFlight = 0;              // direct requests that are still outstanding
    std::uint64_t unanswered = 0;  // highest fencing token of a direct request without reply: may execute minutes later
};

// A stop command that was sent.
struct SentStop {
    std::uint32_t attempt = 0;
    double sentS = kNeverS;
};

// How a status of a host arrived: in a heartbeat sent by the worker, or in the reply to a command. Only a heartbeat is
// answered, so only a heartbeat can renew the worker's lease.
enum class StatusSource { heartbeat, command_reply };

// The state of one host as seen by its leader.
struct HostTracker {
    state::StateMachine<state::HostState, state::HostTraits> state{state::HostState::acquiring};

    // --- the newest status, from either source
    std::uint64_t agentEpoch = 0, sequence = 0;
    double agentEpochSeenS = kNeverS;       // when the first status of this agent epoch arrived
    std::uint64_t seenToken = 0;            // highest fencing token that the host had seen when it sent the status
    std::string address;                    // "ip:port" at which the worker accepts commands
    std::optional<double> preemptionAtS;    // when the cloud reclaims the host, if it has given notice
    std::map<TaskKey, ObservedTask> tasks;  // the latest attempt of each task

    // --- the leadership
    state::FencingTokenRange tokens;      // of the leadership that this tracker belongs to
    std::uint64_t fencingToken = 0;       // under which messages are sent to the host now
    std::uint64_t directStartsUnder = 0;  // highest fencing token under which a start was sent directly
    double unconfirmedS = kNeverS;        // since when the leadership has been waiting for the host's confirmation
    WorkerLease lease;
    // A start may still execute late. The host must be registered again and confirm the higher fencing token.
    bool needsFencing = false;
    // Consecutive heartbeats with a gap in the sequence numbers: the host has sent heartbeats to other controllers in
    // between, as it does when a response does not reach it.
    int missedAnswers = 0;
    double unreachableSinceS = kNeverS;

    // --- commands
    std::map<TaskKey, SentStart> starts;
    int directRequestsInFlight = 0;
    // Consecutive heartbeat responses in which acknowledgements were due that had to wait for direct requests.
    int responsesWithoutAcknowledgements = 0;
    // The starts in the response to the newest answered heartbeat. The worker may execute them until it sends its next
    // heartbeat.
    std::set<TaskAttempt> startsInResponse;
    std::map<TaskKey, SentStop> stops;
    std::set<TaskAttempt> loggedStops;  // stops that were logged, of tasks that may still be listed
    // Tasks to be stopped because they are preempted or the host is being returned, and since when.
    std::map<TaskKey, double> evictions;

    // --- failures
    int failures = 0;                   // consecutive task errors
    std::set<std::string> failedJobs;   // jobs with task errors since a task last completed
    double quarantineUntilS = kNeverS;  // no task is placed on the host before this time

    // Whether the heartbeat is newer than every status received so far. Older ones are ignored because their task lists
    // are out of date.
    bool is_newer(const wire::Heartbeat& heartbeat) const {
        return heartbeat.agentEpoch > agentEpoch ||
               (heartbeat.agentEpoch == agentEpoch && heartbeat.sequence > sequence);
    }
    // Renews the lease with a heartbeat that is about to be answered with 200. If it returns false, the heartbeat must
    // not be answered with 200.
    bool renew_lease(const wire::Heartbeat& heartbeat, double nowS);
    // The record of this attempt's start; null if none was sent.
    const SentStart* find_start(const TaskAttempt& start) const;
    // The newest status's entry of this attempt; null if it lists none.
    const ObservedTask* find_observed(const TaskAttempt& attempt) const;
    // Records a start that is sent in the response to the newest heartbeat.
    void record_start_in_response(const TaskAttempt& start);
    // Records a start that is sent directly, in a request of which the outcome is still to come.
    void record_direct_start(const TaskAttempt& start, double nowS);
    // Records the outcome of such a request. `answered`: false if the start may still be executed later.
    void record_direct_outcome(const TaskAttempt& start, bool answered, std::uint64_t fencingToken);
    // Whether a start of this attempt may still be executed for the first time. The attempt must not be acknowledged
    // before: the worker would forget it, and the start would then run it again.
    bool start_in_transit(const TaskAttempt& start) const;
    // Whether a message sent now makes the worker refuse all starts that were sent to it directly so far. A request
    // that was executed and answered may arrive once more, however late, and start an attempt that the worker has
    // forgotten.
    bool refuses_earlier_direct_starts() const { return fencingToken > directStartsUnder; }
    // Changes to the next fencing token of this leadership. Returns false, with no effect, while a direct request is in
    // flight, which the worker would refuse, or when there is no token left.
    bool raise_fencing_token();
    // Whether starts may be sent directly: not while acknowledgements have waited for too many responses already.
    bool accepts_direct_starts() const {
        return responsesWithoutAcknowledgements < kMaxResponsesWithoutAcknowledgements;
    }
    // Whether the newest status shows a fencing token of this leadership: those of earlier leaders are refused.
    bool shows_leadership() const { return tokens.contains(seenToken); }
    // Whether no heartbeat of the newest agent epoch has been answered: the first news of it came in the reply to a
    // command.
    bool in_unanswered_epoch() const { return agentEpoch > lease.last_answered().agentEpoch; }
    // Seconds since the latest end that the worker can give its lease, as far as messages have shown; negative while
    // the worker may hold it.
    double since_latest_lease_end(double nowS, double leaseS) const;
    // Replaces the status by the contents of a newer heartbeat.
    void update(const wire::Heartbeat& heartbeat, StatusSource source, double nowS);
    // Starts a new leadership. The commands recorded under the previous one prove nothing any more and are discarded.
    void begin_leadership(const state::FencingTokenRange& granted, double nowS);
    // Whether heartbeats of the host arrive but the responses to them appear to be lost. No task is placed on the host
    // until a response has reached it.
    bool unreachable() const { return missedAnswers >= kMissedAnswersUntilUnreachable; }

  private:
    // The record of the attempt's start, which is a new one if none has been sent.
    SentStart& find_or_add_start(const TaskAttempt& start);
    void begin_agent_epoch(std::uint64_t epoch, double nowS);
    void count_missed_answers(const wire::Heartbeat& heartbeat, double nowS);
    void update_tasks(const wire::Heartbeat& heartbeat, double nowS);
};

}  // namespace wellstair::workers
