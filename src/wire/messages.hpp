// The messages of PROTOCOL as types. Depends on nothing else of ours, so that clients could use it too.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/codec.hpp"

namespace wellstair::wire {

enum class JobKind : std::uint8_t { batch, gang, service };  // service: independent tasks that run until cancelled
enum class PriorityClass : std::uint8_t { production, urgent, standard, best_effort };  // highest first

struct JobSpec {
    std::string id, jobClass, team, image;
    JobKind kind = JobKind::batch;
    PriorityClass priority = PriorityClass::standard;
    std::uint32_t taskCount = 0;
    double cores = 0, gpus = 0, ramGb = 0, imageGb = 0;
    std::optional<std::vector<std::string>> machineTypes;
    std::optional<std::string> zone;
    bool coLocated = false, spread = false, spotAllowed = false;
    double estimatedDurationS = 0, checkpointIntervalS = 0, checkpointWriteS = 0;
    std::optional<double> deadlineS;

    bool service() const { return kind == JobKind::service; }
};

struct Invalid {
    std::string reason;
};

inline constexpr std::uint32_t kMaxTasks = 100000;

bool valid_job_ref(std::string_view ref);
std::variant<JobSpec, Invalid> parse_job(const Json& body);
Json to_json(const JobSpec& spec);

enum class TaskPhase : std::uint8_t { pulling, waiting, running, checkpointing, ended };
enum class Cause : std::uint8_t { none, done, stopped, gang_peer_lost, incomplete, error, full, busy, unknown };

struct TaskStatus {
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    TaskPhase phase = TaskPhase::pulling;
    Cause cause = Cause::none;
    bool checkpointed = false;
};

struct Heartbeat {
    std::string host, address, machineType, zone;
    bool spot = false;
    std::uint64_t agentEpoch = 0, sequence = 0, fencingToken = 0;
    std::optional<double> preemptionNoticeS;
    std::vector<TaskStatus> tasks;
};

std::optional<Heartbeat> parse_heartbeat(const Json& body);

// "j-000412/3" <-> job and index.
std::string task_id(std::string_view job, std::uint32_t index);
std::optional<std::pair<std::string, std::uint32_t>> parse_task_id(std::string_view name);

enum class CommandType : std::uint8_t { start, stop, acknowledge };

struct Command {
    CommandType type = CommandType::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    double gracePeriodS = 0;
};

Json to_json(const Command& order);
Json to_json(const std::vector<Command>& commands);

struct MachineType {
    std::string typeName;
    double cores = 0, gpus = 0, ramGb = 0, cacheGb = 0, fetchGbPerS = 0, rate = 0, lowPrice = 0, startupS = 0;
    std::vector<std::string> zones;
};

std::optional<MachineType> parse_type(const Json& body);
Json to_json(const MachineType& type);

struct Machine {
    std::string name, machineType, zone, phase, address;
    bool spot = false;
    double heldS = 0;
};

std::optional<Machine> parse_machine(const Json& body);

}  // namespace wellstair::wire
