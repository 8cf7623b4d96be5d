// Interpreter for traces (tests/traces): several controllers that share one state service, on a clock that advances
// only by commands of the trace. Each line of a trace is a command; a line that starts with '>' holds the expected
// result of the command before it.
//
// Owns the state service and the controllers. Errors: std::runtime_error if a command or controller is unknown, or if
// the controller is not running. Single-threaded test support.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "controller/core.hpp"
#include "in_memory_state_store.hpp"
#include "leadership/cancellation_read_barrier.hpp"

namespace wellstair::test {

class TraceRunner {
  public:
    TraceRunner();
    // Executes one command, "VERB ARGUMENTS"; the first argument of most verbs is the name of a controller. Returns the
    // result as one line, which is empty for commands that have none.
    std::string run(const std::string& line);

  private:
    struct Controller {
        std::string name;
        config::Settings settings;
        std::unique_ptr<controller::Core> core;
        wire::Json heldTransaction;                                          // has not yet reached the state service
        std::map<std::string, std::vector<wire::Command>> lastSentCommands;  // by host, sent directly
        bool refusedByStore = false;                                         // the state service rejects its requests
        double lastReadS = 0;                                                // time of its last read of the state
        double lastAnswerS = 0;  // time of the last response of the state service to any of its requests
        leadership::CancellationReadBarrier readBarrier{1};
    };
    // Handler of a command to the cluster.
    using ClusterCommand = std::string (TraceRunner::*)(std::istringstream& arguments);
    // Handler of a command to one running controller.
    using ControllerCommand = std::string (TraceRunner::*)(Controller& controller, std::istringstream& arguments);
    static const std::map<std::string, ClusterCommand>& cluster_commands();
    static const std::map<std::string, ControllerCommand>& controller_commands();

    // Commands to the cluster: its clock, its members and its state service.
    std::string add_controllers(std::istringstream& arguments);
    std::string wait(std::istringstream& arguments);
    std::string expire_member(std::istringstream& arguments);
    std::string begin_outage(std::istringstream& arguments);
    std::string end_outage(std::istringstream& arguments);
    std::string join(std::istringstream& arguments);

    // Commands to one controller: its access to the state service.
    std::string read_state(Controller& controller, std::istringstream& arguments);
    std::string refuse_store_access(Controller& controller, std::istringstream& arguments);
    std::string hang_reads(Controller& controller, std::istringstream& arguments);
    std::string run_round(Controller& controller, std::istringstream& arguments);
    std::string hold_round(Controller& controller, std::istringstream& arguments);
    std::string deliver_held(Controller& controller, std::istringstream& arguments);
    std::string team_cores_in_use(Controller& controller, std::istringstream& arguments);

    // Its peers.
    std::string update_availability(Controller& controller, std::istringstream& arguments);
    std::string set_availability(Controller& controller, std::istringstream& arguments);
    std::string request_cancellations_from_peers(Controller& controller, std::istringstream& arguments);
    std::string receive_peer_status(Controller& controller, std::istringstream& arguments);
    std::string peer_reaches_store(Controller& controller, std::istringstream& arguments);

    // Its users.
    std::string submit(Controller& controller, std::istringstream& arguments);
    std::string cancel(Controller& controller, std::istringstream& arguments);
    std::string poll(Controller& controller, std::istringstream& arguments);

    // Its workers.
    std::string handle_heartbeat(Controller& controller, std::istringstream& arguments);
    std::string send_due_commands(Controller& controller, std::istringstream& arguments);
    std::string send_commands(Controller& controller, std::istringstream& arguments);
    std::string command_target(Controller& controller, std::istringstream& arguments);
    std::string drop_reply(Controller& controller, std::istringstream& arguments);
    std::string handle_reply(Controller& controller, std::istringstream& arguments);
    std::string take_decision_summary(Controller& controller, std::istringstream& arguments);

    // Its calls to the cloud.
    std::string confirm_return(Controller& controller, std::istringstream& arguments);
    std::string read_machine_list(Controller& controller, std::istringstream& arguments);
    std::string plan_scale_out(Controller& controller, std::istringstream& arguments);
    std::string hosts_due_for_return(Controller& controller, std::istringstream& arguments);
    std::string take_cloud_role(Controller& controller, std::istringstream& arguments);
    std::string hold_cloud_role(Controller& controller, std::istringstream& arguments);
    std::string may_call_cloud(Controller& controller, std::istringstream& arguments);
    std::string holds_cloud_role(Controller& controller, std::istringstream& arguments);

    Controller& find(const std::string& name);
    // Reads the state up to the current revision, unless the state service refuses the controller.
    void sync(Controller& controller);
    // Commits as this controller. Returns the changes and the result, "503" if the state service refuses the
    // controller, or "nothing" if the transaction is empty.
    std::string commit(Controller& controller, const state::TransactionBuilder& builder);
    // Applies the operations without preconditions, as no controller does.
    void write_unconditionally(wire::Json operations);
    // Sets for all controllers whether the state service refuses them.
    void set_store_access_refused(bool refused);
    // Steady and wall-clock time, in seconds.
    controller::Timestamp now() const { return {timeS_, 1'000'000 + timeS_}; }
    std::int64_t wall_seconds() const { return static_cast<std::int64_t>(now().wall); }

    double timeS_ = 100;
    config::Settings settings_;
    InMemoryStateStore store_;
    std::map<std::string, Controller> controllers_;
    std::uint64_t incarnations_ = 0;  // number of controller processes started so far
};

}  // namespace wellstair::test
