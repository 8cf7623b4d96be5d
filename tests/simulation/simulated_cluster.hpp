// A cluster of three controllers, some workers and their users on a simulated clock, with faults that a seed or a
// scenario brings: controllers that crash and are back in a moment, lose the store, their peers or the workers; member
// leases that run out; transactions that apply late; zones cut off with a controller inside; machines that die,
// restart, hang, receive nothing or reach nobody; commands that execute late; copies of heartbeats; an upgrade, and
// state limits that fall. Messages take time, so that they may overtake one another. ClusterInvariants checks the rules
// at every step and, when the faults are over, that every accepted job ends or serves.
//
// One class, by concern:
//   simulated_cluster.cpp     the clock and the order of events within a step
//   fault_injection.cpp       the faults that scenarios name, and those that come at random
//   delayed_deliveries.cpp    transactions, commands and heartbeats that arrive late
//   cluster_users.cpp         submissions, cancellations and questions
//   cluster_controllers.cpp   what controllers do in a step
//   cluster_messages.cpp      commands and heartbeats between controllers and workers
//   cluster_tasks.cpp         tasks on the workers
//
// Owns the state of the run, its random numbers and its network. Single-threaded. What a seed shows
// depends on the order and number of random draws: changing them makes other runs of all seeds.
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
    explicit SimulatedCluster(unsigned seed, const Scenario& scenario = {"mix"});

    // Plays the whole run; failed checks are reported to GTest.
    void run();

    // --- the vocabulary of scenarios; durations are seconds from now

    // True in the one step that belongs to the time `atS`.
    bool at(double atS) const { return state_.step_contains(atS); }
    std::size_t controller_count() const { return state_.controllers.size(); }
    // The controller that leads most machines.
    std::size_t leader_of_most_machines();
    // Ends a controller's process; it is back after `durationS`.
    void crash(std::size_t controller, double durationS);
    // The state service refuses this controller alone.
    void disconnect_store(std::size_t controller, double durationS);
    void disconnect_peers(std::size_t controller, double durationS);
    // The state service refuses everybody, and ends no member lease.
    void store_outage(double durationS);
    // The state service answers, but its reads hang.
    void slow_store_reads(double durationS);
    // Nothing gets in or out of the zone, the state service included.
    void isolate_zone(const std::string& zone, double durationS);
    // A share of the workers receives neither commands nor answers.
    void make_workers_unreachable(double share, double durationS);
    // Heartbeats of a share of the workers are lost.
    void drop_heartbeats(double share, double durationS);
    // A share of the workers hangs.
    void hang_workers(double share, double durationS);
    // Machines are gone for good.
    void remove_machines(int count);
    // Cancels up to `count` running jobs; their machines hang for `hangS`.
    void cancel_running_jobs(int count, double hangS = 0);
    // From now on a job is cancelled with this chance when its last task ends.
    void set_cancel_at_completion_chance(double chance) { cancelAtCompletionChance_ = chance; }
    // Cancels the jobs of which a start had no reply and is still under way.
    void cancel_jobs_with_delayed_start();

  private:
    // Commands that a controller has sent to one worker.
    struct SentCommands {
        std::size_t controller;
        std::uint64_t incarnation;  // of the sending process
        std::string host;
        std::uint64_t agentEpoch, fencingToken;
        std::vector<wire::Command> commands;
    };
    struct DelayedTransaction {
        double atS;
        wire::Json body;
    };
    struct DelayedCommands {
        double atS;
        SentCommands sent;
    };
    struct HeartbeatCopy {
        double atS;
        std::size_t controller;
        wire::Heartbeat heartbeat;
    };
    // The answer to a heartbeat.
    struct HeartbeatReply {
        int status = 503;
        std::string leader;  // with 421: whom to ask
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
    void end_worker_lease(SimulatedWorker& worker) const;

    // Late deliveries.
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
    void drop_commands(const SentCommands& sent, const SimulatedWorker* worker);
    void reply_to_commands(const SentCommands& sent, double sentS, SimulatedWorker& worker);
    HeartbeatReply handle_heartbeat(SimulatedController& controller, const wire::Heartbeat& heartbeat);
    void send_heartbeat(SimulatedWorker& worker);
    void receive_heartbeat(const std::string& host, std::size_t controller, const wire::Heartbeat& heartbeat);
    void receive_heartbeat_reply(const std::string& host, const wire::Heartbeat& heartbeat,
                                 const HeartbeatReply& answer);
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
    std::uint64_t lastIncarnation_ = 0;  // processes started so far
    int machinesCreated_ = 0;
    int jobsSubmitted_ = 0;
};

}  // namespace wellstair::test
