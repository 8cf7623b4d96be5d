#include "simulation/simulated_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "site_settings.hpp"

namespace wellstair::test {

namespace {

constexpr double kRandomFaultChance = 0.05;   // per step
constexpr double kRandomCancelChance = 0.01;  // per step
constexpr double kRandomQueryChance = 0.02;   // per step, of a status request and repeated submission
constexpr double kMinSettlingS = 60;          // minimum time from the last fault to the end of a run

std::string zone_of(const std::string& controller) {
    return controller == "k-2" ? "b" : "a";
}

}  // namespace

SimulatedCluster::SimulatedCluster(unsigned seed, const Scenario& scenario)
    : random_(seed), network_(seed, scenario.slowMessageShare) {
    state_.scenario = scenario;
    state_.write_unconditionally({{{"set", "ws/types"}, {"data", machine_types()}}});
    add_controllers();
    const std::size_t workers = scenario.upgrade ? kInitialUpgradeWorkers : kInitialWorkers;
    for (std::size_t i = 0; i < workers; ++i) add_worker();
}

void SimulatedCluster::add_controllers() {
    config::Settings settings = site_settings();
    settings.leaseS = kLeaseS;
    settings.cancelS = kCancelS;
    settings.teams = {{"red", 16, kTeamRedMaxCores, 0, 0}, {"blue", 8, kTeamBlueMaxCores, 0, 0}};
    const std::vector<std::string> names = {"k-0", "k-1", "k-2"};
    for (const std::string& name : names) {
        SimulatedController& controller = state_.controllers.emplace_back();
        controller.settings = settings;
        controller.settings.member = name;
        controller.settings.location = zone_of(name);
        controller.upgraded = !state_.scenario.upgrade;
        for (const std::string& other : names)
            if (other != name) controller.settings.members.push_back({other, zone_of(other), {}});
    }
}

SimulatedWorker& SimulatedCluster::add_worker() {
    ++machinesCreated_;
    // In an upgrade all machines of a zone belong to one shard, so that it must be split.
    char name[16];
    std::snprintf(name, sizeof name, "n-%06d", state_.scenario.upgrade ? 6 * machinesCreated_ : machinesCreated_);
    SimulatedWorker worker;
    worker.name = name;
    worker.machineType = machinesCreated_ % 4 == 0 ? "g8" : "c8";
    worker.zone = machinesCreated_ % 3 == 0 ? "b" : "a";
    worker.spot = machinesCreated_ % 5 == 0;
    worker.leaseStartS = state_.nowS;
    worker.controller = random_.pick(state_.controllers.size());
    return state_.workers.emplace_back(worker);
}

void SimulatedCluster::replace_lost_workers() {
    auto present = [&] {
        return static_cast<std::size_t>(std::count_if(state_.workers.begin(), state_.workers.end(),
                                                      [](const SimulatedWorker& worker) { return worker.present; }));
    };
    while (present() < kMinWorkers) add_worker();
}

// Ensures after the faults that every job has machines that satisfy its constraints.
void SimulatedCluster::add_workers_of_all_kinds() {
    for (const char* zone : {"a", "b"})
        for (int i = 0; i < 2; ++i) {
            SimulatedWorker& worker = add_worker();
            worker.machineType = "c8";
            worker.zone = zone;
            worker.spot = false;
        }
}

void SimulatedCluster::run() {
    while (state_.nowS < kRunTimeoutS && !testing::Test::HasFailure()) {
        state_.nowS += kStepS;
        state_.store.set_time(state_.nowS);
        inject_faults_and_requests();
        run_step();
        invariants_.check_step();
        if (state_.nowS <= kFaultsEndS + kMinSettlingS) continue;
        if (!deliveries_pending() && state_.all_jobs_settled()) break;
    }
    invariants_.check_end();
}

void SimulatedCluster::inject_faults_and_requests() {
    if (state_.scenario.upgrade) upgrade_controllers();
    if (faults_active() && state_.scenario.onStep)
        state_.scenario.onStep(*this, state_.nowS);
    else if (faults_active() && random_.chance(kRandomFaultChance))
        inject_random_fault();
    if (at(kFaultsEndS)) add_workers_of_all_kinds();
    const bool acceptsSubmissions = state_.nowS > kSubmissionsStartS && before_faults_end();
    if (acceptsSubmissions && random_.chance(state_.scenario.submissionChance)) submit(++jobsSubmitted_);
    if (faults_active() && random_.chance(kRandomCancelChance)) cancel_random_job();
    if (random_.chance(kRandomQueryChance)) query_random_job();
    replace_lost_workers();
}

void SimulatedCluster::run_step() {
    end_member_leases();
    for (SimulatedWorker& worker : state_.workers) end_worker_session(worker);
    deliver_delayed();
    network_.deliver_due(state_.nowS);
    // All controllers plan before any of them commits, since real controllers plan concurrently on cached state.
    for (SimulatedController& controller : state_.controllers) run_planning_phase(controller);
    for (SimulatedController& controller : state_.controllers) run_commit_phase(controller);
    for (SimulatedWorker& worker : state_.workers)
        if (worker.present) run_worker(worker);
}

}  // namespace wellstair::test
