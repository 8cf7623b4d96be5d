#include "simulation/simulated_worker.hpp"

#include <algorithm>

namespace wellstair::test {

namespace {

wire::TaskStatus task_status(const workers::TaskKey& key, const SimulatedTask& task) {
    wire::TaskStatus status;
    status.job = key.first;
    status.index = key.second;
    status.attempt = task.attempt;
    status.phase = task.phase;
    status.cause = task.cause;
    return status;
}

}  // namespace

void SimulatedWorker::start_session(double nowS) {
    tasks.clear();
    earlierAttempts.clear();
    ++agentEpoch;
    leaseStartS = nowS;
    awaitedHeartbeat = 0;
    report_change(nowS);
}

void SimulatedWorker::hang(double nowS, double durationS) {
    hungUntilS = std::max(hungUntilS, nowS + durationS);
    for (auto& [key, task] : tasks) {
        task.endsAtS += durationS;
        task.gangLastCompleteAtS += durationS;
    }
}

wire::Heartbeat SimulatedWorker::next_heartbeat() {
    wire::Heartbeat heartbeat;
    heartbeat.host = name;
    heartbeat.address = "10.1.0.1:9000";
    heartbeat.machineType = machineType;
    heartbeat.zone = zone;
    heartbeat.spot = spot;
    heartbeat.agentEpoch = agentEpoch;
    heartbeat.sequence = ++sequence;
    heartbeat.fencingToken = fencingToken;
    for (const auto& [attempt, task] : earlierAttempts) heartbeat.tasks.push_back(task_status(attempt.task, task));
    for (const auto& [key, task] : tasks) heartbeat.tasks.push_back(task_status(key, task));
    return heartbeat;
}

void SimulatedWorker::report_change(double nowS) {
    nextHeartbeatS = std::min(nextHeartbeatS, std::max(nowS, lastHeartbeatS + kMinChangeHeartbeatS));
}

bool SimulatedWorker::fits(const wire::JobSpec& spec) const {
    if (spec.machineTypes &&
        std::find(spec.machineTypes->begin(), spec.machineTypes->end(), machineType) == spec.machineTypes->end())
        return false;
    return (!spec.zone || *spec.zone == zone) && (!spot || spec.spotAllowed);
}

bool SimulatedWorker::knows(const workers::TaskAttempt& attempt) const {
    const auto task = tasks.find(attempt.task);
    return (task != tasks.end() && task->second.attempt == attempt.attempt) || earlierAttempts.count(attempt);
}

void SimulatedWorker::forget_ended(const workers::TaskAttempt& attempt) {
    earlierAttempts.erase(attempt);
    const auto task = tasks.find(attempt.task);
    if (task != tasks.end() && task->second.attempt == attempt.attempt && task->second.ended()) tasks.erase(task);
}

bool SimulatedWorker::has_task_of(const std::string& job) const {
    return std::any_of(tasks.begin(), tasks.end(), [&](const auto& entry) { return entry.first.first == job; });
}

}  // namespace wellstair::test
