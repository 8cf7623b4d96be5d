// Deterministic simulation of three controllers, their workers and users on a simulated clock, with faults drawn from a
// seed or injected by a scenario: controllers crash, restart at once, or lose the state service, their peers or their
// workers; member leases expire; transactions apply late; zones are isolated together with a controller; machines are
// lost, restart, hang, or lose messages in one direction; commands execute late or, once executed, arrive again;
// heartbeats are duplicated; controllers are upgraded and state limits are lowered. Messages are delayed and reordered.
// ClusterInvariants checks the invariants at every step and, after the faults, that every accepted job ends or, as a
// service, runs.
//
// The implementation of the class by concern:
//   simulated_cluster.cpp     the clock and the order of events within a step
//   fault_injection.cpp       faults of scenarios, random faults, the upgrade
//   delayed_deliveries.cpp    late transactions and commands, copies of commands and heartbeats
//   cluster_users.cpp         submissions, cancellations and status requests
//   cluster_controllers.cpp   the controllers' work in a step
//   cluster_messages.cpp      commands and heartbeats between controllers and workers
//   cluster_tasks.cpp         tasks on the workers
//
// Owns the state of the run, its random numbers and its network. Single-threaded. A change to the order or number of
// random draws changes the run of every seed.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "simulation/cluster_invariants.hpp"
#include "simulation/cluster_state.hpp"
#include "simulation/random_source.hpp"
#include "simulation/simulated_network.hpp"

namespace wellstair::test {

class SimulatedCluster {
  public:
    explicit SimulatedCluster(unsigned seed, const Scenario& scenario = {"random_faults"});

    // Simulates the whole run and reports failed checks to GTest.
    void run();

    // --- operations for scenarios; durations are seconds from the present step

    // Whether `atS` falls into the present step.
    bool at(double atS) const { return state_.step_contains(atS); }
    std::size_t controller_count() const { return state_.controllers.size(); }
    // Index of the controller that leads the most machines.
    std::size_t leader_of_most_machines();
    // Ends the process of a controller, which restarts after `durationS`.
    void crash(std::size_t controller, double durationS);
    // Disconnects one controller from the state service.
    void disconnect_store(std::size_t controller, double durationS);
    // Disconnects one controller from its peers.
    void disconnect_peers(std::size_t controller, double durationS);
    // Makes the state service unavailable to all controllers. Member leases do not expire in an outage.
    void store_outage(double durationS);
    // Makes most reads from the state service hang, while it still accepts writes.
    void slow_store_reads(double durationS);
    // Disconnects a zone from the other zones and from the state service.
    void isolate_zone(const std::string& zone, double durationS);
    // Drops commands and heartbeat responses to a random share of the workers.
    void make_workers_unreachable(double share, double durationS);
    // Drops the heartbeats of a random share of the workers.
    void drop_heartbeats(double share, double durationS);
    // Drops the heartbeats of a random share of the workers, each of which restarts a few seconds later and is back at
    // once. Commands arrive, so that the reply to one is the first news of the new session.
    void restart_workers_unheard(double share, double durationS);
    // Suspends a random share of the workers.
    void hang_workers(double share, double durationS);
    // Removes up to `count` random machines permanently.
    void remove_machines(int count);
    // Cancels up to `count` running jobs and suspends their machines for `hangS`.
    void cancel_running_jobs(int count, double hangS = 0);
    // Sets the probability that a job is cancelled in the step in which its last task succeeds.
    void set_cancel_at_completion_chance(double chance) { cancelAtCompletionChance_ = chance; }
    // Cancels the jobs that have a start command without a reply that is still to be executed.
    void cancel_jobs_with_delayed_start();

  private:
    // A batch of commands sent by a controller to one worker.
    struct SentCommands {
        std::size_t controller;
        std::uint64_t incarnation;  // of the sending process
        std::string host;
        std::uint64_t agentEpoch, fencingToken;
        std::vector<wire::Command> commands;
    };
    // A transaction that arrives at `atS`: one without a reply, or a copy of one that was applied.
    struct DelayedTransaction {
        double atS;
        wire::Json body;
        bool copy = false;
    };
    // Commands that arrive at `atS`: those without a reply that are still to be executed, and copies of executed ones.
    struct DelayedCommands {
        double atS;
        SentCommands sent;
    };
    // A duplicate of a heartbeat that arrives at `atS`.
    struct HeartbeatCopy {
        double atS;
        std::size_t controller;
        wire::Heartbeat heartbeat;
    };
    // The response to a heartbeat, with its HTTP status.
    struct HeartbeatReply {
        int status = 503;
        std::string leader;  // with 421: the controller to send to
        std::uint64_t fencingToken = 0;
        std::vector<wire::Command> commands;
    };

    // The run.
    void add_controllers();
    SimulatedWorker& add_worker();
    void replace_lost_workers();
    void add_workers_of_all_kinds();
    void run_step();
    void inject_faults_and_requests();
    bool faults_active() const { return state_.nowS > kFaultsStartS && state_.nowS < kFaultsEndS; }
    bool before_faults_end() const { return state_.nowS < kFaultsEndS; }

    // Faults.
    void inject_random_fault();
    void inject_controller_fault(std::size_t kind, SimulatedController& controller, double durationS);
    void inject_worker_fault(std::size_t kind, SimulatedWorker& worker, double durationS);
    void inject_cluster_fault(std::size_t kind, double durationS);
    void extend(double& untilS, double durationS) const;
    void upgrade_controllers();
    void end_member_leases();
    void restart_unheard(SimulatedWorker& worker, double durationS);
    void end_worker_session(SimulatedWorker& worker) const;

    // Delayed deliveries.
    bool deliveries_pending() const;
    void deliver_delayed();
    void apply_delayed_transactions();
    void execute_delayed_commands();
    void execute_delayed(DelayedCommands& delayed);
    void deliver_heartbeat_copies();

    // Users.
    wire::JobSpec random_job(int number, bool& service);
    void submit(int number);
    bool cancel(const std::string& id, SimulatedController& controller);
    void cancel_random_job();
    void query_random_job();

    // Controllers.
    bool commit(SimulatedController& controller, const state::TransactionBuilder& builder);
    bool commit(SimulatedController& controller, const wire::Json& body);
    void copy_at_random(const wire::Json& appliedTransaction);
    void start_process(SimulatedController& controller);
    void renew_member_lease(SimulatedController& controller);
    void exchange_peer_status(SimulatedController& controller);
    void update_availability(SimulatedController& controller);
    void run_planning_phase(SimulatedController& controller);
    void run_commit_phase(SimulatedController& controller);
    void take_cloud_role(SimulatedController& controller);
    void scale_in(SimulatedController& controller);

    // Messages.
    void send_due_commands(SimulatedController& controller);
    void send_commands(SimulatedController& controller, const std::string& host,
                       const std::vector<wire::Command>& commands);
    void receive_commands(const SentCommands& sent, double sentS);
    // Executes the commands if their agent epoch and fencing token are accepted. Returns whether they were.
    bool execute_if_accepted(SimulatedWorker& worker, const SentCommands& sent);
    void copy_at_random(const SentCommands& sent);
    void drop_commands(const SentCommands& sent, const SimulatedWorker* worker);
    void reply_to_commands(const SentCommands& sent, double sentS, SimulatedWorker& worker);
    HeartbeatReply handle_heartbeat(SimulatedController& controller, const wire::Heartbeat& heartbeat);
    void send_heartbeat(SimulatedWorker& worker);
    void receive_heartbeat(const std::string& host, std::size_t controller, const wire::Heartbeat& heartbeat);
    void receive_heartbeat_reply(const std::string& host, const wire::Heartbeat& heartbeat,
                                 const HeartbeatReply& reply);
    void send_due_heartbeat(SimulatedWorker& worker);
    void try_next_controller(SimulatedWorker& worker, double delayS) const;

    // Tasks.
    void execute(SimulatedWorker& worker, const std::vector<wire::Command>& commands);
    void start_task(SimulatedWorker& worker, const wire::Command& command);
    double random_duration_s(const SubmittedJob& job, std::uint32_t index);
    void run_worker(SimulatedWorker& worker);
    void run_task(const workers::TaskKey& key, SimulatedTask& task);
    std::vector<SimulatedTask*> running_gang(const workers::TaskKey& key, SimulatedTask& task);
    void complete(const workers::TaskKey& key, const std::vector<SimulatedTask*>& tasks);

    ClusterState state_;
    ClusterInvariants invariants_{state_};
    RandomSource random_;
    SimulatedNetwork network_;
    double cancelAtCompletionChance_ = 0.02;
    double outageUntilS_ = 0;
    std::vector<DelayedTransaction> delayedTransactions_;
    std::vector<DelayedCommands> delayedCommands_;
    std::vector<HeartbeatCopy> heartbeatCopies_;
    std::uint64_t lastIncarnation_ = 0;  // of the process started last
    int machinesCreated_ = 0;
    int jobsSubmitted_ = 0;
};

}  // namespace wellstair::test
