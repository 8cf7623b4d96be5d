#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace wellstair::wire {
namespace {

constexpr std::array kPriorityClasses = {"production", "urgent", "standard", "best_effort"};
constexpr std::array kPhases = {"pulling", "waiting", "running", "flushing", "ended"};
constexpr std::array kCauses = {"", "done", "halted", "peers", "incomplete", "error", "full", "busy", "unknown"};

template <class E, std::size_t N>
std::optional<E> named(const std::array<const char*, N>& names, std::string_view name) {
    for (std::size_t i = 0; i < N; ++i)
        if (name == names[i]) return static_cast<E>(i);
    return std::nullopt;
}

bool absent(const Json& body, const char* key) {
    auto it = body.find(key);
    return it == body.end() || it->is_null();
}

}  // namespace

bool valid_job_ref(std::string_view ref) {
    if (ref.size() < 3 || ref.size() > 64 || !ref.starts_with("j-")) return false;
    return std::all_of(ref.begin() + 2, ref.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
    });
}

std::variant<JobSpec, Invalid> parse_job(const Json& body) {
    if (!body.is_object()) return Invalid{"the body must be a map"};
    JobSpec s;
    std::string bad;
    auto need_text = [&](const char* key, std::string& out) {
        auto v = text(body, key);
        if (v && !v->empty() && v->size() <= 200)
            out = std::move(*v);
        else if (bad.empty())
            bad = std::string(key) + " must be a text of 1 to 200 bytes";
    };
    auto need_amount = [&](const char* key, double& out) {
        auto v = amount(body, key);
        if (v && *v >= 0 && *v <= 1e9)
            out = *v;
        else if (bad.empty())
            bad = std::string(key) + " must be a number of at least 0";
    };
    auto need_flag = [&](const char* key, bool& out) {
        auto v = flag(body, key);
        if (v)
            out = *v;
        else if (bad.empty())
            bad = std::string(key) + " must be true or false";
    };
    need_text("ref", s.id);
    if (bad.empty() && !valid_job_ref(s.id)) bad = "ref must look like j-000412";
    need_text("lane", s.jobClass);
    need_text("crew", s.team);
    need_text("bundle", s.image);
    auto kind = text(body, "shape");
    if (kind == "batch")
        s.kind = JobKind::batch;
    else if (kind == "gang")
        s.kind = JobKind::gang;
    else if (kind == "service")
        s.kind = JobKind::service;
    else if (bad.empty())
        bad = "shape must be batch, gang or service";
    auto priority = named<PriorityClass>(kPriorityClasses, text(body, "rank").value_or(""));
    if (priority)
        s.priority = *priority;
    else if (bad.empty())
        bad = "rank must be production, urgent, standard or best_effort";
    auto tasks = count(body, "steps");
    if (tasks && *tasks >= 1 && *tasks <= kMaxTasks)
        s.taskCount = static_cast<std::uint32_t>(*tasks);
    else if (bad.empty())
        bad = "steps must be an integer from 1 to 100000";
    need_amount("cores", s.cores);
    need_amount("gpus", s.gpus);
    need_amount("ramGb", s.ramGb);
    need_amount("imageGb", s.imageGb);
    // A service has no run time to estimate.
    if (!s.service() || !absent(body, "expectS")) need_amount("expectS", s.estimatedDurationS);
    if (s.service()) s.estimatedDurationS = 0;
    need_amount("snapshotS", s.checkpointIntervalS);
    need_amount("flushS", s.checkpointWriteS);
    need_flag("together", s.coLocated);
    need_flag("scatter", s.spread);
    need_flag("loaners", s.spotAllowed);
    if (!absent(body, "builds")) {
        const Json* machineTypes = list(body, "builds");
        if (!machineTypes ||
            !std::all_of(machineTypes->begin(), machineTypes->end(), [](const Json& b) { return b.is_string(); })) {
            if (bad.empty()) bad = "builds must be a list of machine types, or null";
        } else {
            s.machineTypes = machineTypes->get<std::vector<std::string>>();
        }
    }
    if (!absent(body, "hall")) {
        s.zone = text(body, "hall");
        if (!s.zone && bad.empty()) bad = "hall must be the name of a zone, or null";
    }
    if (!absent(body, "dueS")) {
        s.deadlineS = amount(body, "dueS");
        if ((!s.deadlineS || *s.deadlineS < 0) && bad.empty()) bad = "dueS must be a number of at least 0, or null";
    }
    if (!bad.empty()) return Invalid{bad};
    return s;
}

Json to_json(const JobSpec& s) {
    Json j = {{"ref", s.id},
              {"lane", s.jobClass},
              {"crew", s.team},
              {"shape", s.kind == JobKind::gang      ? "gang"
                        : s.kind == JobKind::service ? "service"
                                                     : "batch"},
              {"rank", kPriorityClasses[static_cast<std::size_t>(s.priority)]},
              {"steps", s.taskCount},
              {"cores", s.cores},
              {"gpus", s.gpus},
              {"ramGb", s.ramGb},
              {"bundle", s.image},
              {"imageGb", s.imageGb},
              {"together", s.coLocated},
              {"scatter", s.spread},
              {"loaners", s.spotAllowed},
              {"expectS", s.estimatedDurationS},
              {"snapshotS", s.checkpointIntervalS},
              {"flushS", s.checkpointWriteS}};
    if (s.machineTypes) j["builds"] = *s.machineTypes;
    if (s.zone) j["hall"] = *s.zone;
    if (s.deadlineS) j["dueS"] = *s.deadlineS;
    return j;
}

std::string task_id(std::string_view job, std::uint32_t index) {
    return std::string(job) + "/" + std::to_string(index);
}

std::optional<std::pair<std::string, std::uint32_t>> parse_task_id(std::string_view name) {
    auto slash = name.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return std::nullopt;
    std::uint32_t index = 0;
    const char* end = name.data() + name.size();
    auto [p, ec] = std::from_chars(name.data() + slash + 1, end, index);
    if (ec != std::errc() || p != end) return std::nullopt;
    return std::pair(std::string(name.substr(0, slash)), index);
}

std::optional<Heartbeat> parse_heartbeat(const Json& body) {
    auto host = text(body, "host");
    auto agentEpoch = count(body, "tenure");
    auto sequence = count(body, "tick");
    if (!host || host->empty() || host->size() > 100 || !agentEpoch || !sequence) return std::nullopt;
    Heartbeat r;
    r.host = std::move(*host);
    r.address = text(body, "address").value_or("");
    r.machineType = text(body, "build").value_or("");
    r.zone = text(body, "hall").value_or("");
    r.spot = flag(body, "loaners").value_or(false);
    r.agentEpoch = *agentEpoch;
    r.sequence = *sequence;
    r.fencingToken = count(body, "baton").value_or(0);
    r.preemptionNoticeS = amount(body, "reclaimS");
    if (const Json* tasks = list(body, "steps")) {
        r.tasks.reserve(tasks->size());
        for (const Json& e : *tasks) {
            auto name = parse_task_id(text(e, "step").value_or(""));
            auto attempt = count(e, "try");
            auto phase = named<TaskPhase>(kPhases, text(e, "phase").value_or(""));
            if (!name || !attempt || !phase) return std::nullopt;
            TaskStatus t;
            t.job = std::move(name->first);
            t.index = name->second;
            t.attempt = static_cast<std::uint32_t>(*attempt);
            t.phase = *phase;
            t.cause = named<Cause>(kCauses, text(e, "cause").value_or("")).value_or(Cause::none);
            t.checkpointed = flag(e, "kept").value_or(false);
            r.tasks.push_back(std::move(t));
        }
    }
    return r;
}

Json to_json(const Command& o) {
    static constexpr std::array types = {"start", "halt", "reap"};
    Json j = {{"verb", types[static_cast<std::size_t>(o.type)]}, {"step", task_id(o.job, o.index)}, {"try", o.attempt}};
    if (o.type == CommandType::stop) j["windDownS"] = o.gracePeriodS;
    return j;
}

Json to_json(const std::vector<Command>& commands) {
    Json j = Json::array();
    for (const Command& o : commands) j.push_back(to_json(o));
    return j;
}

std::optional<MachineType> parse_type(const Json& b) {
    auto typeName = text(b, "sku");
    if (!typeName) return std::nullopt;
    MachineType t;
    t.typeName = *typeName;
    t.cores = amount(b, "cores").value_or(0);
    t.gpus = amount(b, "gpus").value_or(0);
    t.ramGb = amount(b, "ramGb").value_or(0);
    t.cacheGb = amount(b, "cacheGb").value_or(0);
    t.fetchGbPerS = amount(b, "fetchGbPerS").value_or(0);
    t.rate = amount(b, "rate").value_or(0);
    t.lowPrice = amount(b, "lowPrice").value_or(0);
    t.startupS = amount(b, "startupS").value_or(0);
    if (const Json* zones = list(b, "halls"))
        for (const Json& h : *zones)
            if (h.is_string()) t.zones.push_back(h.get<std::string>());
    return t;
}

Json to_json(const MachineType& t) {
    return {{"sku", t.typeName}, {"cores", t.cores},       {"gpus", t.gpus},
            {"ramGb", t.ramGb},  {"cacheGb", t.cacheGb},   {"fetchGbPerS", t.fetchGbPerS},
            {"rate", t.rate},    {"lowPrice", t.lowPrice}, {"startupS", t.startupS},
            {"halls", t.zones}};
}

std::optional<Machine> parse_machine(const Json& b) {
    auto ref = text(b, "ref");
    if (!ref) return std::nullopt;
    Machine m;
    m.name = *ref;
    m.machineType = text(b, "build").value_or("");
    m.zone = text(b, "hall").value_or("");
    m.phase = text(b, "phase").value_or("");
    m.address = text(b, "address").value_or("");
    m.spot = flag(b, "loaners").value_or(false);
    m.heldS = amount(b, "heldS").value_or(0);
    return m;
}

}  // namespace wellstair::wire
