// The faults of a simulated run: operations for scenarios, random faults, and the upgrade of the controllers.
#include <algorithm>

#include "simulation/simulated_cluster.hpp"

namespace wellstair::test {

namespace {

constexpr double kImmediateRestartS = 0.3;  // of a crashed process
constexpr double kUpgradeRestartS = 3;      // of a process that is replaced by the new version
constexpr double kMaxRestartDelayS = 6;     // from the loss of a worker's heartbeats to its restart

// The kinds of random faults. The value is the number drawn, so the order must stay.
enum RandomFault : std::size_t {
    kCrash,
    kAllCrash,
    kDisconnectStore,
    kDisconnectStoreAndPeers,
    kDisconnectWorkers,
    kOutage,
    kMachineLost,
    kWorkerRestarts,
    kWorkerUnreachable,
    kWorkerUnreachableDuplicate,  // makes this fault twice as likely as others
    kDisconnectPeers,
    kWorkerHangs,
    kHeartbeatsLost,
    kIsolateZone,
    kSlowStoreReads,
    kCancelRunningJobs,
    kWorkerRestartsUnheard,
    kWorkerRestartsUnheardDuplicate,
    kRandomFaultKinds  // number of kinds
};

}  // namespace

void SimulatedCluster::extend(double& untilS, double durationS) const {
    untilS = std::max(untilS, state_.nowS + durationS);
}

std::size_t SimulatedCluster::leader_of_most_machines() {
    std::map<std::string, int> machines;
    for (SimulatedController& controller : state_.controllers) {
        if (!controller.core) continue;
        for (const auto& [name, host] : controller.core->state().hosts())
            if (host->leader == controller.settings.member) ++machines[controller.settings.member];
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < state_.controllers.size(); ++i)
        if (machines[state_.controllers[i].settings.member] > machines[state_.controllers[best].settings.member])
            best = i;
    return best;
}

void SimulatedCluster::crash(std::size_t controller, double durationS) {
    state_.controllers[controller].crash(state_.nowS + durationS);
}

void SimulatedCluster::disconnect_store(std::size_t controller, double durationS) {
    extend(state_.controllers[controller].storeUnreachableUntilS, durationS);
}

void SimulatedCluster::disconnect_peers(std::size_t controller, double durationS) {
    extend(state_.controllers[controller].peersUnreachableUntilS, durationS);
}

void SimulatedCluster::store_outage(double durationS) {
    for (SimulatedController& controller : state_.controllers) extend(controller.storeUnreachableUntilS, durationS);
    extend(outageUntilS_, durationS);
}

void SimulatedCluster::slow_store_reads(double durationS) {
    for (SimulatedController& controller : state_.controllers) extend(controller.slowReadsUntilS, durationS);
}

void SimulatedCluster::isolate_zone(const std::string& zone, double durationS) {
    extend(state_.zoneIsolatedUntilS[zone], durationS);
}

void SimulatedCluster::make_workers_unreachable(double share, double durationS) {
    for (SimulatedWorker& worker : state_.workers)
        if (random_.chance(share)) extend(worker.unreachableUntilS, durationS);
}

void SimulatedCluster::drop_heartbeats(double share, double durationS) {
    for (SimulatedWorker& worker : state_.workers)
        if (random_.chance(share)) extend(worker.heartbeatsLostUntilS, durationS);
}

void SimulatedCluster::restart_workers_unheard(double share, double durationS) {
    for (SimulatedWorker& worker : state_.workers)
        if (random_.chance(share)) restart_unheard(worker, durationS);
}

void SimulatedCluster::restart_unheard(SimulatedWorker& worker, double durationS) {
    extend(worker.heartbeatsLostUntilS, durationS);
    worker.restartAtS = state_.nowS + random_.between(0, kMaxRestartDelayS);
}

void SimulatedCluster::hang_workers(double share, double durationS) {
    for (SimulatedWorker& worker : state_.workers)
        if (random_.chance(share)) worker.hang(state_.nowS, durationS);
}

void SimulatedCluster::remove_machines(int count) {
    for (; count > 0; --count) state_.workers[random_.pick(state_.workers.size())].present = false;
}

void SimulatedCluster::cancel_running_jobs(int count, double hangS) {
    std::set<std::string> running;
    for (const SimulatedWorker& worker : state_.workers)
        for (const auto& [key, task] : worker.tasks)
            if (worker.present && task.phase == wire::TaskPhase::running) running.insert(key.first);
    for (const std::string& id : running) {
        if (count-- <= 0) break;
        // Sent to another controller than the leader of most machines, if one accepts it.
        for (std::size_t i = 0; i < controller_count(); ++i)
            if (cancel(id, state_.controllers[(leader_of_most_machines() + 1 + i) % controller_count()])) break;
        if (hangS <= 0) continue;
        for (SimulatedWorker& worker : state_.workers)
            if (worker.has_task_of(id)) worker.hang(state_.nowS, hangS);
    }
}

void SimulatedCluster::cancel_jobs_with_delayed_start() {
    for (const DelayedCommands& delayed : delayedCommands_)
        for (const wire::Command& command : delayed.sent.commands)
            if (command.type == wire::CommandType::start)
                cancel(command.job, state_.controllers[random_.pick(controller_count())]);
}

void SimulatedCluster::inject_random_fault() {
    SimulatedController& controller = state_.controllers[random_.pick(controller_count())];
    SimulatedWorker& worker = state_.workers[random_.pick(state_.workers.size())];
    const double durationS = random_.between(2, 45);
    const std::size_t kind = random_.pick(kRandomFaultKinds);
    inject_controller_fault(kind, controller, durationS);
    inject_worker_fault(kind, worker, durationS);
    inject_cluster_fault(kind, durationS);
}

void SimulatedCluster::inject_controller_fault(std::size_t kind, SimulatedController& controller, double durationS) {
    const double untilS = state_.nowS + durationS;
    if (kind == kCrash)
        controller.crash(state_.nowS + (random_.chance(0.5) ? kImmediateRestartS : random_.between(2, 12)));
    if (kind == kDisconnectStore || kind == kDisconnectStoreAndPeers) controller.storeUnreachableUntilS = untilS;
    if (kind == kDisconnectPeers || kind == kDisconnectStoreAndPeers) controller.peersUnreachableUntilS = untilS;
    if (kind == kDisconnectWorkers) controller.workersUnreachableUntilS = untilS;
}

void SimulatedCluster::inject_worker_fault(std::size_t kind, SimulatedWorker& worker, double durationS) {
    if (kind == kMachineLost) worker.present = false;
    if (kind == kWorkerRestarts) worker.start_session(state_.nowS);
    if (kind == kWorkerUnreachable || kind == kWorkerUnreachableDuplicate)
        worker.unreachableUntilS = state_.nowS + random_.between(5, 70);
    if (kind == kWorkerHangs) worker.hang(state_.nowS, random_.between(2, 60));
    if (kind == kHeartbeatsLost) worker.heartbeatsLostUntilS = state_.nowS + durationS;
    if (kind == kWorkerRestartsUnheard || kind == kWorkerRestartsUnheardDuplicate) restart_unheard(worker, durationS);
}

void SimulatedCluster::inject_cluster_fault(std::size_t kind, double durationS) {
    if (kind == kAllCrash)
        for (SimulatedController& each : state_.controllers) each.crash(state_.nowS + random_.between(0.2, 9));
    if (kind == kOutage)
        for (SimulatedController& each : state_.controllers) extend(each.storeUnreachableUntilS, durationS);
    if (kind == kIsolateZone) isolate_zone(random_.chance(0.5) ? "a" : "b", durationS);
    if (kind == kSlowStoreReads) slow_store_reads(durationS);
    if (kind == kCancelRunningJobs) cancel_running_jobs(2, random_.chance(0.5) ? durationS : 0);
}

// Rolling upgrade of the controllers. A process that crashes before its turn restarts as the old version.
void SimulatedCluster::upgrade_controllers() {
    for (std::size_t i = 0; i < controller_count(); ++i) {
        if (!at(kUpgradeStartS + kUpgradeIntervalS * static_cast<double>(i))) continue;
        state_.controllers[i].upgraded = true;
        crash(i, kUpgradeRestartS);
    }
    if (at(kStateLimitsLoweredS)) state_.store.enforce_limits(kLoweredStateLimits);
}

// Member leases expire without renewal. During an outage they do not, and afterwards run for their full time.
void SimulatedCluster::end_member_leases() {
    for (SimulatedController& controller : state_.controllers) {
        if (state_.nowS < outageUntilS_) controller.memberLeaseUntilS = state_.nowS + kMemberTtlS;
        const std::string key = controller.member_key();
        if (state_.store.revision_of(key) && state_.nowS > controller.memberLeaseUntilS)
            state_.write_unconditionally({{{"remove", key}}});
    }
}

// A worker whose heartbeats are unanswered for a whole lease ends its tasks and starts a new session, as one does whose
// machine restarts.
void SimulatedCluster::end_worker_session(SimulatedWorker& worker) const {
    const bool restarts = state_.nowS >= worker.restartAtS;
    if (restarts) worker.restartAtS = kRunTimeoutS;
    if (restarts || state_.nowS - worker.leaseStartS >= kLeaseS) worker.start_session(state_.nowS);
}

}  // namespace wellstair::test
