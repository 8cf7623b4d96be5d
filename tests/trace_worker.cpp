#include "trace_worker.hpp"

#include <sstream>
#include <utility>

namespace wellstair::test {

namespace {

constexpr const char* kRunning = "running";

}  // namespace

std::vector<TraceCommand> parse_trace_commands(const std::string& text) {
    std::vector<TraceCommand> commands;
    std::istringstream words(text);
    for (std::string verb, task; words >> verb && verb != "none" && words >> task;) {
        const auto slash = task.find('/'), hash = task.find('#');
        commands.push_back({verb, task.substr(0, slash), std::stoi(task.substr(hash + 1))});
        if (words.peek() == ' ' && task.back() != ',') words.ignore(std::string(" saving,").size());
    }
    return commands;
}

std::optional<TraceResponse> parse_trace_response(const std::string& result) {
    constexpr std::string_view kAnswered = "200 ";
    if (!result.starts_with(kAnswered)) return std::nullopt;
    const auto colon = result.find(':');
    return TraceResponse{std::stoull(result.substr(kAnswered.size(), colon - kAnswered.size())),
                         parse_trace_commands(result.substr(colon + 2))};
}

std::vector<TraceBatch> parse_trace_batches(const std::string& due) {
    std::vector<TraceBatch> batches;
    if (due == "nothing") return batches;
    std::istringstream parts(due);
    for (std::string part; std::getline(parts, part, ';');) {
        const auto begin = part.find_first_not_of(' '), colon = part.find(": ");
        batches.push_back({part.substr(begin, colon - begin), parse_trace_commands(part.substr(colon + 2))});
    }
    return batches;
}

TraceRequest make_trace_request(const std::string& target, std::vector<TraceCommand> commands) {
    TraceRequest request{0, 0, std::move(commands)};
    std::istringstream(target) >> request.token >> request.epoch;
    return request;
}

std::string TraceWorker::status() {
    std::string line =
        host_ + " " + std::to_string(epoch_) + " " + std::to_string(++sequence_) + " " + std::to_string(token_);
    for (const auto& [attempt, phase] : tasks_)
        line += " " + attempt.first + "/0#" + std::to_string(attempt.second) + "=" + phase;
    return line;
}

std::vector<TraceWorker::Attempt> TraceWorker::execute(std::uint64_t token, const std::vector<TraceCommand>& commands) {
    token_ = token;
    std::vector<Attempt> started;
    for (const TraceCommand& command : commands) {
        const Attempt attempt(command.job, command.attempt);
        auto known = tasks_.find(attempt);
        if (command.verb == "start" && known == tasks_.end()) {
            tasks_[attempt] = kRunning;
            started.push_back(attempt);
        }
        if (known == tasks_.end()) continue;
        if (command.verb == "stop" && known->second == kRunning) known->second = "stopped";
        if (command.verb == "acknowledge" && known->second != kRunning) tasks_.erase(known);
    }
    return started;
}

void TraceWorker::end_epoch() {
    ++epoch_;
    tasks_.clear();
}

bool TraceWorker::runs(const Attempt& attempt) const {
    auto known = tasks_.find(attempt);
    return known != tasks_.end() && known->second == kRunning;
}

}  // namespace wellstair::test
