// Loads and validates the TOML settings file of a controller (DEPLOY).
//
// This package is the only place that uses the field names and units of the file; the comment of each member names the
// field that it is read from. The file is read once at startup. The settings are immutable afterwards and can be read
// from any strand. An invalid file is reported as a SettingsError; unknown fields are ignored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace wellstair::config {

// IPv4 address and port, in the file as "10.0.0.1:8080".
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};

// Another controller of the cluster, from `[[members]]`.
struct MemberAddress {
    std::string name;  // members.member
    std::string zone;  // members.location
    Endpoint peer;     // members.peer_addr: listen address for other controllers
};

// Quota of a team, from `[[deployment.teams]]`, in cores and GPUs. The guaranteed amounts are reserved for the team; up
// to the limits it may borrow what other teams leave unused. 0 means none.
struct Team {
    std::string name;    // teams.name
    double cpus = 0;     // teams.cpus: guaranteed cores
    double cpusMax = 0;  // teams.cpus_max: limit on cores
    double gpus = 0;     // teams.gpus: guaranteed GPUs
    double gpusMax = 0;  // teams.gpus_max: limit on GPUs
};

// Service-level objective of a job class, from `[[deployment.objectives]]`. Affects only the queue order under
// overload.
struct Objective {
    std::string kind;             // objectives.kind: "wait", "finished", "deadline" or "guarantee"
    std::string jobClass;         // objectives.class; empty: all classes
    double withinS = 0;           // objectives.within_s, seconds; 0: none
    double deadlineMultiple = 0;  // objectives.times: multiple of the job's deadline; 0: none
};

// Limits that the state service enforces, from `[deployment.state]`.
struct StateLimits {
    double valueKb = 0;             // state.value_kb: maximum size of a value, KiB
    double writeRps = 0;            // state.write_rps: writes per second
    int transactionOperations = 0;  // state.txn_ops: maximum number of operations in a transaction

    std::size_t value_bytes() const { return static_cast<std::size_t>(valueKb * 1024); }
    // Maximum number of preconditions in a transaction.
    int max_preconditions() const { return kPreconditionsPerOperation * transactionOperations; }
    bool operator==(const StateLimits&) const = default;

    static constexpr int kPreconditionsPerOperation = 4;
};

// Settings of one controller.
struct Settings {
    std::string member;                  // member: name of this controller
    std::string location;                // location: zone of this controller
    Endpoint publicEndpoint;             // front: listen address for users, workers and health checks
    Endpoint internalEndpoint;           // internal_addr: listen address for other controllers
    std::vector<MemberAddress> members;  // members: the other controllers, without this one
    Endpoint cloudEndpoint;              // endpoints.cloud: address of the cloud API
    Endpoint stateEndpoint;              // endpoints.state: address of the state service
    double skewS = 0;                    // deployment.skew_ms, converted to seconds: bound on the wall clock's error
    std::vector<Team> teams;             // deployment.teams
    std::vector<Objective> objectives;   // deployment.objectives

    double heartbeatIntervalS = 0;    // deployment.workers.report_s, seconds between heartbeats of a worker
    double leaseS = 0;                // deployment.workers.lease_s, seconds that a worker's lease lasts
    double gangAssemblyTimeoutS = 0;  // deployment.workers.gang_wait_s, seconds that a gang waits for all its tasks
    double gangPeerTimeoutS = 0;      // deployment.workers.gang_peer_s, seconds until a gang detects a lost task
    double cancelS = 0;               // deployment.workers.cancel_s, seconds within which a cancelled job's tasks end

    double stateRps = 0;            // deployment.state.rps: requests per second
    double stateWriteRps = 0;       // deployment.state.write_rps: writes per second
    double valueKb = 0;             // deployment.state.value_kb: maximum size of a value, KiB
    int transactionOperations = 0;  // deployment.state.txn_ops: maximum number of operations in a transaction
    std::optional<StateLimits> nextStateLimits;  // deployment.state.next: limits that take effect at an unknown time

    double cloudRps = 0;  // deployment.cloud.rps: requests per second
    double listLagS = 0;  // deployment.cloud.list_lag_s, seconds by which the list of machines may be stale

    double processCores = 0;  // deployment.quota.cores: CPU limit of this process
    double processRamMb = 0;  // deployment.quota.ram_mb: memory limit of this process, megabytes
    int maxSockets = 0;       // deployment.quota.max_sockets: limit on the open sockets of this process

    // Number of controllers, this one included.
    int controller_count() const { return static_cast<int>(members.size()) + 1; }
    // Returns null if no team has the name.
    const Team* team(const std::string& name) const;
    // The limits that apply at present.
    StateLimits state_limits() const { return {valueKb, stateWriteRps, transactionOperations}; }
    // The lower of the present and the announced limits, which is valid before and after the change.
    StateLimits lowest_state_limits() const;
};

// Describes the first error of a settings file in one line: "FILE: FIELD: expected WHAT".
class SettingsError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws a SettingsError for the first field that is missing or invalid, or if the file cannot be read or parsed.
Settings load_settings(const std::string& path);

}  // namespace wellstair::config
