// The commands for hosts, sent in the responses to their heartbeats or directly to their addresses.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"
#include "reconciliation/stop_decision.hpp"

namespace wellstair::controller {

using state::GangState;
using state::HostRecord;
using state::HostState;
using state::Task;
using state::TaskRef;
using workers::HostTracker;
using workers::SentStop;
using workers::TaskKey;

// The host reports all tasks placed on it and no others, and none of them has to stop: there is nothing to do until
// something changes.
bool Core::in_sync(const HostRecord& host, const HostTracker& tracker) const {
    if (tracker.tasks.size() != host.placed.size()) return false;
    for (const TaskRef& ref : host.placed) {
        Task task = ref.job->task(ref.index, context_.state().chunk_size());
        TaskKey key{ref.job->id, ref.index};
        auto observed = tracker.tasks.find(key);
        if (observed == tracker.tasks.end() || observed->second.attempt != task.attempt ||
            observed->second.phase == wire::TaskPhase::ended ||
            reconciliation::must_stop(cancellations_, *ref.job, task) || tracker.evictions.count(key))
            return false;
    }
    return true;
}

std::vector<wire::Command> Core::commands_for(const std::string& host, bool direct, Timestamp now) {
    std::vector<wire::Command> acknowledgements, stops, starts;
    HostRecord* record = context_.state().host(host);
    HostTracker* tracker = hosts_.find(host);
    if (!context_.leads_host(record) || !tracker) return {};
    std::map<TaskKey, std::uint32_t> placedAttempts;
    for (const TaskRef& ref : record->placed) {
        Task task = ref.job->task(ref.index, context_.state().chunk_size());
        TaskKey key{ref.job->id, ref.index};
        placedAttempts[key] = task.attempt;
        auto observed = tracker->tasks.find(key);
        bool reported = observed != tracker->tasks.end() && observed->second.attempt == task.attempt;
        bool stop = reconciliation::must_stop(cancellations_, *ref.job, task) || tracker->evictions.count(key);
        if (reported && observed->second.phase != wire::TaskPhase::ended && stop) {
            SentStop& sentStop = tracker->stops[key];
            bool first = sentStop.attempt != task.attempt;
            if (first) sentStop = {task.attempt, now.steady};
            bool checkpointUseless = cancellations_.cancelled(*ref.job) || ref.job->spec->checkpointIntervalS <= 0;
            bool graceful =
                !checkpointUseless && (!ref.job->multi_task_gang() || ref.job->gang_state() != GangState::partial);
            double gracePeriodS = graceful ? ref.job->spec->checkpointWriteS + settings_.heartbeatIntervalS : 0;
            if (observed->second.phase == wire::TaskPhase::checkpointing && graceful) continue;
            stops.push_back({wire::CommandType::stop, key.first, key.second, task.attempt, gracePeriodS});
        }
        if (!reported && !stop && task.fencingToken == record->fencingToken && tracker->state == HostState::confirmed &&
            context_.serving() && tracker->seenToken == record->fencingToken && !record->returning()) {
            auto start = tracker->starts.find(key);
            bool sent = start != tracker->starts.end() && start->second.attempt == task.attempt;
            if (sent && (start->second.seen || start->second.agentEpoch != tracker->agentEpoch)) continue;
            // A start is repeated directly only now and then: heartbeat responses repeat it without the risk of a late
            // execution.
            if (direct && sent && now.steady - start->second.commandedS < settings_.heartbeatIntervalS / 2) continue;
            if (direct && sent && (start->second.inFlight || start->second.unanswered)) continue;
            starts.push_back({wire::CommandType::start, key.first, key.second, task.attempt, 0});
        }
    }
    for (const auto& [key, observed] : tracker->tasks) {
        auto placed = placedAttempts.find(key);
        if (placed != placedAttempts.end() && placed->second == observed.attempt) continue;
        // Not placed here, or no longer: the state service has recorded its result, or has never known the task.
        if (observed.phase == wire::TaskPhase::ended) {
            if (!tracker->start_in_transit({key, observed.attempt}, record->fencingToken))
                acknowledgements.push_back(
                    {wire::CommandType::acknowledge, key.first, key.second, observed.attempt, 0});
        } else {
            stops.push_back({wire::CommandType::stop, key.first, key.second, observed.attempt, 0});
        }
    }
    std::vector<wire::Command> commands = std::move(acknowledgements);
    commands.insert(commands.end(), stops.begin(), stops.end());
    commands.insert(commands.end(), starts.begin(), starts.end());
    if (!direct)
        for (const wire::Command& command : starts) {
            tracker->record_start_in_response({{command.job, command.index}, command.attempt});
            log_start(*record, command, "heartbeat response", now);
        }
    return commands;
}

std::vector<std::pair<std::string, std::vector<wire::Command>>> Core::commands_due(Timestamp now) {
    std::vector<std::pair<std::string, std::vector<wire::Command>>> out;
    if (!context_.state_ready()) return out;
    const bool serving = context_.serving();
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
        if (tracker->address.empty()) continue;
        auto commands = commands_for(name, true, now);
        // Stops of cancelled tasks are sent even without the state service, a recent heartbeat or a confirmed fencing
        // token: a host that follows a newer leader refuses them, and one that hangs handles them when it resumes. All
        // other commands require all three.
        if (!serving || tracker->state != HostState::confirmed || tracker->missedAnswers) {
            std::erase_if(commands, [&](const wire::Command& command) {
                return command.type != wire::CommandType::stop || !cancellations_.cancelled(command.job);
            });
            add_stops_for_unseen_tasks(*host, *tracker, commands);
        }
        bool urgent = false;
        for (const wire::Command& command : commands) {
            urgent = urgent || command.type == wire::CommandType::start;
            if (command.type != wire::CommandType::stop) continue;
            SentStop& sentStop = tracker->stops[{command.job, command.index}];
            urgent = urgent || now.steady - sentStop.sentS > settings_.heartbeatIntervalS ||
                     sentStop.sentS == now.steady || sentStop.attempt != command.attempt;
            sentStop.attempt = command.attempt;
        }
        if (urgent) out.emplace_back(name, std::move(commands));
    }
    return out;
}

void Core::log_start(const HostRecord& host, const wire::Command& start, const char* sentBy, Timestamp now) const {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    const HostTracker& tracker = *hosts_.find(host.name);
    spdlog::debug(
        "start of task {}/{} attempt {} sent to host {} by {}: fencing token {} confirmed in agent epoch {}, lease {}",
        start.job, start.index, start.attempt, host.name, sentBy, host.fencingToken, tracker.agentEpoch,
        tracker.lease.describe(now.steady));
}

void Core::on_commands_sent(const std::string& host, const std::vector<wire::Command>& commands, Timestamp now) {
    // Keeps the recorded time of a stop different from the current time, which in `commands_due` marks a stop that has
    // not been sent yet.
    constexpr double kSentBeforeS = 1e-3;
    HostTracker& tracker = hosts_.track(host);
    for (const wire::Command& command : commands) {
        if (command.type == wire::CommandType::start) {
            tracker.record_direct_start({{command.job, command.index}, command.attempt}, now.steady);
            if (const HostRecord* record = context_.state().host(host))
                log_start(*record, command, "direct command", now);
        } else if (command.type == wire::CommandType::stop) {
            tracker.stops[{command.job, command.index}] = {command.attempt, now.steady - kSentBeforeS};
        }
    }
}

void Core::on_commands_answered(const std::string& host, const std::vector<wire::Command>& commands, bool answered,
                                std::uint64_t fencingToken) {
    HostTracker* tracker = hosts_.find(host);
    if (!tracker) return;
    for (const wire::Command& command : commands) {
        if (command.type != wire::CommandType::start) continue;
        auto sentStart = tracker->starts.find({command.job, command.index});
        if (sentStart == tracker->starts.end() || sentStart->second.attempt != command.attempt) continue;
        if (sentStart->second.inFlight > 0) --sentStart->second.inFlight;
        if (!answered) sentStart->second.unanswered = std::max(sentStart->second.unanswered, fencingToken);
    }
    schedule_.due_hosts().insert(host);
    schedule_.request_round();
}

// The start of such a task may still reach the host; a stop that follows it then ends the task at once.
void Core::add_stops_for_unseen_tasks(const HostRecord& host, const HostTracker& tracker,
                                      std::vector<wire::Command>& commands) const {
    for (const TaskRef& ref : host.placed) {
        if (!cancellations_.cancelled(*ref.job)) continue;
        TaskKey key{ref.job->id, ref.index};
        std::uint32_t attempt = ref.job->task(ref.index, context_.state().chunk_size()).attempt;
        auto sentStart = tracker.starts.find(key);
        if (sentStart == tracker.starts.end() || sentStart->second.attempt != attempt || sentStart->second.seen ||
            tracker.tasks.count(key))
            continue;
        commands.push_back({wire::CommandType::stop, key.first, key.second, attempt, 0});
    }
}

}  // namespace wellstair::controller
