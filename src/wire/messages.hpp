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

enum class Shape : std::uint8_t { batch, gang, service };  // service: independent tasks that run until cancelled
enum class Rank : std::uint8_t { production, urgent, standard, best_effort };  // highest first

struct JobSpec {
    std::string ref, lane, crew, bundle;
    Shape shape = Shape::batch;
    Rank rank = Rank::standard;
    std::uint32_t steps = 0;
    double cores = 0, gpus = 0, ramGb = 0, imageGb = 0;
    std::optional<std::vector<std::string>> builds;
    std::optional<std::string> hall;
    bool together = false, scatter = false, loaners = false;
    double expectS = 0, snapshotS = 0, flushS = 0;
    std::optional<double> dueS;

    bool service() const { return shape == Shape::service; }
};

struct Invalid {
    std::string reason;
};

inline constexpr std::uint32_t kMaxSteps = 100000;

bool valid_job_ref(std::string_view ref);
std::variant<JobSpec, Invalid> parse_job(const Json& body);
Json to_json(const JobSpec& spec);

enum class TaskPhase : std::uint8_t { pulling, waiting, running, flushing, ended };
enum class Cause : std::uint8_t { none, done, halted, peers, incomplete, error, full, busy, unknown };

struct TaskReport {
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    TaskPhase phase = TaskPhase::pulling;
    Cause cause = Cause::none;
    bool kept = false;
};

struct Report {
    std::string host, address, build, hall;
    bool loaners = false;
    std::uint64_t tenure = 0, tick = 0, baton = 0;
    std::optional<double> reclaimS;
    std::vector<TaskReport> steps;
};

std::optional<Report> parse_report(const Json& body);

// "j-000412/3" <-> job and index.
std::string step_name(std::string_view job, std::uint32_t index);
std::optional<std::pair<std::string, std::uint32_t>> parse_step(std::string_view name);

enum class Verb : std::uint8_t { start, halt, reap };

struct Order {
    Verb verb = Verb::start;
    std::string job;
    std::uint32_t index = 0;
    std::uint32_t attempt = 0;
    double windDownS = 0;
};

Json to_json(const Order& order);
Json to_json(const std::vector<Order>& orders);

struct MachineType {
    std::string sku;
    double cores = 0, gpus = 0, ramGb = 0, cacheGb = 0, fetchGbPerS = 0, rate = 0, lowPrice = 0, startupS = 0;
    std::vector<std::string> halls;
};

std::optional<MachineType> parse_type(const Json& body);
Json to_json(const MachineType& type);

struct Machine {
    std::string ref, build, hall, phase, address;
    bool loaners = false;
    double heldS = 0;
};

std::optional<Machine> parse_machine(const Json& body);

}  // namespace wellstair::wire
