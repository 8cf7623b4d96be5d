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

// --- at the start of a task

void ClusterInvariants::check_start(const SimulatedWorker& worker, const workers::TaskAttempt& attempt) const {
    const workers::TaskKey& task = attempt.task;
    EXPECT_TRUE(cluster_.placed(worker, attempt))
        << task.first << "/" << task.second << " starts attempt " << attempt.attempt << " on " << worker.name
        << ", where it is not placed, at " << cluster_.nowS << " s";
    check_single_instance(worker, task);
    const auto job = cluster_.jobs.find(task.first);
    ASSERT_TRUE(job != cluster_.jobs.end());
    EXPECT_FALSE(job->second.cancelOverdue(cluster_.nowS))
        << task.first << " starts a task " << cluster_.nowS - job->second.cancelConfirmedS
        << " s after its cancellation";
    check_placement(worker, job->second.spec);
}

void ClusterInvariants::check_single_instance(const SimulatedWorker& worker, const workers::TaskKey& task) const {
    for (const SimulatedWorker& other : cluster_.workers) {
        if (!other.present || &other == &worker) continue;
        auto same = other.tasks.find(task);
        EXPECT_FALSE(same != other.tasks.end() && !same->second.ended())
            << task.first << "/" << task.second << " starts on " << worker.name << " while it runs on " << other.name
            << " at " << cluster_.nowS << " s";
    }
}

// Checks machine type, zone and spot use, and the job's zone constraints against its tasks that run at this moment.
void ClusterInvariants::check_placement(const SimulatedWorker& worker, const wire::JobSpec& spec) const {
    EXPECT_TRUE(worker.fits(spec)) << spec.id << " starts on a machine that its constraints exclude: " << worker.name
                                   << " " << worker.machineType << " " << worker.zone;
    std::uint32_t tasksInZone = 1;
    for (const SimulatedWorker& other : cluster_.workers) {
        if (!other.present || &other == &worker) continue;
        for (const auto& [key, task] : other.tasks) {
            if (key.first != spec.id || task.ended()) continue;
            if (spec.coLocated) {
                EXPECT_EQ(other.zone, worker.zone)
                    << spec.id << ", co-located, has tasks in several zones at " << cluster_.nowS << " s";
            }
            tasksInZone += other.zone == worker.zone;
        }
    }
    if (spec.spread) {
        EXPECT_LE(tasksInZone, (spec.taskCount + 1) / 2) << spec.id << ", to be spread, has too many tasks in zone "
                                                         << worker.zone << " at " << cluster_.nowS << " s";
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
        // A phase that is not final may be reported only from a current read.
        if (cluster_.nowS < controller.slowReadsUntilS) continue;
        check_job_phases(controller);
    }
}

// Checks that no task of a cancelled job runs for longer than kCancelS. Returns the cores in use by team.
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
                << " s after its cancellation";
        }
    }
    return used;
}

// A controller that knows the worker's present session, and whose fencing token the worker has accepted, may not
// consider its lease expired before the worker does, whether or not a heartbeat of that session was answered.
void ClusterInvariants::check_leases() const {
    for (const SimulatedController& controller : cluster_.controllers) {
        if (!controller.core) continue;
        for (const SimulatedWorker& worker : cluster_.workers) {
            const auto* tracker = worker.present ? controller.core->tracker(worker.name) : nullptr;
            if (!tracker || tracker->state != state::HostState::expired) continue;
            const bool tokenCurrent =
                tracker->tokens.contains(worker.fencingToken) && tracker->agentEpoch == worker.agentEpoch;
            if (!tokenCurrent) continue;
            EXPECT_GE(cluster_.nowS - worker.leaseStartS, kLeaseS)
                << controller.settings.member << " considers the lease of " << worker.name << " expired at "
                << cluster_.nowS << " s, but the worker holds it since " << worker.leaseStartS << " s";
        }
    }
}

void ClusterInvariants::check_quota(CoresByTeam& used) const {
    EXPECT_LE(used["red"], kTeamRedMaxCores) << "team red exceeds its quota at " << cluster_.nowS << " s";
    EXPECT_LE(used["blue"], kTeamBlueMaxCores) << "team blue exceeds its quota at " << cluster_.nowS << " s";
}

// --- responses to users

void ClusterInvariants::check_accepted_job(SimulatedController& controller, const std::string& id,
                                           const SubmittedJob& job) const {
    bool unsure = false;
    EXPECT_FALSE(controller.core->infeasibility_reason(job.spec, unsure).has_value())
        << id << " is infeasible at " << controller.settings.member << ", although it was accepted";
    ASSERT_TRUE(controller.core->find_submission(id).has_value())
        << id << " was accepted but is unknown at " << controller.settings.member;
    EXPECT_EQ(controller.core->job_status(id).status, 200) << id;
}

void ClusterInvariants::check_job_phases(SimulatedController& controller) {
    cluster_.sync(controller);
    for (auto& [id, job] : cluster_.jobs) {
        auto response = controller.core->find_submission(id);
        if (response) check_job_phase(controller, id, job, response->body.value("phase", ""));
    }
}

// Checks that a final phase is justified, and that the first one reported does not change.
void ClusterInvariants::check_job_phase(SimulatedController& controller, const std::string& id, SubmittedJob& job,
                                        const std::string& phase) const {
    if (phase == "done") {
        EXPECT_FALSE(job.spec.service()) << id << " is a service but is reported as done";
        EXPECT_EQ(job.completed.size(), job.spec.taskCount)
            << id << " is reported as done before all tasks have succeeded";
    }
    const bool final = phase == "done" || phase == "aborted";
    if (final) {
        EXPECT_TRUE(phase == "done" || job.cancelRequested) << id << " is reported as cancelled without a request";
    }
    // If the reply to the cancellation was lost, the user learns of it now.
    if (phase == "aborted" && job.cancelConfirmedS < 0) job.cancelConfirmedS = cluster_.nowS;
    if (final && job.finalPhase.empty()) job.finalPhase = phase;
    if (!job.finalPhase.empty()) {
        EXPECT_EQ(phase, job.finalPhase) << id << " changed its final phase at " << controller.settings.member << " at "
                                         << cluster_.nowS << " s\n"
                                         << describe_store_history(cluster_, id);
    }
}

// --- waiting jobs

// After the faults no job without tasks may wait for long while machines have capacity for it within its team's quota.
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
            << ", priority " << static_cast<int>(job.spec.priority) << ", waits despite free capacity at "
            << cluster_.nowS << " s\n"
            << describe_cluster(cluster_);
    }
}

bool ClusterInvariants::waits_despite_capacity(const std::string& id, const SubmittedJob& job, const CoresByTeam& used,
                                               state::StateCache& state) const {
    const wire::JobSpec& spec = job.spec;
    if (!job.accepted || job.cancelRequested || !job.completed.empty()) return false;
    std::map<std::string, std::uint32_t> freeSlotsByZone;  // tasks of the job that fit in a zone
    for (const SimulatedWorker& worker : cluster_.workers) {
        const double faultyUntilS =
            std::max({worker.unreachableUntilS, worker.heartbeatsLostUntilS, worker.hungUntilS});
        if (!worker.present || cluster_.nowS < faultyUntilS) continue;
        if (worker.has_task_of(id)) return false;
        const double allocated = allocated_cores(worker, state);
        if (worker.fits(spec) && allocated < kMachineCores)
            freeSlotsByZone[worker.zone] += static_cast<std::uint32_t>((kMachineCores - allocated) / spec.cores);
    }
    const std::uint32_t needed = spec.kind == wire::JobKind::gang ? spec.taskCount : 1;
    auto usedByTeam = used.find(spec.team);
    const double teamCores = usedByTeam == used.end() ? 0 : usedByTeam->second;
    const bool withinQuota = teamCores + needed * spec.cores <= team_limit(spec.team);
    return withinQuota && std::any_of(freeSlotsByZone.begin(), freeSlotsByZone.end(),
                                      [&](const auto& zone) { return zone.second >= needed; });
}

// Placed tasks that have not started count too: the moment between the end of one task and the start of the next is not
// free capacity.
double ClusterInvariants::allocated_cores(const SimulatedWorker& worker, state::StateCache& state) const {
    double running = 0;
    for (const auto& [key, task] : worker.tasks)
        if (!task.ended()) running += cluster_.jobs.at(key.first).spec.cores;
    double placed = 0;
    if (auto* host = state.host(worker.name))
        for (const auto& ref : host->placed) placed += ref.job->spec->cores;
    return std::max(running, placed);
}

// --- at the end of the run

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
    auto response = controller.core->job_status(id);
    EXPECT_EQ(response.status, 200) << id;
    const std::string phase = response.body.value("phase", "");
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

// Checks that the run has exercised what its scenario is meant to test.
void ClusterInvariants::check_run_coverage() const {
    EXPECT_GT(cluster_.jobs.size(), 5u) << "too few jobs were submitted for the run to test anything";
    EXPECT_GT(cluster_.startedTasks, 5) << "too few tasks were started for the run to test anything";
    if (!cluster_.scenario.upgrade) return;
    EXPECT_TRUE(cluster_.store.revision_of("ws/layout")) << "the layout was not switched";
    EXPECT_GT(cluster_.acceptedServices, 0) << "no service was accepted, so the upgrade was tested without services";
    EXPECT_TRUE(std::any_of(cluster_.store.log.begin(), cluster_.store.log.end(), [](const auto& change) {
        return change.path.starts_with("ws/hosts/") && change.path.find('.') != std::string::npos;
    })) << "no shard was split";
}

}  // namespace wellstair::test
