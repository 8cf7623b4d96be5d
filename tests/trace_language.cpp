#include "trace_language.hpp"

#include <stdexcept>

namespace wellstair::test {

using wire::Json;

namespace {

struct KeyValue {
    std::string key, value;
};

KeyValue split_pair(const std::string& word) {
    const auto equals = word.find('=');
    return {word.substr(0, equals), word.substr(equals + 1)};
}

Json default_job(const std::string& id) {
    return {{"ref", id},         {"lane", "work"},    {"crew", "blue"},   {"shape", "batch"}, {"rank", "standard"},
            {"steps", 1},        {"cores", 4.0},      {"gpus", 0.0},      {"ramGb", 4.0},     {"bundle", "img"},
            {"imageGb", 1.0},    {"together", false}, {"scatter", false}, {"loaners", false}, {"expectS", 60.0},
            {"snapshotS", 10.0}, {"flushS", 2.0}};
}

void set_phase(wire::TaskStatus& task, const std::string& word) {
    using wire::Cause;
    using wire::TaskPhase;
    if (word == "running") task.phase = TaskPhase::running;
    if (word == "waiting") task.phase = TaskPhase::waiting;
    if (word == "done") task.phase = TaskPhase::ended, task.cause = Cause::done;
    if (word == "stopped") task.phase = TaskPhase::ended, task.cause = Cause::stopped;
    if (word == "error") task.phase = TaskPhase::ended, task.cause = Cause::error;
    if (word == "gang_peer_lost") task.phase = TaskPhase::ended, task.cause = Cause::gang_peer_lost;
}

// Parses JOB/INDEX#ATTEMPT=PHASE.
wire::TaskStatus parse_task(const KeyValue& pair) {
    const auto hash = pair.key.find('#');
    auto id = wire::parse_task_id(pair.key.substr(0, hash));
    if (!id) throw std::runtime_error("invalid task '" + pair.key + "': expected JOB/INDEX#ATTEMPT=PHASE");
    wire::TaskStatus task;
    task.job = id->job;
    task.index = id->index;
    task.attempt = static_cast<std::uint32_t>(std::stoul(pair.key.substr(hash + 1)));
    set_phase(task, pair.value);
    return task;
}

const char* command_word(wire::CommandType type) {
    switch (type) {
        case wire::CommandType::start:
            return "start";
        case wire::CommandType::stop:
            return "stop";
        default:
            return "acknowledge";
    }
}

}  // namespace

wire::JobSpec parse_job_line(const std::string& id, std::istringstream& line) {
    Json job = default_job(id);
    std::string word;
    while (line >> word) {
        const KeyValue pair = split_pair(word);
        Json value = Json::parse(pair.value, nullptr, false);
        job[pair.key] = value.is_discarded() ? Json(pair.value) : value;
    }
    auto parsed = wire::parse_job(job);
    if (auto* invalid = std::get_if<wire::JobSpecError>(&parsed)) throw std::runtime_error(invalid->reason);
    return std::get<wire::JobSpec>(parsed);
}

wire::Heartbeat parse_heartbeat_line(std::istringstream& line) {
    wire::Heartbeat heartbeat;
    line >> heartbeat.host >> heartbeat.agentEpoch >> heartbeat.sequence >> heartbeat.fencingToken;
    heartbeat.address = "10.1.0.1:9000";
    heartbeat.machineType = "c8";
    heartbeat.zone = "a";
    std::string word;
    while (line >> word) {
        const KeyValue pair = split_pair(word);
        if (pair.key == "notice")
            heartbeat.preemptionNoticeS = std::stod(pair.value);
        else if (pair.key == "build")
            heartbeat.machineType = pair.value;
        else if (pair.key == "hall")
            heartbeat.zone = pair.value;
        else
            heartbeat.tasks.push_back(parse_task(pair));
    }
    return heartbeat;
}

std::string describe(const std::vector<wire::Command>& commands) {
    std::string out;
    for (const wire::Command& command : commands) {
        out += std::string(out.empty() ? "" : ", ") + command_word(command.type) + " " +
               wire::task_id(command.job, command.index) + "#" + std::to_string(command.attempt);
        if (command.type == wire::CommandType::stop && command.gracePeriodS > 0) out += " saving";
    }
    return out.empty() ? "none" : out;
}

std::string describe(const controller::UserResponse& answer) {
    std::string out = std::to_string(answer.status);
    if (answer.body.contains("phase")) out += " " + answer.body["phase"].get<std::string>();
    if (answer.body.contains("done"))
        out += " done=" + std::to_string(answer.body["done"].get<int>()) +
               " running=" + std::to_string(answer.body["running"].get<int>());
    return out;
}

}  // namespace wellstair::test
