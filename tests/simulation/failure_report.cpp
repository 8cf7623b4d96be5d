#include "simulation/failure_report.hpp"

namespace wellstair::test {

namespace {

std::string describe_host_trackers(ClusterState& cluster, const std::string& host) {
    std::string out;
    for (SimulatedController& controller : cluster.controllers) {
        auto* tracker = controller.core ? controller.core->tracker(host) : nullptr;
        if (!tracker) continue;
        out += " [" + controller.settings.member + "@" + std::to_string(controller.incarnation) + " " +
               state::HostTraits::name(tracker->state) + " missed answers " + std::to_string(tracker->missedAnswers) +
               " lease " + tracker->lease.describe(cluster.nowS) + "]";
    }
    return out;
}

// The record and tracker of a machine at the controller that leads it.
std::string describe_leader(ClusterState& cluster, const std::string& host) {
    std::string out;
    for (SimulatedController& controller : cluster.controllers) {
        auto* record = controller.core ? controller.core->state().host(host) : nullptr;
        if (!record || record->leader != controller.settings.member) continue;
        auto* tracker = controller.core->tracker(host);
        if (!tracker) continue;
        out += " [" + record->leader + " " + state::HostTraits::name(tracker->state) + " token " +
               std::to_string(record->fencingToken) + " missed answers " + std::to_string(tracker->missedAnswers) +
               " quarantine " + std::to_string(tracker->quarantineUntilS - cluster.nowS) + " leaving " +
               std::to_string(static_cast<int>(record->returnState)) + " placed " +
               std::to_string(record->placed.size()) + "]";
    }
    return out;
}

std::string describe_worker(const SimulatedWorker& worker) {
    std::string out = worker.name + " " + worker.machineType + " " + worker.zone + (worker.spot ? " spot" : "") +
                      " token " + std::to_string(worker.fencingToken) + ":";
    for (const auto& [key, task] : worker.tasks)
        out += " " + wire::task_id(key.first, key.second) + "#" + std::to_string(task.attempt) +
               (task.ended() ? " ended" : "");
    return out;
}

std::string describe_job(const std::string& id, const wire::JobSpec& spec) {
    return id + ": " + std::to_string(spec.taskCount) + " x " + std::to_string(spec.cores) + " " + spec.team +
           (spec.zone ? " only " + *spec.zone : "") + (spec.kind == wire::JobKind::gang ? " gang" : "") +
           (spec.priority == wire::PriorityClass::urgent ? " urgent" : "");
}

}  // namespace

std::string describe_tasks(ClusterState& cluster, SimulatedController& controller, const std::string& id) {
    auto* job = controller.core->state().job(id);
    if (!job) return "";
    std::string out = state::AvailabilityTraits::name(controller.core->availability());
    for (std::uint32_t i = 0; i < job->spec->taskCount; ++i) {
        state::Task task = job->task(i, controller.core->state().chunk_size());
        out +=
            "; " + std::to_string(i) + " " + state::TaskTraits::name(task.state) + "#" + std::to_string(task.attempt);
        if (!task.host) continue;
        out += " on " + task.host->name + " of " + task.host->leader + "@" + std::to_string(task.host->incarnation) +
               " token " + std::to_string(task.fencingToken) + "/" + std::to_string(task.host->fencingToken) +
               " leaving " + std::to_string(static_cast<int>(task.host->returnState)) +
               describe_host_trackers(cluster, task.host->name);
    }
    return out;
}

std::string describe_store_history(const ClusterState& cluster, const std::string& job) {
    std::string out;
    for (const auto& change : cluster.store.log)
        if (change.path.find("/" + job) != std::string::npos)
            out += std::to_string(change.revision) + " " + change.path + " " +
                   (change.data ? change.data->dump() : "removed") + "\n";
    return out;
}

std::string describe_cluster(ClusterState& cluster) {
    std::string out;
    for (const SimulatedWorker& worker : cluster.workers)
        if (worker.present) out += describe_worker(worker) + describe_leader(cluster, worker.name) + "\n";
    for (const auto& [id, job] : cluster.jobs)
        if (job.accepted && !job.cancelRequested && job.completed.size() < job.spec.taskCount)
            out += describe_job(id, job.spec) + "\n";
    return out;
}

}  // namespace wellstair::test
