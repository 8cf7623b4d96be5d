// The settings file that the platform hands to each controller (DEPLOY), checked field by field.
//
// Owns the names and units of the file: the comment of each member names the setting that it comes from. The file is
// read once at the start; after that the settings are plain data, never changed, and may be read from any strand. What
// is wrong with a file is thrown as a SettingsError; unknown fields are ignored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace wellstair::config {

// An IPv4 address and port, "10.0.0.1:8080" in the file.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};

// Another controller: `[[members]]`.
struct MemberAddress {
    std::string name;  // members.member
    std::string zone;  // members.location
    Endpoint peer;     // members.peer_addr: where it listens for other controllers
};

// A team's quota: `[[deployment.teams]]`. The guaranteed amounts are a team's own; up to the limits it may borrow what
// others leave unused. In cores and GPUs; 0: none.
struct Team {
    std::string name;    // teams.name
    double cpus = 0;     // teams.cpus: guaranteed cores
    double cpusMax = 0;  // teams.cpus_max: limit of cores
    double gpus = 0;     // teams.gpus: guaranteed GPUs
    double gpusMax = 0;  // teams.gpus_max: limit of GPUs
};

// A service-level objective of a class of jobs: `[[deployment.objectives]]`. Only guides the order under overload.
struct Objective {
    std::string kind;             // objectives.kind: "wait", "finished", "deadline" or "guarantee"
    std::string jobClass;         // objectives.class; empty: all
    double withinS = 0;           // objectives.within_s, seconds; 0: none
    double deadlineMultiple = 0;  // objectives.times: multiple of the deadline; 0: none
};

// What the state service accepts: limits in `[deployment.state]`.
struct StateLimits {
    double valueKb = 0;             // state.value_kb: largest value, KiB
    double writeRps = 0;            // state.write_rps: writes per second
    int transactionOperations = 0;  // state.txn_ops: operations in one transaction

    std::size_t value_bytes() const { return static_cast<std::size_t>(valueKb * 1024); }
    // Most preconditions of one transaction.
    int max_preconditions() const { return kPreconditionsPerOperation * transactionOperations; }
    bool operator==(const StateLimits&) const = default;

    static constexpr int kPreconditionsPerOperation = 4;
};

// All settings of one controller.
struct Settings {
    std::string member;                  // member: its own name
    std::string location;                // location: its own zone
    Endpoint publicEndpoint;             // front: for users, workers and health checks
    Endpoint internalEndpoint;           // internal_addr: for other controllers
    std::vector<MemberAddress> members;  // members: the other controllers
    Endpoint cloudEndpoint;              // endpoints.cloud
    Endpoint stateEndpoint;              // endpoints.state
    double skewS = 0;                    // deployment.skew_ms, here seconds: bound of the clock's error
    std::vector<Team> teams;             // deployment.teams
    std::vector<Objective> objectives;   // deployment.objectives

    double heartbeatIntervalS = 0;    // deployment.workers.report_s, seconds
    double leaseS = 0;                // deployment.workers.lease_s, seconds
    double gangAssemblyTimeoutS = 0;  // deployment.workers.gang_wait_s, seconds that a gang waits to be complete
    double gangPeerTimeoutS = 0;      // deployment.workers.gang_peer_s, seconds until a gang notices a lost task
    double cancelS = 0;               // deployment.workers.cancel_s, seconds until a cancelled job's tasks are gone

    double stateRps = 0;                         // deployment.state.rps: requests per second
    double stateWriteRps = 0;                    // deployment.state.write_rps: writes per second
    double valueKb = 0;                          // deployment.state.value_kb: largest value, KiB
    int transactionOperations = 0;               // deployment.state.txn_ops: operations in one transaction
    std::optional<StateLimits> nextStateLimits;  // deployment.state.next: limits that will apply from some moment on

    double cloudRps = 0;  // deployment.cloud.rps: requests per second
    double listLagS = 0;  // deployment.cloud.list_lag_s, seconds by which the list of machines lags

    double processCores = 0;  // deployment.quota.cores: of this process
    double processRamMb = 0;  // deployment.quota.ram_mb: of this process, megabytes
    int maxSockets = 0;       // deployment.quota.max_sockets: open sockets of this process

    // Number of controllers, this one included.
    int controller_count() const { return static_cast<int>(members.size()) + 1; }
    // Null if there is no team of that name.
    const Team* team(const std::string& name) const;
    // The limits that apply now.
    StateLimits state_limits() const { return {valueKb, stateWriteRps, transactionOperations}; }
    // The limits that hold both now and after the announced change.
    StateLimits lowest_state_limits() const;
};

// What is wrong with a settings file, in one line: "FILE: FIELD: expected WHAT".
class SettingsError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws a SettingsError that names the first field that is missing or wrong.
Settings load_settings(const std::string& path);

}  // namespace wellstair::config
