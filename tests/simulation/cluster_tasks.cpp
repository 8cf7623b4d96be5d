// Execution of commands and tasks on the workers of a simulated run.
#include "simulation/simulated_cluster.hpp"

namespace wellstair::test {

namespace {

constexpr double kRepeatedTaskS = 0.5;      // duration of a task whose result is already stored
constexpr double kReplicaExitShare = 0.3;   // replicas of a service that exit during the faults
constexpr double kReplicaErrorShare = 0.5;  // of these, replicas that exit with an error

}  // namespace

void SimulatedCluster::execute(SimulatedWorker& worker, const std::vector<wire::Command>& commands) {
    for (const wire::Command& command : commands) {
        const workers::TaskAttempt attempt{{command.job, command.index}, command.attempt};
        auto it = worker.tasks.find(attempt.task);
        const bool running = it != worker.tasks.end() && !it->second.ended();
        if (command.type == wire::CommandType::start) {
            if (!running && !worker.knows(attempt)) start_task(worker, command);
        } else if (command.type == wire::CommandType::acknowledge) {
            worker.forget_ended(attempt);
        } else if (running && it->second.attempt == command.attempt) {
            it->second.end(wire::Cause::stopped);
        }
    }
}

void SimulatedCluster::start_task(SimulatedWorker& worker, const wire::Command& command) {
    const workers::TaskKey key{command.job, command.index};
    invariants_.check_start(worker, {key, command.attempt});
    const auto job = state_.jobs.find(command.job);
    if (job == state_.jobs.end()) return;
    ++state_.startedTasks;
    if (auto earlier = worker.tasks.find(key); earlier != worker.tasks.end())
        worker.earlierAttempts[{key, earlier->second.attempt}] = earlier->second;
    const double endsAtS = state_.nowS + random_duration_s(job->second, command.index);
    worker.tasks[key] = {command.attempt, wire::TaskPhase::running, wire::Cause::none, endsAtS, state_.nowS};
}

double SimulatedCluster::random_duration_s(const SubmittedJob& job, std::uint32_t index) {
    const bool resultStored = job.completed.count(index) > 0;
    const double durationS = resultStored ? kRepeatedTaskS : job.spec.estimatedDurationS * random_.between(0.5, 1.5);
    if (!job.spec.service()) return durationS;
    return before_faults_end() && random_.chance(kReplicaExitShare) ? random_.between(5, 60) : kRunTimeoutS;
}

void SimulatedCluster::run_worker(SimulatedWorker& worker) {
    if (state_.nowS < worker.hungUntilS) return;
    for (auto& [key, task] : worker.tasks) {
        if (task.phase != wire::TaskPhase::running) continue;
        run_task(key, task);
        if (task.ended()) worker.report_change(state_.nowS);
    }
    send_due_heartbeat(worker);
}

void SimulatedCluster::run_task(const workers::TaskKey& key, SimulatedTask& task) {
    const wire::JobSpec& spec = state_.jobs.at(key.first).spec;
    const bool due = state_.nowS >= task.endsAtS;
    if (spec.service()) {
        if (!due) return;
        task.end(random_.chance(kReplicaErrorShare) ? wire::Cause::error : wire::Cause::done);
        return;
    }
    // The tasks of a gang succeed together, and exit when one of them has been missing for kGangPeerTimeoutS.
    std::vector<SimulatedTask*> runningTasks = {&task};
    if (spec.kind == wire::JobKind::gang) runningTasks = running_gang(key, task);
    const bool gangComplete = spec.kind != wire::JobKind::gang || runningTasks.size() == spec.taskCount;
    if (gangComplete) task.gangLastCompleteAtS = state_.nowS;
    if (gangComplete && due) {
        complete(key, runningTasks);
    } else if (!gangComplete && state_.nowS - task.gangLastCompleteAtS > kGangPeerTimeoutS) {
        task.end(wire::Cause::gang_peer_lost);
    }
}

// The task and the other running tasks of its attempt, without those on hung machines.
std::vector<SimulatedTask*> SimulatedCluster::running_gang(const workers::TaskKey& key, SimulatedTask& task) {
    std::vector<SimulatedTask*> gang = {&task};
    for (SimulatedWorker& worker : state_.workers) {
        if (!worker.present || state_.nowS < worker.hungUntilS) continue;
        for (auto& [otherKey, other] : worker.tasks) {
            const bool sameAttempt = otherKey.first == key.first && other.attempt == task.attempt;
            if (sameAttempt && &other != &task && other.phase == wire::TaskPhase::running) gang.push_back(&other);
        }
    }
    return gang;
}

void SimulatedCluster::complete(const workers::TaskKey& key, const std::vector<SimulatedTask*>& tasks) {
    SubmittedJob& job = state_.jobs.at(key.first);
    for (SimulatedTask* each : tasks) each->end(wire::Cause::done);
    if (job.spec.kind == wire::JobKind::gang)
        for (std::uint32_t i = 0; i < job.spec.taskCount; ++i) job.completed.insert(i);
    else
        job.completed.insert(key.second);
    // A user may cancel the job in the step in which its last task succeeds.
    if (job.complete() && random_.chance(cancelAtCompletionChance_))
        cancel(key.first, state_.controllers[random_.pick(controller_count())]);
}

}  // namespace wellstair::test
