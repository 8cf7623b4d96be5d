// The messages of PROTOCOL as types, and their conversion from and to MessagePack maps.
//
// Owns the names of the protocol: every word that is on the wire but not in the vocabulary of the code ("crew" for a
// team, "lane" for a job class) occurs in messages.cpp only; the comment of each member states it. Pure functions, safe
// from any thread; errors are returned as values. Depends on nothing else of this project, so that clients can use it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/codec.hpp"

namespace wellstair::wire {

// `shape` on the wire. A service consists of independent tasks that run until they are cancelled.
enum class JobKind : std::uint8_t { batch, gang, service };
// `rank` on the wire, highest first.
enum class PriorityClass : std::uint8_t { production, urgent, standard, best_effort };

// The names on the wire.
const char* to_string(JobKind kind);
const char* to_string(PriorityClass priority);

// A job as users submit it: PROTOCOL, job specification.
struct JobSpec {
    std::string id;                                    // `ref` on the wire
    std::string jobClass;                              // `lane` on the wire
    std::string team;                                  // `crew` on the wire
    std::string image;                                 // `bundle` on the wire
    JobKind kind = JobKind::batch;                     // `shape` on the wire
    PriorityClass priority = PriorityClass::standard;  // `rank` on the wire
    std::uint32_t taskCount = 0;                       // `steps` on the wire, 1 to kMaxTasksPerJob

    double cores = 0, gpus = 0, ramGb = 0;                 // of each task, same names on the wire; gigabytes
    double imageGb = 0;                                    // `imageGb` on the wire, gigabytes
    std::optional<std::vector<std::string>> machineTypes;  // `builds` on the wire; none: any type
    std::optional<std::string> zone;                       // `hall` on the wire; none: any zone
    bool coLocated = false;                                // `together` on the wire: all tasks in one zone
    bool spread = false;                                   // `scatter` on the wire: tasks over several zones
    bool spotAllowed = false;                              // `loaners` on the wire: may run on spot machines

    double estimatedDurationS = 0;    // `expectS` on the wire, seconds; 0 for services
    double checkpointIntervalS = 0;   // `snapshotS` on the wire, seconds
    double checkpointWriteS = 0;      // `flushS` on the wire, seconds that writing one takes
    std::optional<double> deadlineS;  // `dueS` on the wire, seconds

    bool service() const { return kind == JobKind::service; }
};

// Why a job specification was refused.
struct JobSpecError {
    std::string field;   // its name on the wire; empty: the body as a whole
    std::string reason;  // a full sentence for the user, with the field's name in it
};

inline constexpr std::uint32_t kMaxTasksPerJob = 100000;  // of one job

// Whether the text has the form of a job's id: "j-" and letters, digits, '-' and '_', 3 to 64 bytes in all.
bool valid_job_id(std::string_view id);
// Returns the first error in the order in which the fields are checked.
std::variant<JobSpec, JobSpecError> parse_job(const Json& body);
Json to_json(const JobSpec& spec);

// `phase` on the wire; `checkpointing` is `flushing` there.
enum class TaskPhase : std::uint8_t { pulling, waiting, running, checkpointing, ended };
// Why a task ended, `cause` on the wire; `none` is empty there, `stopped` is `halted`, `gang_peer_lost` is `peers`.
enum class Cause : std::uint8_t { none, done, stopped, gang_peer_lost, incomplete, error, full, busy, unknown };

// The names on the wire.
const char* to_string(TaskPhase phase);
const char* to_string(Cause cause);

// The state of one task in a heartbeat.
struct TaskStatus {
    std::string job;                       // with `index`: `step` on the wire, "j-000412/3"
    std::uint32_t index = 0;               // of the task in its job, from 0
    std::uint32_t attempt = 0;             // `try` on the wire
    TaskPhase phase = TaskPhase::pulling;  // `phase` on the wire
    Cause cause = Cause::none;             // `cause` on the wire; may be missing
    bool checkpointed = false;             // `kept` on the wire: its checkpoint was written; may be missing
};

// What a worker reports at intervals: `report` in PROTOCOL.
struct Heartbeat {
    std::string host;                // `host` on the wire
    std::string address;             // `address` on the wire, IPv4 address and port
    std::string machineType;         // `build` on the wire
    std::string zone;                // `hall` on the wire
    bool spot = false;               // `loaners` on the wire
    std::uint64_t agentEpoch = 0;    // `tenure` on the wire: from 1, increases when the lease of the worker expires
    std::uint64_t sequence = 0;      // `tick` on the wire: increases with every message of the worker
    std::uint64_t fencingToken = 0;  // `baton` on the wire: the highest it has seen
    std::optional<double> preemptionNoticeS;  // `reclaimS` on the wire: seconds until the cloud takes a spot machine
    std::vector<TaskStatus> tasks;            // `steps` on the wire
};

// Nothing if the host, agent epoch or sequence is missing, or a task lacks its id, attempt or phase.
std::optional<Heartbeat> parse_heartbeat(const Json& body);

// A task's place: its job and its index in the job.
struct TaskId {
    std::string job;
    std::uint32_t index = 0;
};

// The form on the wire: "j-000412/3".
std::string task_id(std::string_view job, std::uint32_t index);
std::optional<TaskId> parse_task_id(std::string_view name);

// `verb` on the wire; `stop` is `halt` there, `acknowledge` is `reap`.
enum class CommandType : std::uint8_t { start, stop, acknowledge };

// The name on the wire.
const char* to_string(CommandType type);

// What a worker is told to do with a task, in the answer to its heartbeat.
struct Command {
    CommandType type = CommandType::start;  // `verb` on the wire
    std::string job;                        // with `index`: `step` on the wire
    std::uint32_t index = 0;                // of the task in its job
    std::uint32_t attempt = 0;              // `try` on the wire
    double gracePeriodS = 0;                // `windDownS` on the wire, seconds; of `stop` only
};

Json to_json(const Command& command);
Json to_json(const std::vector<Command>& commands);

// A kind of machine that the cloud offers.
struct MachineType {
    std::string typeName;            // `sku` on the wire
    double cores = 0, gpus = 0;      // same names on the wire
    double ramGb = 0, cacheGb = 0;   // same names on the wire, gigabytes of memory and of image cache
    double fetchGbPerS = 0;          // `fetchGbPerS` on the wire: how fast images are pulled
    double price = 0;                // `rate` on the wire: price
    double spotPrice = 0;            // `lowPrice` on the wire: price as a spot machine
    double startupS = 0;             // `startupS` on the wire, seconds from the order until it is ready
    std::vector<std::string> zones;  // `halls` on the wire: where it is offered
};

std::optional<MachineType> parse_machine_type(const Json& body);
Json to_json(const MachineType& type);

// A machine as the cloud lists it.
struct Machine {
    std::string name;         // `ref` on the wire
    std::string machineType;  // `build` on the wire
    std::string zone;         // `hall` on the wire
    std::string phase;        // `phase` on the wire
    std::string address;      // `address` on the wire
    bool spot = false;        // `loaners` on the wire
    double ageS = 0;          // `heldS` on the wire, seconds since it was rented
};

// Nothing if the name is missing.
std::optional<Machine> parse_machine(const Json& body);

}  // namespace wellstair::wire
