#include "simulation/cluster_state.hpp"

#include <algorithm>

namespace wellstair::test {

bool ClusterState::zone_isolated(const std::string& zone) const {
    auto it = zoneIsolatedUntilS.find(zone);
    return it != zoneIsolatedUntilS.end() && nowS < it->second;
}

bool ClusterState::partitioned(const std::string& zone, const std::string& other) const {
    return zone != other && (zone_isolated(zone) || zone_isolated(other));
}

bool ClusterState::has_store(const SimulatedController& controller) const {
    return nowS >= controller.storeUnreachableUntilS && !zone_isolated(controller.settings.location);
}

bool ClusterState::accepts_requests(const SimulatedController& controller) const {
    return controller.serving() && has_store(controller);
}

bool ClusterState::can_reach(const SimulatedController& controller, const SimulatedWorker& worker) const {
    return worker.present && nowS >= controller.workersUnreachableUntilS && nowS >= worker.hungUntilS &&
           !partitioned(controller.settings.location, worker.zone);
}

SimulatedWorker* ClusterState::find_worker(const std::string& name) {
    auto it = std::find_if(workers.begin(), workers.end(),
                           [&](const SimulatedWorker& each) { return each.present && each.name == name; });
    return it == workers.end() ? nullptr : &*it;
}

std::size_t ClusterState::index_of(const SimulatedController& controller) const {
    auto it = std::find_if(controllers.begin(), controllers.end(),
                           [&](const SimulatedController& each) { return &each == &controller; });
    return static_cast<std::size_t>(it - controllers.begin());
}

controller::Core* ClusterState::process(std::size_t controller, std::uint64_t incarnation) {
    SimulatedController& sender = controllers[controller];
    return sender.core && sender.incarnation == incarnation ? sender.core.get() : nullptr;
}

void ClusterState::sync(SimulatedController& controller) {
    if (!has_store(controller)) return;
    auto& state = controller.core->state();
    auto first = std::partition_point(store.log.begin(), store.log.end(),
                                      [&](const auto& change) { return change.revision <= state.revision(); });
    const bool changed = first != store.log.end();
    for (auto it = first; it != store.log.end(); ++it)
        state.apply(it->path, it->data ? &*it->data : nullptr, it->revision, timestamp().wall);
    state.advance(store.revision);
    if (changed) controller.core->request_replan();
    controller.lastStoreAnswerS = controller.lastReadS = nowS;
}

void ClusterState::write_unconditionally(wire::Json operations) {
    wire::Json transaction;
    transaction["when"] = wire::Json::array();
    transaction["apply"] = std::move(operations);
    store.commit(transaction);
}

bool ClusterState::placed(const SimulatedWorker& worker, const workers::TaskAttempt& attempt) const {
    const auto& [job, index] = attempt.task;
    const auto chunk = store.keys().find(state::keys::chunk(job, index / chunkSize));
    if (chunk == store.keys().end()) return false;
    const auto record = state::ChunkRecord::decode(chunk->second.first);
    return std::any_of(record.entries.begin(), record.entries.end(), [&](const auto& entry) {
        return entry.index == index % chunkSize && entry.attempt == attempt.attempt && entry.host == worker.name;
    });
}

std::uint32_t ClusterState::running_tasks(const std::string& job) const {
    std::uint32_t count = 0;
    for (const SimulatedWorker& worker : workers) {
        if (!worker.present) continue;
        for (const auto& [key, task] : worker.tasks)
            count += key.first == job && task.phase == wire::TaskPhase::running;
    }
    return count;
}

bool ClusterState::all_jobs_settled() const {
    return std::all_of(jobs.begin(), jobs.end(), [&](const auto& entry) {
        const SubmittedJob& job = entry.second;
        const bool serviceRuns =
            job.spec.service() && !job.cancelRequested && running_tasks(entry.first) == job.spec.taskCount;
        return !job.accepted || !job.finalPhase.empty() || serviceRuns;
    });
}

}  // namespace wellstair::test
