#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace wellstair::wire {
namespace {

constexpr std::array kRanks = {"production", "urgent", "standard", "best_effort"};
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
    need_text("ref", s.ref);
    if (bad.empty() && !valid_job_ref(s.ref)) bad = "ref must look like j-000412";
    need_text("lane", s.lane);
    need_text("crew", s.crew);
    need_text("bundle", s.bundle);
    auto shape = text(body, "shape");
    if (shape == "batch")
        s.shape = Shape::batch;
    else if (shape == "gang")
        s.shape = Shape::gang;
    else if (shape == "service")
        s.shape = Shape::service;
    else if (bad.empty())
        bad = "shape must be batch, gang or service";
    auto rank = named<Rank>(kRanks, text(body, "rank").value_or(""));
    if (rank)
        s.rank = *rank;
    else if (bad.empty())
        bad = "rank must be production, urgent, standard or best_effort";
    auto steps = count(body, "steps");
    if (steps && *steps >= 1 && *steps <= kMaxSteps)
        s.steps = static_cast<std::uint32_t>(*steps);
    else if (bad.empty())
        bad = "steps must be an integer from 1 to 100000";
    need_amount("cores", s.cores);
    need_amount("gpus", s.gpus);
    need_amount("ramGb", s.ramGb);
    need_amount("imageGb", s.imageGb);
    // A service has no run time to estimate.
    if (!s.service() || !absent(body, "expectS")) need_amount("expectS", s.expectS);
    if (s.service()) s.expectS = 0;
    need_amount("snapshotS", s.snapshotS);
    need_amount("flushS", s.flushS);
    need_flag("together", s.together);
    need_flag("scatter", s.scatter);
    need_flag("loaners", s.loaners);
    if (!absent(body, "builds")) {
        const Json* builds = list(body, "builds");
        if (!builds || !std::all_of(builds->begin(), builds->end(), [](const Json& b) { return b.is_string(); })) {
            if (bad.empty()) bad = "builds must be a list of machine types, or null";
        } else {
            s.builds = builds->get<std::vector<std::string>>();
        }
    }
    if (!absent(body, "hall")) {
        s.hall = text(body, "hall");
        if (!s.hall && bad.empty()) bad = "hall must be the name of a zone, or null";
    }
    if (!absent(body, "dueS")) {
        s.dueS = amount(body, "dueS");
        if ((!s.dueS || *s.dueS < 0) && bad.empty()) bad = "dueS must be a number of at least 0, or null";
    }
    if (!bad.empty()) return Invalid{bad};
    return s;
}

Json to_json(const JobSpec& s) {
    Json j = {{"ref", s.ref},
              {"lane", s.lane},
              {"crew", s.crew},
              {"shape", s.shape == Shape::gang      ? "gang"
                        : s.shape == Shape::service ? "service"
                                                    : "batch"},
              {"rank", kRanks[static_cast<std::size_t>(s.rank)]},
              {"steps", s.steps},
              {"cores", s.cores},
              {"gpus", s.gpus},
              {"ramGb", s.ramGb},
              {"bundle", s.bundle},
              {"imageGb", s.imageGb},
              {"together", s.together},
              {"scatter", s.scatter},
              {"loaners", s.loaners},
              {"expectS", s.expectS},
              {"snapshotS", s.snapshotS},
              {"flushS", s.flushS}};
    if (s.builds) j["builds"] = *s.builds;
    if (s.hall) j["hall"] = *s.hall;
    if (s.dueS) j["dueS"] = *s.dueS;
    return j;
}

std::string step_name(std::string_view job, std::uint32_t index) {
    return std::string(job) + "/" + std::to_string(index);
}

std::optional<std::pair<std::string, std::uint32_t>> parse_step(std::string_view name) {
    auto slash = name.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return std::nullopt;
    std::uint32_t index = 0;
    const char* end = name.data() + name.size();
    auto [p, ec] = std::from_chars(name.data() + slash + 1, end, index);
    if (ec != std::errc() || p != end) return std::nullopt;
    return std::pair(std::string(name.substr(0, slash)), index);
}

std::optional<Report> parse_report(const Json& body) {
    auto host = text(body, "host");
    auto tenure = count(body, "tenure");
    auto tick = count(body, "tick");
    if (!host || host->empty() || host->size() > 100 || !tenure || !tick) return std::nullopt;
    Report r;
    r.host = std::move(*host);
    r.address = text(body, "address").value_or("");
    r.build = text(body, "build").value_or("");
    r.hall = text(body, "hall").value_or("");
    r.loaners = flag(body, "loaners").value_or(false);
    r.tenure = *tenure;
    r.tick = *tick;
    r.baton = count(body, "baton").value_or(0);
    r.reclaimS = amount(body, "reclaimS");
    if (const Json* steps = list(body, "steps")) {
        r.steps.reserve(steps->size());
        for (const Json& e : *steps) {
            auto name = parse_step(text(e, "step").value_or(""));
            auto attempt = count(e, "try");
            auto phase = named<TaskPhase>(kPhases, text(e, "phase").value_or(""));
            if (!name || !attempt || !phase) return std::nullopt;
            TaskReport t;
            t.job = std::move(name->first);
            t.index = name->second;
            t.attempt = static_cast<std::uint32_t>(*attempt);
            t.phase = *phase;
            t.cause = named<Cause>(kCauses, text(e, "cause").value_or("")).value_or(Cause::none);
            t.kept = flag(e, "kept").value_or(false);
            r.steps.push_back(std::move(t));
        }
    }
    return r;
}

Json to_json(const Order& o) {
    static constexpr std::array verbs = {"start", "halt", "reap"};
    Json j = {
        {"verb", verbs[static_cast<std::size_t>(o.verb)]}, {"step", step_name(o.job, o.index)}, {"try", o.attempt}};
    if (o.verb == Verb::halt) j["windDownS"] = o.windDownS;
    return j;
}

Json to_json(const std::vector<Order>& orders) {
    Json j = Json::array();
    for (const Order& o : orders) j.push_back(to_json(o));
    return j;
}

std::optional<MachineType> parse_type(const Json& b) {
    auto sku = text(b, "sku");
    if (!sku) return std::nullopt;
    MachineType t;
    t.sku = *sku;
    t.cores = amount(b, "cores").value_or(0);
    t.gpus = amount(b, "gpus").value_or(0);
    t.ramGb = amount(b, "ramGb").value_or(0);
    t.cacheGb = amount(b, "cacheGb").value_or(0);
    t.fetchGbPerS = amount(b, "fetchGbPerS").value_or(0);
    t.rate = amount(b, "rate").value_or(0);
    t.lowPrice = amount(b, "lowPrice").value_or(0);
    t.startupS = amount(b, "startupS").value_or(0);
    if (const Json* halls = list(b, "halls"))
        for (const Json& h : *halls)
            if (h.is_string()) t.halls.push_back(h.get<std::string>());
    return t;
}

Json to_json(const MachineType& t) {
    return {{"sku", t.sku},     {"cores", t.cores},       {"gpus", t.gpus},
            {"ramGb", t.ramGb}, {"cacheGb", t.cacheGb},   {"fetchGbPerS", t.fetchGbPerS},
            {"rate", t.rate},   {"lowPrice", t.lowPrice}, {"startupS", t.startupS},
            {"halls", t.halls}};
}

std::optional<Machine> parse_machine(const Json& b) {
    auto ref = text(b, "ref");
    if (!ref) return std::nullopt;
    Machine m;
    m.ref = *ref;
    m.build = text(b, "build").value_or("");
    m.hall = text(b, "hall").value_or("");
    m.phase = text(b, "phase").value_or("");
    m.address = text(b, "address").value_or("");
    m.loaners = flag(b, "loaners").value_or(false);
    m.heldS = amount(b, "heldS").value_or(0);
    return m;
}

}  // namespace wellstair::wire
