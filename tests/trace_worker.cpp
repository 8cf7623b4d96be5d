#include "trace_worker.hpp"

#include <sstream>

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
