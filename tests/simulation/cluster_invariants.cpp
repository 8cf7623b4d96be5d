#include "simulation/cluster_invariants.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "simulation/failure_report.hpp"

namespace wellstair::test {

namespace {

double team_limit(const std::string& team) {
    return team == "red" ? kTeamRedMaxCores : kTeamBlueMaxCores;
}

}  // namespace

// --- when a task starts

void ClusterInvariants::check_start(const SimulatedWorker& worker, const workers::TaskKey& task) const {
    check_single_instance(worker, task);
    const auto job = cluster_.jobs.find(task.first);
    ASSERT_TRUE(job != cluster_.jobs.end());
    EXPECT_FALSE(job->second.cancelOverdue(cluster_.nowS))
        << task.first << " starts " << cluster_.nowS - job->second.cancelConfirmedS << " s after its end";
    check_placement(worker, job->second.spec);
}

void ClusterInvariants::check_single_instance(const SimulatedWorker& worker, const workers::TaskKey& task) const {
    for (const SimulatedWorker& other : cluster_.workers) {
        if (!other.present || &other == &worker) continue;
        auto same = other.tasks.find(task);
        EXPECT_FALSE(same != other.tasks.end() && !same->second.ended())
            << task.first << "/" << task.second << " starts on " << worker.name << " while on " << other.name << " at "
            << cluster_.nowS;
    }
}

// Type, zone and kind of machine, and the zones of the job's other tasks at that moment.
void ClusterInvariants::check_placement(const SimulatedWorker& worker, const wire::JobSpec& spec) const {
    EXPECT_TRUE(worker.fits(spec)) << spec.id << " starts in a wrong place: " << worker.name << " "
                                   << worker.machineType << " " << worker.zone;
    std::uint32_t tasksInZone = 1;
    for (const SimulatedWorker& other : cluster_.workers) {
        if (!other.present || &other == &worker) continue;
        for (const auto& [key, task] : other.tasks) {
            if (key.first != spec.id || task.ended()) continue;
            if (spec.coLocated) {
                EXPECT_EQ(other.zone, worker.zone) << spec.id << " is not in one zone at " << cluster_.nowS;
            }
            tasksInZone += other.zone == worker.zone;
        }
    }
    if (spec.spread) {
        EXPECT_LE(tasksInZone, (spec.taskCount + 1) / 2)
            << spec.id << " has too many tasks in " << worker.zone << " at " << cluster_.nowS;
    }
}

// --- at every step

void ClusterInvariants::check_step() {
    CoresByTeam used = check_cancellations();
    check_leases();
    check_quota(used);
    check_waiting_jobs(used);
    for (SimulatedController& controller : cluster_.controllers) {
        if (!controller.core || !cluster_.has_store(controller)) continue;
        // A phase that is not final is answered only from a read of that moment.
        if (cluster_.nowS < controller.slowReadsUntilS) continue;
        check_job_phases(controller);
    }
}

// No task of a cancelled job runs for longer than kCancelS. Returns the cores in use.
ClusterInvariants::CoresByTeam ClusterInvariants::check_cancellations() const {
    CoresByTeam used;
    for (const SimulatedWorker& worker : cluster_.workers) {
        if (!worker.present) continue;
        for (const auto& [key, task] : worker.tasks) {
            if (task.ended()) continue;
            const SubmittedJob& job = cluster_.jobs.at(key.first);
            used[job.spec.team] += job.spec.cores;
            EXPECT_FALSE(job.cancelOverdue(cluster_.nowS))
                << key.first << " runs on " << worker.name << " " << cluster_.nowS - job.cancelConfirmedS
                << " s after its end";
        }
    }
    return used;
}

// The controller whose token a worker obeys may not count its lease as ended before the worker itself does.
void ClusterInvariants::check_leases() const {
    for (const SimulatedController& controller : cluster_.controllers) {
        if (!controller.core) continue;
        for (const SimulatedWorker& worker : cluster_.workers) {
            const auto* tracker = worker.present ? controller.core->tracker(worker.name) : nullptr;
            if (!tracker || tracker->state != state::HostState::expired) continue;
            const bool obeyed = tracker->leaderToken == worker.fencingToken && tracker->agentEpoch == worker.agentEpoch;
            if (!obeyed || !worker.leaseRenewed) continue;
            EXPECT_GE(cluster_.nowS - worker.leaseStartS, kLeaseS)
                << controller.settings.member << " counts the lease of " << worker.name << " as ended at "
                << cluster_.nowS << ", the worker counts it from " << worker.leaseStartS;
        }
    }
}

void ClusterInvariants::check_quota(CoresByTeam& used) const {
    EXPECT_LE(used["red"], kTeamRedMaxCores) << "the quota of team red at " << cluster_.nowS;
    EXPECT_LE(used["blue"], kTeamBlueMaxCores) << "the quota of team blue at " << cluster_.nowS;
}

// --- answers to users

void ClusterInvariants::check_accepted_job(SimulatedController& controller, const std::string& id,
                                           const SubmittedJob& job) const {
    bool unsure = false;
    EXPECT_FALSE(controller.core->infeasibility_reason(job.spec, unsure).has_value()) << id;
    ASSERT_TRUE(controller.core->find_submission(id).has_value())
        << id << " is forgotten at " << controller.settings.member;
    EXPECT_EQ(controller.core->job_status(id).status, 200) << id;
}

void ClusterInvariants::check_job_phases(SimulatedController& controller) {
    cluster_.sync(controller);
    for (auto& [id, job] : cluster_.jobs) {
        auto answer = controller.core->find_submission(id);
        if (answer) check_job_phase(controller, id, job, answer->body.value("phase", ""));
    }
}

// A final phase is justified, and the first one that was told stands.
void ClusterInvariants::check_job_phase(SimulatedController& controller, const std::string& id, SubmittedJob& job,
                                        const std::string& phase) const {
    if (phase == "done") {
        EXPECT_FALSE(job.spec.service()) << id << ", a service, is called done";
        EXPECT_EQ(job.completed.size(), job.spec.taskCount) << id << " is called done early";
    }
    const bool final = phase == "done" || phase == "aborted";
    if (final) {
        EXPECT_TRUE(phase == "done" || job.cancelRequested) << id << " is called cancelled, and nobody asked for it";
    }
    // Its cancellation may have been carried out without an answer: then this is when the user is told.
    if (phase == "aborted" && job.cancelConfirmedS < 0) job.cancelConfirmedS = cluster_.nowS;
    if (final && job.finalPhase.empty()) job.finalPhase = phase;
    if (!job.finalPhase.empty()) {
        EXPECT_EQ(phase, job.finalPhase) << id << " went back at " << controller.settings.member << " at "
                                         << cluster_.nowS << "\n"
                                         << describe_store_history(cluster_, id);
    }
}

// --- waiting

// Once the faults are over: no job without a task waits while machines that fit have room and its team may use it.
void ClusterInvariants::check_waiting_jobs(CoresByTeam used) {
    if (cluster_.nowS < kFaultsEndS + kLeaseS) return;
    auto reader = std::find_if(cluster_.controllers.begin(), cluster_.controllers.end(),
                               [&](const SimulatedController& each) { return each.core && cluster_.has_store(each); });
    if (reader == cluster_.controllers.end()) return;
    cluster_.sync(*reader);
    state::StateCache& state = reader->core->state();
    for (const auto& [team, record] : state.teams())
        used[team] = std::max(used[team], static_cast<double>(record.total.cores) / 1000);
    for (auto& [id, job] : cluster_.jobs) {
        job.waitingDespiteCapacityS =
            waits_despite_capacity(id, job, used, state) ? job.waitingDespiteCapacityS + kStepS : 0;
        EXPECT_LT(job.waitingDespiteCapacityS, kMaxWaitDespiteCapacityS)
            << id << " of " << job.spec.taskCount << " x " << job.spec.cores << " cores, team " << job.spec.team
            << ", priority " << static_cast<int>(job.spec.priority) << ", waits beside machines with room at "
            << cluster_.nowS << "\n"
            << describe_cluster(cluster_);
    }
}

bool ClusterInvariants::waits_despite_capacity(const std::string& id, const SubmittedJob& job, const CoresByTeam& used,
                                               state::StateCache& state) const {
    const wire::JobSpec& spec = job.spec;
    if (!job.accepted || job.cancelRequested || !job.completed.empty()) return false;
    std::map<std::string, std::uint32_t> roomByZone;
    for (const SimulatedWorker& worker : cluster_.workers) {
        const double faultyUntilS =
            std::max({worker.unreachableUntilS, worker.heartbeatsLostUntilS, worker.hungUntilS});
        if (!worker.present || cluster_.nowS < faultyUntilS) continue;
        if (worker.has_task_of(id)) return false;
        const double taken = allocated_cores(worker, state);
        if (worker.fits(spec) && taken < kMachineCores)
            roomByZone[worker.zone] += static_cast<std::uint32_t>((kMachineCores - taken) / spec.cores);
    }
    const std::uint32_t needed = spec.kind == wire::JobKind::gang ? spec.taskCount : 1;
    auto usedByTeam = used.find(spec.team);
    const double teamUses = usedByTeam == used.end() ? 0 : usedByTeam->second;
    const bool withinQuota = teamUses + needed * spec.cores <= team_limit(spec.team);
    return withinQuota &&
           std::any_of(roomByZone.begin(), roomByZone.end(), [&](const auto& zone) { return zone.second >= needed; });
}

// A task that is placed and on its way to its machine counts: the second between two tasks is no room.
double ClusterInvariants::allocated_cores(const SimulatedWorker& worker, state::StateCache& state) const {
    double running = 0;
    for (const auto& [key, task] : worker.tasks)
        if (!task.ended()) running += cluster_.jobs.at(key.first).spec.cores;
    double placed = 0;
    if (auto* host = state.host(worker.name))
        for (const auto& ref : host->placed) placed += ref.job->spec->cores;
    return std::max(running, placed);
}

// --- at the end

void ClusterInvariants::check_end() {
    for (const auto& [id, job] : cluster_.jobs) {
        if (!job.accepted) continue;
        for (SimulatedController& controller : cluster_.controllers)
            if (controller.core) check_final_phase(controller, id, job);
    }
    check_run_coverage();
}

void ClusterInvariants::check_final_phase(SimulatedController& controller, const std::string& id,
                                          const SubmittedJob& job) const {
    cluster_.sync(controller);
    auto answer = controller.core->job_status(id);
    EXPECT_EQ(answer.status, 200) << id;
    const std::string phase = answer.body.value("phase", "");
    if (job.spec.service() && !job.cancelRequested) {
        EXPECT_EQ(phase, "running") << id << " at " << controller.settings.member << "\n"
                                    << describe_tasks(cluster_, controller, id);
    } else if (job.cancelRequested) {
        EXPECT_TRUE(phase == "aborted" || phase == "done") << id << ": " << phase;
    } else {
        EXPECT_EQ(phase, "done") << id << " at " << controller.settings.member << "\n"
                                 << describe_tasks(cluster_, controller, id);
    }
}

// The run has shown what it is meant to show.
void ClusterInvariants::check_run_coverage() const {
    EXPECT_GT(cluster_.jobs.size(), 5u) << "a run without jobs shows nothing";
    EXPECT_GT(cluster_.startedTasks, 5) << "a run without starts shows nothing";
    if (!cluster_.scenario.upgrade) return;
    EXPECT_TRUE(cluster_.store.revision_of("ws/layout")) << "the layout was not switched";
    EXPECT_GT(cluster_.acceptedServices, 0) << "an upgrade without services shows half of it";
    EXPECT_TRUE(std::any_of(cluster_.store.log.begin(), cluster_.store.log.end(), [](const auto& change) {
        return change.path.starts_with("ws/hosts/") && change.path.find('.') != std::string::npos;
    })) << "no shard was divided";
}

}  // namespace wellstair::test
