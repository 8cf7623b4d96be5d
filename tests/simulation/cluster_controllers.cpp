// The work of the controllers in a step of a simulated run, in the order of the service: renew the member lease, read
// the state, exchange status with peers, plan a round, and commit it.
#include <algorithm>
#include <utility>

#include "leadership/availability.hpp"
#include "simulation/simulated_cluster.hpp"

namespace wellstair::test {

namespace {

constexpr std::uint64_t kReadRequestsPerProcess = 1'000'000;  // so that request numbers of processes are distinct
constexpr double kLostPeerExchangeShare = 0.1;                // status exchanges with a peer that are lost
constexpr double kSlowReadSuccessShare = 0.1;                 // reads that complete while reads are slow
constexpr double kLateTransactionShare = 0.7;                 // transactions without a reply that are applied later

}  // namespace

bool SimulatedCluster::commit(SimulatedController& controller, const state::TransactionBuilder& builder) {
    return !builder.empty() && commit(controller, builder.build().body);
}

bool SimulatedCluster::commit(SimulatedController& controller, const wire::Json& body) {
    if (!state_.has_store(controller)) return false;
    if (random_.chance(state_.scenario.lostTransactionReplyShare) && before_faults_end()) {
        // No reply: the transaction is applied late or never.
        if (random_.chance(kLateTransactionShare)) {
            const double maxDelayS = random_.chance(0.5) ? 12 : 60;
            delayedTransactions_.push_back({state_.nowS + random_.between(0.5, maxDelayS), body});
        }
        return false;
    }
    const std::string result = state_.store.commit(body);
    const bool applied = result.starts_with("ok");
    if (result.starts_with("malformed"))
        controller.core->handle_rejected_transaction(written_keys(body), state_.timestamp());
    if (applied) copy_at_random(body);
    if (applied || state_.nowS >= controller.slowReadsUntilS) state_.sync(controller);
    if (!applied) controller.core->request_replan();
    return applied;
}

void SimulatedCluster::copy_at_random(const wire::Json& appliedTransaction) {
    const double share = state_.scenario.appliedTransactionCopyShare;
    if (share <= 0 || !before_faults_end() || !random_.chance(share)) return;
    delayedTransactions_.push_back({state_.nowS + random_.between(0.5, kMaxCopyDelayS), appliedTransaction, true});
}

void SimulatedCluster::start_process(SimulatedController& controller) {
    controller.incarnation = ++lastIncarnation_;
    controller.readBarrier = leadership::CancellationReadBarrier(controller.incarnation * kReadRequestsPerProcess);
    controller.runsOldVersion = !controller.upgraded;
    const bool limitsAnnounced = state_.scenario.upgrade && !controller.runsOldVersion;
    controller.settings.nextStateLimits = limitsAnnounced ? std::optional(kLoweredStateLimits) : std::nullopt;
    controller.core =
        std::make_unique<controller::Core>(controller.settings, controller::Tunables{}, controller.incarnation);
    state_.chunkSize = controller.core->state().chunk_size();
    controller.lastStoreAnswerS = state_.nowS;
    state_.sync(controller);
    controller.core->set_state_ready(true);
    state_.write_unconditionally({{{"set", controller.member_key()}, {"data", controller.member_data()}}});
    controller.memberLeaseUntilS = state_.nowS + kMemberTtlS;
}

void SimulatedCluster::renew_member_lease(SimulatedController& controller) {
    controller.lastStoreAnswerS = state_.nowS;
    if (state_.nowS >= controller.slowReadsUntilS || random_.chance(kSlowReadSuccessShare)) state_.sync(controller);
    if (!controller.core->member_revision() || state_.nowS > controller.memberLeaseUntilS) {
        state_.write_unconditionally({{{"set", controller.member_key()}, {"data", controller.member_data()}}});
        state_.sync(controller);
    }
    controller.memberLeaseUntilS = state_.nowS + kMemberTtlS;
}

void SimulatedCluster::exchange_peer_status(SimulatedController& controller) {
    const auto requestNumber = controller.readBarrier.next_request(state_.nowS);
    for (SimulatedController& peer : state_.controllers) {
        if (&peer == &controller || !peer.core) continue;
        if (state_.nowS < std::max(peer.peersUnreachableUntilS, controller.peersUnreachableUntilS)) continue;
        if (state_.partitioned(controller.settings.location, peer.settings.location)) continue;
        if (random_.chance(kLostPeerExchangeShare)) continue;
        controller.core->record_cancellations(peer.core->cancellations());
        controller.readBarrier.acknowledge(peer.settings.member, peer.incarnation, requestNumber);
        const double storeContactAgeS = state_.nowS - peer.lastStoreAnswerS;
        controller.core->set_peer_status(peer.core->own_peer_status(storeContactAgeS, state_.timestamp()),
                                         state_.timestamp());
    }
}

void SimulatedCluster::update_availability(SimulatedController& controller) {
    leadership::AvailabilitySignals signals;
    signals.registered = controller.core->member_revision() != 0;
    signals.hasPeers = true;
    signals.storeContactAgeS = state_.nowS - controller.lastStoreAnswerS;
    signals.cancellationsReadAgeS =
        state_.nowS -
        std::max(controller.lastReadS, controller.readBarrier.acknowledged_until(controller.core->peer_incarnations()));
    signals.peerHeard = controller.core->peer_heard(state_.timestamp());
    signals.peerReachesStore = controller.core->peer_has_state_service(state_.timestamp());
    controller.core->set_availability(
        leadership::next_availability(controller.core->availability(), signals, {kCancelS, kLeaseS}),
        state_.timestamp());
}

void SimulatedCluster::run_planning_phase(SimulatedController& controller) {
    if (!controller.core) {
        if (state_.nowS < controller.restartAtS || !state_.has_store(controller)) return;
        start_process(controller);
    }
    if (state_.has_store(controller)) renew_member_lease(controller);
    exchange_peer_status(controller);
    update_availability(controller);
    controller.core->advance_time(state_.timestamp());
    if (!controller.serving()) send_due_commands(controller);
    controller.planned = nullptr;
    if (!state_.accepts_requests(controller)) return;
    auto builder = controller.core->round(state_.timestamp());
    if (!builder.empty()) controller.planned = builder.build().body;
}

void SimulatedCluster::run_commit_phase(SimulatedController& controller) {
    if (!state_.accepts_requests(controller)) return;
    if (!controller.planned.is_null()) commit(controller, std::exchange(controller.planned, nullptr));
    send_due_commands(controller);
    if (controller.core->may_take_cloud_role()) take_cloud_role(controller);
    scale_in(controller);
}

void SimulatedCluster::take_cloud_role(SimulatedController& controller) {
    auto builder = controller.core->new_transaction();
    controller.core->take_cloud_role(builder, 0);
    commit(controller, builder);
}

// Returns machines to the cloud, which takes them back immediately and always replies.
void SimulatedCluster::scale_in(SimulatedController& controller) {
    auto due = controller.core->scale_in_due(state_.timestamp());
    if (due.empty()) return;
    for (SimulatedWorker& worker : state_.workers) {
        if (std::find(due.begin(), due.end(), worker.name) == due.end()) continue;
        worker.present = false;
        worker.tasks.clear();
    }
    auto builder = controller.core->new_transaction();
    controller.core->mark_gone(builder, due, state_.timestamp());
    commit(controller, builder);
}

}  // namespace wellstair::test
