// The users of a simulated run, who submit jobs, cancel them and request their status at any controller.
#include <algorithm>
#include <iterator>

#include "simulation/simulated_cluster.hpp"

namespace wellstair::test {

// Some jobs run for longer than kCancelS, so that a cancellation that is not carried out is noticed.
wire::JobSpec SimulatedCluster::random_job(int number, bool& service) {
    wire::JobSpec spec;
    spec.id = "j-" + std::to_string(number);
    spec.jobClass = "work";
    spec.image = "img";
    spec.team = random_.chance(0.5) ? "red" : "blue";
    spec.priority =
        random_.chance(state_.scenario.urgentJobShare) ? wire::PriorityClass::urgent : wire::PriorityClass::standard;
    if (random_.chance(0.25)) spec.zone = random_.chance(0.5) ? "a" : "b";
    if (random_.chance(0.15)) spec.machineTypes = {"c8"};
    spec.spotAllowed = random_.chance(0.6);
    const bool gang = random_.chance(0.3);
    spec.kind = gang ? wire::JobKind::gang : wire::JobKind::batch;
    // Services are a new feature: none is submitted before all controllers run the new version.
    const bool allUpgraded = std::none_of(state_.controllers.begin(), state_.controllers.end(),
                                          [](const SimulatedController& each) { return each.runsOldVersion; });
    const bool mayBeService =
        allUpgraded && !gang && state_.nowS > kServicesStartS && state_.submittedServices < kMaxServices;
    service = mayBeService && random_.chance(0.3);
    if (service) spec.kind = wire::JobKind::service;
    spec.taskCount = gang ? 2 : 1 + static_cast<std::uint32_t>(random_.pick(3));
    spec.coLocated = gang || random_.chance(0.2);
    spec.spread = !spec.coLocated && !spec.zone && random_.chance(0.2);
    spec.cores = 2 + 2 * static_cast<double>(random_.pick(3));
    spec.ramGb = 4;
    spec.imageGb = 1;
    spec.estimatedDurationS = random_.chance(0.25) ? random_.between(60, 100) : random_.between(5, 25);
    spec.checkpointIntervalS = random_.chance(0.5) ? 5 : 0;
    spec.checkpointWriteS = 1;
    if (service) {
        spec.estimatedDurationS = 0;
        spec.checkpointIntervalS = 0;
        spec.cores = 2;
        spec.priority = wire::PriorityClass::production;
    }
    return spec;
}

void SimulatedCluster::submit(int number) {
    SimulatedController& controller = state_.controllers[random_.pick(controller_count())];
    if (!state_.accepts_requests(controller)) return;
    bool service = false;
    const wire::JobSpec spec = random_job(number, service);
    bool unsure = false;
    if (controller.core->infeasibility_reason(spec, unsure)) return;
    state_.sync(controller);
    SubmittedJob& job = state_.jobs[spec.id];  // recorded first: without a reply it may still be submitted later
    job.spec = spec;
    auto builder = controller.core->new_transaction();
    builder.submit(spec, controller.settings.member, static_cast<std::int64_t>(state_.timestamp().wall));
    job.accepted = commit(controller, builder);
    state_.submittedServices += service;
    state_.acceptedServices += service && job.accepted;
}

bool SimulatedCluster::cancel(const std::string& id, SimulatedController& controller) {
    if (!state_.accepts_requests(controller)) return false;
    state_.sync(controller);
    auto* job = controller.core->state().job(id);
    if (!job || job->state != state::JobState::active) return false;
    auto builder = controller.core->new_transaction();
    builder.cancel(*job, static_cast<std::int64_t>(state_.timestamp().wall));
    SubmittedJob& submitted = state_.jobs.at(id);
    submitted.cancelRequested = true;
    if (!commit(controller, builder)) return false;
    controller.core->record_cancellations({id});
    if (submitted.cancelConfirmedS < 0) submitted.cancelConfirmedS = state_.nowS;
    return true;
}

void SimulatedCluster::cancel_random_job() {
    if (state_.jobs.empty()) return;
    auto it = state_.jobs.begin();
    std::advance(it, random_.pick(state_.jobs.size()));
    cancel(it->first, state_.controllers[random_.pick(controller_count())]);
}

// A user requests the status of a job or repeats its submission at a random controller, as behind a load balancer.
void SimulatedCluster::query_random_job() {
    if (state_.jobs.empty()) return;
    auto it = state_.jobs.begin();
    std::advance(it, random_.pick(state_.jobs.size()));
    SimulatedController& controller = state_.controllers[random_.pick(controller_count())];
    if (!it->second.accepted || !state_.accepts_requests(controller)) return;
    state_.sync(controller);
    invariants_.check_accepted_job(controller, it->first, it->second);
}

}  // namespace wellstair::test
