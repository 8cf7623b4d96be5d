#include "commands/host_commands.hpp"

#include <algorithm>
#include <map>

#include "reconciliation/stop_decision.hpp"

namespace wellstair::commands {

using state::GangState;
using state::HostRecord;
using state::HostState;
using state::Job;
using state::Task;
using state::TaskRef;
using wire::Command;
using wire::CommandType;
using workers::HostTracker;
using workers::ObservedTask;
using workers::SentStart;
using workers::SentStop;
using workers::TaskAttempt;
using workers::TaskKey;

namespace {

// Pause before a start is repeated directly, in heartbeat intervals. Heartbeat responses repeat it without the risk of
// a late execution.
constexpr double kDirectRepeatIntervals = 1.0 / 2;
// Keeps the recorded time of a stop different from the current time, which marks a stop that has not been sent yet.
constexpr double kSentBeforeS = 1e-3;

Command command(CommandType type, const TaskAttempt& target, double gracePeriodS = 0) {
    return {type, target.task.first, target.task.second, target.attempt, gracePeriodS};
}

TaskAttempt task_attempt(const Command& command) {
    return {{command.job, command.index}, command.attempt};
}

bool ended(const ObservedTask& observed) {
    return observed.phase == wire::TaskPhase::ended;
}

}  // namespace

struct HostCommands::PlacedTask {
    Job& job;
    Task task;
    TaskAttempt id;
};

HostCommands::HostCommands(leadership::ControllerContext& context,
                           const leadership::CancellationRegistry& cancellations, workers::HostTable& hosts,
                           leadership::RoundSchedule& schedule, reconciliation::DecisionStatistics& statistics)
    : context_(context), cancellations_(cancellations), hosts_(hosts), schedule_(schedule), statistics_(statistics) {}

HostCommands::PlacedTask HostCommands::placed_task(const TaskRef& ref) const {
    const Task task = ref.job->task(ref.index, context_.state().chunk_size());
    return {*ref.job, task, {{ref.job->id, ref.index}, task.attempt}};
}

bool HostCommands::must_stop(const PlacedTask& placed, const HostTracker& tracker) const {
    return reconciliation::must_stop(cancellations_, placed.job, placed.task) ||
           tracker.evictions.count(placed.id.task);
}

// There is nothing to do for such a host until something changes.
bool HostCommands::in_sync(const HostRecord& host, const HostTracker& tracker) const {
    if (tracker.tasks.size() != host.placed.size()) return false;
    return std::all_of(host.placed.begin(), host.placed.end(), [&](const TaskRef& ref) {
        const PlacedTask placed = placed_task(ref);
        const ObservedTask* observed = tracker.find_observed(placed.id);
        return observed && !ended(*observed) && !must_stop(placed, tracker);
    });
}

bool HostCommands::stops_gracefully(const Job& job) const {
    const bool checkpointUseless = cancellations_.cancelled(job) || job.spec->checkpointIntervalS <= 0;
    return !checkpointUseless && (!job.multi_task_gang() || job.gang_state() != GangState::partial);
}

std::optional<Command> HostCommands::stop_command(const PlacedTask& placed, HostTracker& tracker, Timestamp now) const {
    SentStop& sent = tracker.stops[placed.id.task];
    if (sent.attempt != placed.id.attempt) sent = {placed.id.attempt, now.steady};
    if (!stops_gracefully(placed.job)) return command(CommandType::stop, placed.id);
    const ObservedTask* observed = tracker.find_observed(placed.id);
    if (observed->phase == wire::TaskPhase::checkpointing) return std::nullopt;
    const double gracePeriodS = placed.job.spec->checkpointWriteS + context_.settings().heartbeatIntervalS;
    return command(CommandType::stop, placed.id, gracePeriodS);
}

bool HostCommands::may_start(const HostRecord& host, const HostTracker& tracker, const Task& task) const {
    return task.fencingToken == host.fencingToken && tracker.state == HostState::confirmed && context_.serving() &&
           tracker.shows_leadership() && !host.returning();
}

bool HostCommands::start_due(const HostTracker& tracker, const TaskAttempt& start, Channel channel,
                             Timestamp now) const {
    const SentStart* sent = tracker.find_start(start);
    if (!sent) return true;
    if (sent->seen || sent->agentEpoch != tracker.agentEpoch) return false;
    if (channel == Channel::heartbeat_response) return true;
    const double pauseS = kDirectRepeatIntervals * context_.settings().heartbeatIntervalS;
    return now.steady - sent->commandedS >= pauseS && !sent->inFlight && !sent->unanswered;
}

// The token is raised in heartbeat responses only: a worker drops a response that a direct request with a higher token
// has overtaken, and does not renew its lease by it.
bool HostCommands::may_acknowledge(HostTracker& tracker, Channel channel) const {
    if (tracker.refuses_earlier_direct_starts()) return true;
    if (channel == Channel::direct) return false;
    if (tracker.fencingToken >= tracker.tokens.last) {
        tracker.needsFencing = true;
        schedule_.request_round();
    }
    const bool raised = tracker.raise_fencing_token();
    tracker.responsesWithoutAcknowledgements = raised ? 0 : tracker.responsesWithoutAcknowledgements + 1;
    return raised;
}

std::vector<Command> HostCommands::commands_for(const std::string& host, Channel channel, Timestamp now) {
    HostRecord* record = context_.state().host(host);
    HostTracker* tracker = hosts_.find(host);
    if (!context_.leads_host(record) || !tracker) return {};
    std::vector<Command> acknowledgements, stops, starts;
    std::map<TaskKey, std::uint32_t> placedAttempts;
    for (const TaskRef& ref : record->placed) {
        const PlacedTask placed = placed_task(ref);
        placedAttempts[placed.id.task] = placed.id.attempt;
        const ObservedTask* observed = tracker->find_observed(placed.id);
        const bool stop = must_stop(placed, *tracker);
        if (observed && stop && !ended(*observed)) {
            if (auto stopCommand = stop_command(placed, *tracker, now)) stops.push_back(*stopCommand);
        } else if (!observed && !stop && may_start(*record, *tracker, placed.task)) {
            if (start_due(*tracker, placed.id, channel, now)) starts.push_back(command(CommandType::start, placed.id));
        }
    }
    for (const auto& [key, observed] : tracker->tasks) {
        auto placed = placedAttempts.find(key);
        if (placed != placedAttempts.end() && placed->second == observed.attempt) continue;
        // Not placed here, or no longer: the state service has recorded its result, or has never known the task.
        const TaskAttempt task{key, observed.attempt};
        if (!ended(observed))
            stops.push_back(command(CommandType::stop, task));
        else if (!tracker->start_in_transit(task))
            acknowledgements.push_back(command(CommandType::acknowledge, task));
    }
    std::vector<Command> commands;
    if (!acknowledgements.empty() && may_acknowledge(*tracker, channel)) commands = std::move(acknowledgements);
    commands.insert(commands.end(), stops.begin(), stops.end());
    commands.insert(commands.end(), starts.begin(), starts.end());
    if (channel == Channel::heartbeat_response) record_response(*record, *tracker, commands, now);
    return commands;
}

std::vector<HostCommandBatch> HostCommands::due(Timestamp now) {
    std::vector<HostCommandBatch> batches;
    if (!context_.state_ready()) return batches;
    for (auto it = schedule_.due_hosts().begin(); it != schedule_.due_hosts().end();) {
        const std::string name = *it;
        HostRecord* host = context_.state().host(name);
        HostTracker* tracker = hosts_.find(name);
        if (!context_.leads_host(host) || !tracker || host->gone()) {
            // A host that is gone stays due until the responsible controllers have released all its tasks.
            it = host && (host->gone() || host->removed()) && !host->placed.empty() ? std::next(it)
                                                                                    : schedule_.due_hosts().erase(it);
            continue;
        }
        if (in_sync(*host, *tracker) && !tracker->needsFencing) {
            it = schedule_.due_hosts().erase(it);
            continue;
        }
        ++it;
        std::vector<Command> commands = due_commands(*host, *tracker, now);
        if (!commands.empty()) batches.push_back({name, std::move(commands)});
    }
    return batches;
}

// Stops of cancelled tasks are sent even without the state service, a recent heartbeat or a confirmed fencing token: a
// host that follows a newer leader refuses them, and one that hangs handles them when it resumes. All other commands
// require all three.
bool HostCommands::accepts_all_commands(const HostTracker& tracker) const {
    return context_.serving() && tracker.state == HostState::confirmed && !tracker.missedAnswers;
}

std::vector<Command> HostCommands::due_commands(const HostRecord& host, HostTracker& tracker, Timestamp now) {
    if (tracker.address.empty()) return {};
    std::vector<Command> commands = commands_for(host.name, Channel::direct, now);
    if (!accepts_all_commands(tracker)) {
        std::erase_if(commands, [&](const Command& command) {
            return command.type != CommandType::stop || !cancellations_.cancelled(command.job);
        });
        add_stops_for_unseen_tasks(host, tracker, commands);
    }
    if (!tracker.accepts_direct_starts())
        std::erase_if(commands, [](const Command& command) { return command.type == CommandType::start; });
    if (!any_urgent(commands, tracker, now)) return {};
    return commands;
}

bool HostCommands::any_urgent(const std::vector<Command>& commands, HostTracker& tracker, Timestamp now) const {
    bool urgent = false;
    for (const Command& command : commands) {
        urgent = urgent || command.type == CommandType::start;
        if (command.type != CommandType::stop) continue;
        SentStop& sent = tracker.stops[{command.job, command.index}];
        const bool repeat = now.steady - sent.sentS > context_.settings().heartbeatIntervalS;
        const bool notSentYet = sent.sentS == now.steady || sent.attempt != command.attempt;
        urgent = urgent || repeat || notSentYet;
        sent.attempt = command.attempt;
    }
    return urgent;
}

StopReason HostCommands::stop_reason(const HostRecord& host, const HostTracker& tracker, const Command& stop) const {
    if (cancellations_.cancelled(stop.job)) return StopReason::job_cancelled;
    const bool placed = std::any_of(host.placed.begin(), host.placed.end(), [&](const TaskRef& ref) {
        return ref.job->id == stop.job && ref.index == stop.index && placed_task(ref).id.attempt == stop.attempt;
    });
    if (!placed) return StopReason::not_placed;
    return tracker.evictions.count(task_attempt(stop).task) ? StopReason::leaves_host : StopReason::gang_stops;
}

// A stop is repeated until the attempt has ended, and logged once.
void HostCommands::log(const Command& command, const HostRecord& host, HostTracker& tracker, Channel channel,
                       Timestamp now) const {
    switch (command.type) {
        case CommandType::start:
            statistics_.record_start(!tracker.in_unanswered_epoch());
            log_start(command, host, tracker, channel, now);
            break;
        case CommandType::stop:
            if (tracker.loggedStops.insert(task_attempt(command)).second)
                log_stop(command, host, tracker, channel, stop_reason(host, tracker, command));
            break;
        case CommandType::acknowledge:
            log_acknowledgement(command, host, tracker, channel);
            break;
    }
}

void HostCommands::record_response(const HostRecord& host, HostTracker& tracker, const std::vector<Command>& commands,
                                   Timestamp now) const {
    for (const Command& command : commands) {
        const TaskAttempt target = task_attempt(command);
        const bool repeatedStart = command.type == CommandType::start && tracker.find_start(target);
        if (!repeatedStart) log(command, host, tracker, Channel::heartbeat_response, now);
        if (command.type == CommandType::start) tracker.record_start_in_response(target);
    }
}

void HostCommands::record_sent(const std::string& host, const std::vector<Command>& commands, Timestamp now) {
    if (commands.empty()) return;
    HostTracker& tracker = hosts_.track(host);
    ++tracker.directRequestsInFlight;
    const HostRecord* record = context_.state().host(host);
    for (const Command& command : commands) {
        if (record) log(command, *record, tracker, Channel::direct, now);
        if (command.type == CommandType::start) {
            tracker.record_direct_start(task_attempt(command), now.steady);
        } else if (command.type == CommandType::stop) {
            tracker.stops[{command.job, command.index}] = {command.attempt, now.steady - kSentBeforeS};
        }
    }
}

void HostCommands::record_answered(const std::string& host, const std::vector<Command>& commands, bool answered,
                                   std::uint64_t fencingToken) {
    HostTracker* tracker = hosts_.find(host);
    if (!tracker) return;
    if (tracker->directRequestsInFlight > 0) --tracker->directRequestsInFlight;
    for (const Command& command : commands)
        if (command.type == CommandType::start)
            tracker->record_direct_outcome(task_attempt(command), answered, fencingToken);
    schedule_.mark_due(host);
    schedule_.request_round();
}

// The start of such a task may still reach the host; a stop that follows it then ends the task at once.
void HostCommands::add_stops_for_unseen_tasks(const HostRecord& host, const HostTracker& tracker,
                                              std::vector<Command>& commands) const {
    for (const TaskRef& ref : host.placed) {
        if (!cancellations_.cancelled(*ref.job)) continue;
        const PlacedTask placed = placed_task(ref);
        const SentStart* sent = tracker.find_start(placed.id);
        if (!sent || sent->seen || tracker.tasks.count(placed.id.task)) continue;
        commands.push_back(command(CommandType::stop, placed.id));
    }
}

}  // namespace wellstair::commands
