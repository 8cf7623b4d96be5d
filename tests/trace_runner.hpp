// Runs traces (tests/traces): some controllers on one state service, on a clock that only the trace moves. A trace has
// a command per line, and the expected answer on the lines after it that start with '>'.
//
// Owns the state service and the controllers. Errors: an unknown command or controller throws std::runtime_error.
// Single-threaded test support.
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
    // Carries out one command: VERB ARGUMENTS, where the first argument of most verbs is a controller's name. Returns
    // the answer, one line, which is empty for commands that only change something.
    std::string run(const std::string& line);

  private:
    struct Controller {
        std::string name;
        config::Settings settings;
        std::unique_ptr<controller::Core> core;
        wire::Json heldTransaction;                                          // has not reached the state service yet
        std::map<std::string, std::vector<wire::Command>> lastSentCommands;  // by host: the commands last sent to it
        bool refusedByStore = false;  // the state service refuses it, alone or as it does everybody
        double lastReadS = 0;         // when it last read the state
        double lastAnswerS = 0;       // when the state service last answered it anything
        leadership::CancellationReadBarrier readBarrier{1};
    };
    // A command to the whole cluster.
    using ClusterCommand = std::string (TraceRunner::*)(std::istringstream& arguments);
    // A command to one controller that runs.
    using ControllerCommand = std::string (TraceRunner::*)(Controller& controller, std::istringstream& arguments);
    static const std::map<std::string, ClusterCommand>& cluster_commands();
    static const std::map<std::string, ControllerCommand>& controller_commands();

    // Cluster: the clock, the members and the state service.
    std::string add_controllers(std::istringstream& arguments);
    std::string wait(std::istringstream& arguments);
    std::string expire_member(std::istringstream& arguments);
    std::string begin_outage(std::istringstream& arguments);
    std::string end_outage(std::istringstream& arguments);
    std::string join(std::istringstream& arguments);

    // A controller and the state service.
    std::string read_state(Controller& controller, std::istringstream& arguments);
    std::string refuse_store_access(Controller& controller, std::istringstream& arguments);
    std::string hang_reads(Controller& controller, std::istringstream& arguments);
    std::string run_round(Controller& controller, std::istringstream& arguments);
    std::string hold_round(Controller& controller, std::istringstream& arguments);
    std::string deliver_held(Controller& controller, std::istringstream& arguments);
    std::string team_cores_in_use(Controller& controller, std::istringstream& arguments);

    // A controller and its peers.
    std::string update_availability(Controller& controller, std::istringstream& arguments);
    std::string set_availability(Controller& controller, std::istringstream& arguments);
    std::string request_cancellations_from_peers(Controller& controller, std::istringstream& arguments);
    std::string receive_peer_status(Controller& controller, std::istringstream& arguments);
    std::string peer_reaches_store(Controller& controller, std::istringstream& arguments);

    // A controller and users.
    std::string submit(Controller& controller, std::istringstream& arguments);
    std::string cancel(Controller& controller, std::istringstream& arguments);
    std::string poll(Controller& controller, std::istringstream& arguments);

    // A controller and workers.
    std::string handle_heartbeat(Controller& controller, std::istringstream& arguments);
    std::string send_due_commands(Controller& controller, std::istringstream& arguments);
    std::string send_commands(Controller& controller, std::istringstream& arguments);
    std::string drop_reply(Controller& controller, std::istringstream& arguments);
    std::string handle_reply(Controller& controller, std::istringstream& arguments);

    // A controller and the cloud.
    std::string confirm_return(Controller& controller, std::istringstream& arguments);
    std::string take_cloud_role(Controller& controller, std::istringstream& arguments);
    std::string hold_cloud_role(Controller& controller, std::istringstream& arguments);
    std::string may_call_cloud(Controller& controller, std::istringstream& arguments);
    std::string holds_cloud_role(Controller& controller, std::istringstream& arguments);

    Controller& find(const std::string& name);
    void sync(Controller& controller);
    std::string commit(Controller& controller, const state::TransactionBuilder& builder);
    void write_unconditionally(wire::Json operations);
    void set_store_access_refused(bool refused);
    controller::Timestamp now() const { return {timeS_, 1'000'000 + timeS_}; }
    std::int64_t wall_seconds() const { return static_cast<std::int64_t>(now().wall); }

    double timeS_ = 100;
    config::Settings settings_;
    InMemoryStateStore store_;
    std::map<std::string, Controller> controllers_;
    std::uint64_t incarnations_ = 0;
};

}  // namespace wellstair::test
