// One worker of a simulated run: its machine, the session and lease of its agent, its tasks, and its present faults.
//
// Owns the state of the worker; SimulatedCluster drives it. Single-threaded test support; all times are seconds of the
// simulated clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "simulation/scenario.hpp"
#include "wire/messages.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::test {

// A task on a worker, running or ended and not yet acknowledged.
struct SimulatedTask {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::running;
    wire::Cause cause = wire::Cause::none;
    double endsAtS = 0;
    double gangLastCompleteAtS = 0;  // when all tasks of its gang last ran

    bool ended() const { return phase == wire::TaskPhase::ended; }
    void end(wire::Cause endCause) {
        phase = wire::TaskPhase::ended;
        cause = endCause;
    }
};

struct SimulatedWorker {
    std::string name, machineType = "c8", zone = "a";
    bool spot = false;
    bool present = true;  // false once the machine is lost permanently

    std::uint64_t agentEpoch = 1;
    std::uint64_t sequence = 0;      // of the last heartbeat or command reply
    std::uint64_t fencingToken = 0;  // the highest one received

    double leaseStartS = 0;  // send time of the last answered heartbeat, or start of the session
    double nextHeartbeatS = 0;
    double lastHeartbeatS = -kHeartbeatTimeoutS;
    std::uint64_t awaitedHeartbeat = 0;  // sequence of the unanswered heartbeat; 0: none
    std::size_t controller = 0;          // index of the controller that receives its heartbeats

    double unreachableUntilS = 0;      // receives neither commands nor heartbeat responses
    double heartbeatsLostUntilS = 0;   // its heartbeats are lost, but commands arrive
    double hungUntilS = 0;             // suspended, and continues afterwards where it stopped
    double restartAtS = kRunTimeoutS;  // its machine restarts and is back at once

    std::map<workers::TaskKey, SimulatedTask> tasks;
    // Ended attempts of tasks that have started again on this worker since, until they are acknowledged.
    std::map<workers::TaskAttempt, SimulatedTask> earlierAttempts;

    // Starts a new session without tasks, as after a restart or the expiry of the lease. Its lease begins with it.
    void start_session(double nowS);
    // Suspends the worker for `durationS`, which postpones the end of its tasks by the same time.
    void hang(double nowS, double durationS);
    // The next heartbeat or command reply, with a new sequence number.
    wire::Heartbeat next_heartbeat();
    // Moves the next heartbeat forward because a task has changed.
    void report_change(double nowS);
    // Whether the job allows the worker's machine type, zone and, for a spot machine, spot capacity.
    bool fits(const wire::JobSpec& spec) const;
    // Whether the worker knows this attempt, running or ended: a start of it then has no effect.
    bool knows(const workers::TaskAttempt& attempt) const;
    // Forgets this attempt if it has ended.
    void forget_ended(const workers::TaskAttempt& attempt);
    // Whether the worker has a task of the job, running or ended.
    bool has_task_of(const std::string& job) const;
};

}  // namespace wellstair::test
