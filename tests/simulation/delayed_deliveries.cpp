// Delivery of the delayed transactions, of commands that are delayed or arrive again, and of copies of heartbeats of a
// simulated run.
#include <gtest/gtest.h>

#include "simulation/simulated_cluster.hpp"

namespace wellstair::test {

bool SimulatedCluster::deliveries_pending() const {
    return !delayedTransactions_.empty() || !delayedCommands_.empty() || !heartbeatCopies_.empty() || !network_.empty();
}

void SimulatedCluster::deliver_delayed() {
    apply_delayed_transactions();
    execute_delayed_commands();
    deliver_heartbeat_copies();
}

void SimulatedCluster::apply_delayed_transactions() {
    for (auto it = delayedTransactions_.begin(); it != delayedTransactions_.end();) {
        if (it->atS > state_.nowS) {
            ++it;
            continue;
        }
        const std::string result = state_.store.commit(it->body);
        EXPECT_FALSE(it->copy && result.starts_with("ok")) << "applied twice: " << it->body.dump();
        it = delayedTransactions_.erase(it);
    }
}

void SimulatedCluster::execute_delayed_commands() {
    for (auto it = delayedCommands_.begin(); it != delayedCommands_.end();) {
        if (it->atS <= state_.nowS) execute_delayed(*it);
        if (it->atS > state_.nowS)
            ++it;
        else
            it = delayedCommands_.erase(it);
    }
}

// Commands that arrive at a hung machine are executed when it continues.
void SimulatedCluster::execute_delayed(DelayedCommands& delayed) {
    const SentCommands& sent = delayed.sent;
    for (SimulatedWorker& worker : state_.workers) {
        if (!worker.present || worker.name != sent.host) continue;
        if (state_.nowS < worker.hungUntilS) {
            delayed.atS = worker.hungUntilS;
        } else if (execute_if_accepted(worker, sent)) {
            worker.next_heartbeat();  // the reply, for which nobody waits, has a sequence number
        }
    }
}

void SimulatedCluster::deliver_heartbeat_copies() {
    for (auto it = heartbeatCopies_.begin(); it != heartbeatCopies_.end();) {
        if (it->atS > state_.nowS) {
            ++it;
            continue;
        }
        SimulatedController& controller = state_.controllers[it->controller];
        if (controller.core && state_.nowS >= controller.workersUnreachableUntilS) {
            update_availability(controller);
            handle_heartbeat(controller, it->heartbeat);
        }
        it = heartbeatCopies_.erase(it);
    }
}

}  // namespace wellstair::test
