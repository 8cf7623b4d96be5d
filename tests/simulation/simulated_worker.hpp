// One worker of a simulated run: its machine, its agent's session and lease, its tasks, and the faults it suffers.
//
// Owns the state of the worker. What happens to it is decided by SimulatedCluster. Single-threaded test support; all
// times are seconds of the simulated clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "simulation/scenario.hpp"
#include "wire/messages.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::test {

struct SimulatedTask {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::running;
    wire::Cause cause = wire::Cause::none;
    double endsAtS = 0;
    double gangLastCompleteAtS = 0;  // when all tasks of its gang were last running

    bool ended() const { return phase == wire::TaskPhase::ended; }
    void end(wire::Cause why) {
        phase = wire::TaskPhase::ended;
        cause = why;
    }
};

struct SimulatedWorker {
    std::string name, machineType = "c8", zone = "a";
    bool spot = false;
    bool present = true;  // false: the machine is gone for good

    std::uint64_t agentEpoch = 1;
    std::uint64_t sequence = 0;      // of the last heartbeat or command reply
    std::uint64_t fencingToken = 0;  // the highest that it has been given

    double leaseStartS = 0;  // when the last answered heartbeat was sent, or the session began
    double nextHeartbeatS = 0;
    double lastHeartbeatS = -kHeartbeatTimeoutS;
    bool leaseRenewed = false;           // some heartbeat of this session has been answered
    std::uint64_t awaitedHeartbeat = 0;  // sequence of the heartbeat that waits for its answer; 0: none
    std::size_t controller = 0;          // index of the controller that it sends heartbeats to

    double unreachableUntilS = 0;     // receives neither commands nor answers
    double heartbeatsLostUntilS = 0;  // its heartbeats are lost, commands reach it
    double hungUntilS = 0;            // does nothing at all, and then goes on where it was

    std::map<workers::TaskKey, SimulatedTask> tasks;

    // Begins a new session without tasks, as after a restart or the end of the lease.
    void start_session(double nowS);
    // Stops doing anything for `durationS`; its tasks take longer by as much.
    void hang(double nowS, double durationS);
    // The next heartbeat or command reply, with a sequence number of its own.
    wire::Heartbeat next_heartbeat();
    // Brings the next heartbeat forward, as a change of a task does.
    void report_change(double nowS);
    // Whether machine type, zone and kind of machine are what the job allows.
    bool fits(const wire::JobSpec& spec) const;
    // Whether any task of the job is in its list.
    bool has_task_of(const std::string& job) const;
};

}  // namespace wellstair::test
