#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace wellstair::wire {
namespace {

// Names on the wire, in the order of the enumerators.
constexpr std::array kJobKinds = {"batch", "gang", "service"};
constexpr std::array kPriorityClasses = {"production", "urgent", "standard", "best_effort"};
constexpr std::array kTaskPhases = {"pulling", "waiting", "running", "flushing", "ended"};
constexpr std::array kCauses = {"", "done", "halted", "peers", "incomplete", "error", "full", "busy", "unknown"};
constexpr std::array kCommandTypes = {"start", "halt", "reap"};

constexpr std::size_t kMaxStringBytes = 200;  // limit on strings in a job specification
constexpr std::size_t kMaxNameBytes = 100;    // limit on names and the address in a heartbeat
constexpr double kMaxNumber = 1e9;            // limit on numbers in a job specification
// Limit on the fencing token in a heartbeat. Tokens follow the revisions of the state service; above a larger one there
// might be none left for the next leader.
constexpr std::uint64_t kMaxFencingToken = std::numeric_limits<std::uint64_t>::max() / 2;

bool is_text(const Json& value) {
    return value.is_string() && is_utf8(value.get_ref<const std::string&>());
}

template <class Enum, std::size_t N>
const char* enum_name(const std::array<const char*, N>& names, Enum value) {
    return names[static_cast<std::size_t>(value)];
}

template <class Enum, std::size_t N>
std::optional<Enum> parse_enum(const std::array<const char*, N>& names, std::string_view name) {
    for (std::size_t i = 0; i < N; ++i)
        if (name == names[i]) return static_cast<Enum>(i);
    return std::nullopt;
}

// Reads the fields of a job specification and keeps the first error. The read functions record an error if the field is
// invalid. Those for required fields then leave the target unchanged.
class FieldValidator {
  public:
    explicit FieldValidator(const Json& body) : body_(body) {}

    const std::optional<JobSpecError>& error() const { return error_; }

    // Records an error for the field unless there is an earlier one. `requirement` completes "FIELD must ...".
    void reject(const char* field, const std::string& requirement) {
        if (!error_) error_ = JobSpecError{field, field + (" must " + requirement)};
    }

    // Whether the field is missing or null.
    bool absent(const char* field) const {
        auto it = body_.find(field);
        return it == body_.end() || it->is_null();
    }

    void read_string(const char* field, std::string& target) {
        auto value = get_string(body_, field);
        if (value && !value->empty() && value->size() <= kMaxStringBytes)
            target = std::move(*value);
        else
            reject(field, "be a string of 1 to 200 bytes");
    }

    void read_number(const char* field, double& target) {
        auto value = get_number(body_, field);
        if (value && *value >= 0 && *value <= kMaxNumber)
            target = *value;
        else
            reject(field, "be a number from 0 to 1e9");
    }

    void read_bool(const char* field, bool& target) {
        if (auto value = get_bool(body_, field))
            target = *value;
        else
            reject(field, "be true or false");
    }

    template <class Enum, std::size_t N>
    void read_enum(const char* field, const std::array<const char*, N>& names, const char* requirement, Enum& target) {
        if (auto value = parse_enum<Enum>(names, get_string(body_, field).value_or("")))
            target = *value;
        else
            reject(field, requirement);
    }

    void read_task_count(const char* field, std::uint32_t& target) {
        auto value = get_unsigned(body_, field);
        if (value && *value >= 1 && *value <= kMaxTasksPerJob)
            target = static_cast<std::uint32_t>(*value);
        else
            reject(field, "be an integer from 1 to 100000");
    }

    void read_optional_strings(const char* field, std::optional<std::vector<std::string>>& target) {
        if (absent(field)) return;
        const Json* values = get_array(body_, field);
        if (values && std::all_of(values->begin(), values->end(), is_text))
            target = values->get<std::vector<std::string>>();
        else
            reject(field, "be an array of machine type names, or null");
    }

    void read_optional_zone(const char* field, std::optional<std::string>& target) {
        if (absent(field)) return;
        target = get_string(body_, field);
        if (!target) reject(field, "be the name of a zone, or null");
    }

    void read_optional_number(const char* field, std::optional<double>& target) {
        if (absent(field)) return;
        target = get_number(body_, field);
        if (!target || *target < 0) reject(field, "be a number of at least 0, or null");
    }

  private:
    const Json& body_;
    std::optional<JobSpecError> error_;
};

void read_identity(FieldValidator& fields, JobSpec& spec) {
    fields.read_string("ref", spec.id);
    if (!valid_job_id(spec.id))
        fields.reject("ref", "be \"j-\" followed by letters, digits, '-' or '_', 3 to 64 bytes in total");
    fields.read_string("lane", spec.jobClass);
    fields.read_string("crew", spec.team);
    fields.read_string("bundle", spec.image);
    fields.read_enum("shape", kJobKinds, "be batch, gang or service", spec.kind);
    fields.read_enum("rank", kPriorityClasses, "be production, urgent, standard or best_effort", spec.priority);
    fields.read_task_count("steps", spec.taskCount);
}

void read_resources(FieldValidator& fields, JobSpec& spec) {
    fields.read_number("cores", spec.cores);
    fields.read_number("gpus", spec.gpus);
    fields.read_number("ramGb", spec.ramGb);
    fields.read_number("imageGb", spec.imageGb);
}

void read_durations(FieldValidator& fields, JobSpec& spec) {
    // A service has no expected duration. The field is optional for services, and a valid value is ignored.
    if (!spec.service() || !fields.absent("expectS")) fields.read_number("expectS", spec.estimatedDurationS);
    if (spec.service()) spec.estimatedDurationS = 0;
    fields.read_number("snapshotS", spec.checkpointIntervalS);
    fields.read_number("flushS", spec.checkpointWriteS);
}

void read_constraints(FieldValidator& fields, JobSpec& spec) {
    fields.read_bool("together", spec.coLocated);
    fields.read_bool("scatter", spec.spread);
    fields.read_bool("loaners", spec.spotAllowed);
    fields.read_optional_strings("builds", spec.machineTypes);
    fields.read_optional_zone("hall", spec.zone);
    fields.read_optional_number("dueS", spec.deadlineS);
}

// Reads an optional name in a heartbeat, which stays empty if it is absent. Names are stored in the values of shards,
// so they are bounded. Returns false if it is present and not valid.
bool read_name(const Json& body, const char* field, std::string& target) {
    auto it = body.find(field);
    if (it == body.end() || it->is_null()) return true;
    auto name = get_string(body, field);
    if (!name || name->size() > kMaxNameBytes) return false;
    target = std::move(*name);
    return true;
}

// Reads an optional number in a heartbeat, which stays empty if it is absent. Returns false if it is present and no
// finite number.
bool read_optional_number(const Json& body, const char* field, std::optional<double>& target) {
    auto it = body.find(field);
    if (it == body.end() || it->is_null()) return true;
    target = get_number(body, field);
    return target.has_value();
}

// Whether the name can be a part of a key in the state service and of a request's target.
bool valid_key_part(std::string_view name) {
    return std::none_of(name.begin(), name.end(), [](unsigned char c) {
        constexpr std::string_view kReserved = "/&?#%+";
        return c <= ' ' || c == 0x7f || kReserved.find(static_cast<char>(c)) != std::string_view::npos;
    });
}

std::optional<TaskStatus> parse_task_status(const Json& body) {
    auto id = parse_task_id(get_string(body, "step").value_or(""));
    auto attempt = get_unsigned(body, "try");
    auto phase = parse_enum<TaskPhase>(kTaskPhases, get_string(body, "phase").value_or(""));
    if (!id || !attempt || *attempt > std::numeric_limits<std::uint32_t>::max() || !phase) return std::nullopt;
    TaskStatus status;
    status.job = std::move(id->job);
    status.index = id->index;
    status.attempt = static_cast<std::uint32_t>(*attempt);
    status.phase = *phase;
    status.cause = parse_enum<Cause>(kCauses, get_string(body, "cause").value_or("")).value_or(Cause::none);
    status.checkpointed = get_bool(body, "kept").value_or(false);
    return status;
}

}  // namespace

const char* to_string(JobKind kind) {
    return enum_name(kJobKinds, kind);
}

const char* to_string(PriorityClass priority) {
    return enum_name(kPriorityClasses, priority);
}

const char* to_string(TaskPhase phase) {
    return enum_name(kTaskPhases, phase);
}

const char* to_string(Cause cause) {
    return enum_name(kCauses, cause);
}

const char* to_string(CommandType type) {
    return enum_name(kCommandTypes, type);
}

bool valid_job_id(std::string_view id) {
    if (id.size() < 3 || id.size() > 64 || !id.starts_with("j-")) return false;
    return std::all_of(id.begin() + 2, id.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
    });
}

std::variant<JobSpec, JobSpecError> parse_job(const Json& body) {
    if (!body.is_object()) return JobSpecError{"", "the request body must be a MessagePack map"};
    FieldValidator fields(body);
    JobSpec spec;
    read_identity(fields, spec);
    read_resources(fields, spec);
    read_durations(fields, spec);
    read_constraints(fields, spec);
    if (fields.error()) return *fields.error();
    return spec;
}

Json to_json(const JobSpec& spec) {
    Json body = {{"ref", spec.id},
                 {"lane", spec.jobClass},
                 {"crew", spec.team},
                 {"shape", to_string(spec.kind)},
                 {"rank", to_string(spec.priority)},
                 {"steps", spec.taskCount},
                 {"cores", spec.cores},
                 {"gpus", spec.gpus},
                 {"ramGb", spec.ramGb},
                 {"bundle", spec.image},
                 {"imageGb", spec.imageGb},
                 {"together", spec.coLocated},
                 {"scatter", spec.spread},
                 {"loaners", spec.spotAllowed},
                 {"expectS", spec.estimatedDurationS},
                 {"snapshotS", spec.checkpointIntervalS},
                 {"flushS", spec.checkpointWriteS}};
    if (spec.machineTypes) body["builds"] = *spec.machineTypes;
    if (spec.zone) body["hall"] = *spec.zone;
    if (spec.deadlineS) body["dueS"] = *spec.deadlineS;
    return body;
}

std::string task_id(std::string_view job, std::uint32_t index) {
    return std::string(job) + "/" + std::to_string(index);
}

std::optional<TaskId> parse_task_id(std::string_view name) {
    auto slash = name.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return std::nullopt;
    std::uint32_t index = 0;
    const char* end = name.data() + name.size();
    auto [parsed, error] = std::from_chars(name.data() + slash + 1, end, index);
    if (error != std::errc() || parsed != end) return std::nullopt;
    return TaskId{std::string(name.substr(0, slash)), index};
}

std::optional<Heartbeat> parse_heartbeat(const Json& body) {
    auto host = get_string(body, "host");
    auto agentEpoch = get_unsigned(body, "tenure");
    auto sequence = get_unsigned(body, "tick");
    if (!host || host->empty() || host->size() > kMaxNameBytes || !agentEpoch || !sequence) return std::nullopt;
    Heartbeat heartbeat;
    heartbeat.host = std::move(*host);
    if (!read_name(body, "address", heartbeat.address) || !read_name(body, "build", heartbeat.machineType) ||
        !read_name(body, "hall", heartbeat.zone) || !valid_key_part(heartbeat.zone))
        return std::nullopt;
    heartbeat.spot = get_bool(body, "loaners").value_or(false);
    heartbeat.agentEpoch = *agentEpoch;
    heartbeat.sequence = *sequence;
    heartbeat.fencingToken = get_unsigned(body, "baton").value_or(0);
    if (heartbeat.fencingToken > kMaxFencingToken) return std::nullopt;
    if (!read_optional_number(body, "reclaimS", heartbeat.preemptionNoticeS)) return std::nullopt;
    if (const Json* tasks = get_array(body, "steps")) {
        heartbeat.tasks.reserve(tasks->size());
        for (const Json& task : *tasks) {
            auto status = parse_task_status(task);
            if (!status) return std::nullopt;
            heartbeat.tasks.push_back(std::move(*status));
        }
    }
    return heartbeat;
}

Json to_json(const Command& command) {
    Json body = {
        {"verb", to_string(command.type)}, {"step", task_id(command.job, command.index)}, {"try", command.attempt}};
    if (command.type == CommandType::stop) body["windDownS"] = command.gracePeriodS;
    return body;
}

Json to_json(const std::vector<Command>& commands) {
    Json body = Json::array();
    for (const Command& command : commands) body.push_back(to_json(command));
    return body;
}

std::optional<MachineType> parse_machine_type(const Json& body) {
    auto typeName = get_string(body, "sku");
    if (!typeName) return std::nullopt;
    MachineType type;
    type.typeName = *typeName;
    type.cores = get_number(body, "cores").value_or(0);
    type.gpus = get_number(body, "gpus").value_or(0);
    type.ramGb = get_number(body, "ramGb").value_or(0);
    type.cacheGb = get_number(body, "cacheGb").value_or(0);
    type.fetchGbPerS = get_number(body, "fetchGbPerS").value_or(0);
    type.price = get_number(body, "rate").value_or(0);
    type.spotPrice = get_number(body, "lowPrice").value_or(0);
    type.startupS = get_number(body, "startupS").value_or(0);
    if (const Json* zones = get_array(body, "halls"))
        for (const Json& zone : *zones)
            if (is_text(zone)) type.zones.push_back(zone.get<std::string>());
    return type;
}

Json to_json(const MachineType& type) {
    return {{"sku", type.typeName}, {"cores", type.cores},        {"gpus", type.gpus},
            {"ramGb", type.ramGb},  {"cacheGb", type.cacheGb},    {"fetchGbPerS", type.fetchGbPerS},
            {"rate", type.price},   {"lowPrice", type.spotPrice}, {"startupS", type.startupS},
            {"halls", type.zones}};
}

std::optional<Machine> parse_machine(const Json& body) {
    auto name = get_string(body, "ref");
    if (!name) return std::nullopt;
    Machine machine;
    machine.name = *name;
    machine.machineType = get_string(body, "build").value_or("");
    machine.zone = get_string(body, "hall").value_or("");
    machine.phase = get_string(body, "phase").value_or("");
    machine.address = get_string(body, "address").value_or("");
    machine.spot = get_bool(body, "loaners").value_or(false);
    machine.ageS = get_number(body, "heldS").value_or(0);
    return machine;
}

}  // namespace wellstair::wire
