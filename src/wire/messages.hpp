// Types for the protocol's messages (PROTOCOL) and their conversion to and from MessagePack maps.
//
// Field names that differ between the wire and the code ("crew" for a team, "lane" for a job class) are used in
// messages.cpp only; the comment of each member states its name on the wire. The functions have no state and can be
// called from any thread. Errors are returned as values. Depends on no other package of this project, so that clients
// can use it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/codec.hpp"

namespace wellstair::wire {

// `shape` on the wire. All tasks of a gang run at the same time; the tasks of a service are independent and run until
// the job is cancelled.
enum class JobKind : std::uint8_t { batch, gang, service };
// `rank` on the wire, in descending order of priority.
enum class PriorityClass : std::uint8_t { production, urgent, standard, best_effort };

// Returns the name on the wire.
const char* to_string(JobKind kind);
const char* to_string(PriorityClass priority);

// A job as submitted by a user (PROTOCOL, job specification).
struct JobSpec {
    std::string id;                                    // `ref` on the wire
    std::string jobClass;                              // `lane` on the wire
    std::string team;                                  // `crew` on the wire
    std::string image;                                 // `bundle` on the wire
    JobKind kind = JobKind::batch;                     // `shape` on the wire
    PriorityClass priority = PriorityClass::standard;  // `rank` on the wire
    std::uint32_t taskCount = 0;                       // `steps` on the wire, 1 to kMaxTasksPerJob

    double cores = 0, gpus = 0, ramGb = 0;                 // per task, same names on the wire; memory in gigabytes
    double imageGb = 0;                                    // `imageGb` on the wire, gigabytes
    std::optional<std::vector<std::string>> machineTypes;  // `builds` on the wire; none: any type
    std::optional<std::string> zone;                       // `hall` on the wire; none: any zone
    bool coLocated = false;                                // `together` on the wire: all tasks in the same zone
    bool spread = false;                                   // `scatter` on the wire: tasks spread over several zones
    bool spotAllowed = false;                              // `loaners` on the wire: may run on spot machines

    double estimatedDurationS = 0;    // `expectS` on the wire, seconds; 0 for services
    double checkpointIntervalS = 0;   // `snapshotS` on the wire, seconds between checkpoints
    double checkpointWriteS = 0;      // `flushS` on the wire, seconds to write a checkpoint
    std::optional<double> deadlineS;  // `dueS` on the wire, seconds

    bool service() const { return kind == JobKind::service; }
};

// Why a job specification was rejected.
struct JobSpecError {
    std::string field;   // name on the wire; empty if the body as a whole is invalid
    std::string reason;  // message for the user, including the field's name
};

inline constexpr std::uint32_t kMaxTasksPerJob = 100000;

// Whether the string is a well-formed job id: "j-" followed by letters, digits, '-' or '_', 3 to 64 bytes in total.
bool valid_job_id(std::string_view id);
// Returns the first error, in the order in which the fields are validated.
std::variant<JobSpec, JobSpecError> parse_job(const Json& body);
Json to_json(const JobSpec& spec);

// `phase` on the wire, where `checkpointing` is `flushing`.
enum class TaskPhase : std::uint8_t { pulling, waiting, running, checkpointing, ended };
// Why a task ended: `cause` on the wire, where `none` is an empty string, `stopped` is `halted` and `gang_peer_lost` is
// `peers`.
enum class Cause : std::uint8_t { none, done, stopped, gang_peer_lost, incomplete, error, full, busy, unknown };

// Returns the name on the wire.
const char* to_string(TaskPhase phase);
const char* to_string(Cause cause);

// State of one task, as reported in a heartbeat.
struct TaskStatus {
    std::string job;                       // with `index`: `step` on the wire, "j-000412/3"
    std::uint32_t index = 0;               // of the task within its job, from 0
    std::uint32_t attempt = 0;             // `try` on the wire
    TaskPhase phase = TaskPhase::pulling;  // `phase` on the wire
    Cause cause = Cause::none;             // `cause` on the wire; optional
    bool checkpointed = false;             // `kept` on the wire: a checkpoint was written; optional
};

// Periodic report of a worker (`report` in PROTOCOL).
struct Heartbeat {
    std::string host;                // `host` on the wire
    std::string address;             // `address` on the wire, IPv4 address and port
    std::string machineType;         // `build` on the wire
    std::string zone;                // `hall` on the wire
    bool spot = false;               // `loaners` on the wire
    std::uint64_t agentEpoch = 0;    // `tenure` on the wire: starts at 1, increases when the worker's lease expires
    std::uint64_t sequence = 0;      // `tick` on the wire: increases with each message of the worker
    std::uint64_t fencingToken = 0;  // `baton` on the wire: highest fencing token that the worker has seen
    std::optional<double> preemptionNoticeS;  // `reclaimS` on the wire: seconds until the cloud preempts the machine
    std::vector<TaskStatus> tasks;            // `steps` on the wire
};

// Returns nullopt if the host, agent epoch or sequence is missing or invalid, or a task lacks its id, attempt or phase.
std::optional<Heartbeat> parse_heartbeat(const Json& body);

// Identifies a task by its job and its index within the job.
struct TaskId {
    std::string job;
    std::uint32_t index = 0;
};

// Returns the form on the wire, such as "j-000412/3".
std::string task_id(std::string_view job, std::uint32_t index);
// Returns nullopt if the string is not of that form.
std::optional<TaskId> parse_task_id(std::string_view name);

// `verb` on the wire, where `stop` is `halt` and `acknowledge` is `reap`.
enum class CommandType : std::uint8_t { start, stop, acknowledge };

// Returns the name on the wire.
const char* to_string(CommandType type);

// Instruction to a worker about one of its tasks, in the response to its heartbeat or sent to it directly.
struct Command {
    CommandType type = CommandType::start;  // `verb` on the wire
    std::string job;                        // with `index`: `step` on the wire
    std::uint32_t index = 0;                // of the task within its job
    std::uint32_t attempt = 0;              // `try` on the wire
    double gracePeriodS = 0;                // `windDownS` on the wire, seconds; only for `stop`
};

Json to_json(const Command& command);
Json to_json(const std::vector<Command>& commands);

// A machine type that the cloud offers.
struct MachineType {
    std::string typeName;            // `sku` on the wire
    double cores = 0, gpus = 0;      // same names on the wire
    double ramGb = 0, cacheGb = 0;   // same names on the wire, gigabytes of memory and image cache
    double fetchGbPerS = 0;          // same name on the wire, throughput of image pulls
    double price = 0;                // `rate` on the wire: price on demand
    double spotPrice = 0;            // `lowPrice` on the wire: price as a spot machine
    double startupS = 0;             // same name on the wire, seconds from the request until the machine is ready
    std::vector<std::string> zones;  // `halls` on the wire: zones that offer the type
};

// Returns nullopt if the type name is missing. Other fields that are missing are 0 or empty.
std::optional<MachineType> parse_machine_type(const Json& body);
Json to_json(const MachineType& type);

// A machine in the list of the cloud.
struct Machine {
    std::string name;         // `ref` on the wire
    std::string machineType;  // `build` on the wire
    std::string zone;         // `hall` on the wire
    std::string phase;        // `phase` on the wire
    std::string address;      // `address` on the wire
    bool spot = false;        // `loaners` on the wire
    double ageS = 0;          // `heldS` on the wire, seconds since the machine was allocated
};

// Returns nullopt if the name is missing. Other fields that are missing are 0 or empty.
std::optional<Machine> parse_machine(const Json& body);

}  // namespace wellstair::wire
