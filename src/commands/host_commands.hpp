// The commands that hosts are sent, in the responses to their heartbeats or directly to their addresses.
//
// Compares what is placed on a host with its newest status. HostTracker records what was sent and may still be
// executed; no task is started, and no attempt acknowledged, against that record. Single-threaded, free of I/O.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "commands/command_log.hpp"
#include "common/timestamp.hpp"
#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "reconciliation/decision_statistics.hpp"
#include "workers/host_table.hpp"

namespace wellstair::commands {

// Commands that are due for one host.
struct HostCommandBatch {
    std::string host;
    std::vector<wire::Command> commands;
};

class HostCommands {
  public:
    HostCommands(leadership::ControllerContext& context, const leadership::CancellationRegistry& cancellations,
                 workers::HostTable& hosts, leadership::RoundSchedule& schedule,
                 reconciliation::DecisionStatistics& statistics);

    // The commands for the host: acknowledgements, stops and starts, in this order. The starts in a heartbeat response
    // are recorded as sent.
    std::vector<wire::Command> commands_for(const std::string& host, Channel channel, Timestamp now);
    // The commands that should be sent to hosts directly now, rather than in the response to their next heartbeat.
    std::vector<HostCommandBatch> due(Timestamp now);
    // Records commands that are about to be sent to the host directly.
    void record_sent(const std::string& host, const std::vector<wire::Command>& commands, Timestamp now);
    // Records the outcome of commands sent directly. `answered`: false if they may still be executed later.
    void record_answered(const std::string& host, const std::vector<wire::Command>& commands, bool answered,
                         std::uint64_t fencingToken);

  private:
    // A task that is placed on a host.
    struct PlacedTask;

    PlacedTask placed_task(const state::TaskRef& ref) const;
    // Whether the host reports exactly the tasks placed on it and none of them has to stop.
    bool in_sync(const state::HostRecord& host, const workers::HostTracker& tracker) const;
    bool must_stop(const PlacedTask& placed, const workers::HostTracker& tracker) const;
    // Whether a task that stops gets time to write a checkpoint.
    bool stops_gracefully(const state::Job& job) const;
    // The stop of a reported task; nothing if it writes a checkpoint already.
    std::optional<wire::Command> stop_command(const PlacedTask& placed, workers::HostTracker& tracker,
                                              Timestamp now) const;
    // Whether a task that is placed on the host and not reported by it may be started there.
    bool may_start(const state::HostRecord& host, const workers::HostTracker& tracker, const state::Task& task) const;
    // Whether its start has to be sent, for the first time or once more.
    bool start_due(const workers::HostTracker& tracker, const workers::TaskAttempt& start, Channel channel,
                   Timestamp now) const;
    // Whether a message sent now may acknowledge attempts: a copy of a direct start could run an attempt again that the
    // worker has forgotten. Changes to a higher fencing token if that takes one.
    bool may_acknowledge(workers::HostTracker& tracker, Channel channel) const;
    // Whether commands other than stops of cancelled tasks may be sent to the host directly.
    bool accepts_all_commands(const workers::HostTracker& tracker) const;
    // The commands for a host that is due; nothing if none of them needs to be sent now.
    std::vector<wire::Command> due_commands(const state::HostRecord& host, workers::HostTracker& tracker,
                                            Timestamp now);
    // Whether any of the commands has to be sent now. Records the attempts of the stops.
    bool any_urgent(const std::vector<wire::Command>& commands, workers::HostTracker& tracker, Timestamp now) const;
    // Adds stops for cancelled tasks whose start was sent but which no status has listed.
    void add_stops_for_unseen_tasks(const state::HostRecord& host, const workers::HostTracker& tracker,
                                    std::vector<wire::Command>& commands) const;
    // Records the starts in a heartbeat response, and logs its commands but for repeated starts.
    void record_response(const state::HostRecord& host, workers::HostTracker& tracker,
                         const std::vector<wire::Command>& commands, Timestamp now) const;
    StopReason stop_reason(const state::HostRecord& host, const workers::HostTracker& tracker,
                           const wire::Command& stop) const;
    void log(const wire::Command& command, const state::HostRecord& host, workers::HostTracker& tracker,
             Channel channel, Timestamp now) const;

    leadership::ControllerContext& context_;
    const leadership::CancellationRegistry& cancellations_;
    workers::HostTable& hosts_;
    leadership::RoundSchedule& schedule_;
    reconciliation::DecisionStatistics& statistics_;
};

}  // namespace wellstair::commands
