// The settings file that the platform transfer, checked field by field. Unknown fields are ignored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace wellstair::config {

struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};

struct MemberAddress {
    std::string name, zone;
    Endpoint peer;
};

struct Team {
    std::string name;
    double cpus = 0, cpusMax = 0, gpus = 0, gpusMax = 0;  // 0: none
};

// What users expect of a class of jobs. Only guides the order under overload.
struct Objective {
    std::string kind, jobClass;
    double withinS = 0, times = 0;
};

// What the state service takes.
struct StateLimits {
    double valueKb = 0, writeRps = 0;
    int transactionOperations = 0;

    std::size_t value_bytes() const { return static_cast<std::size_t>(valueKb * 1024); }
    int conditions() const { return kConditionsPerOperation * transactionOperations; }
    bool operator==(const StateLimits&) const = default;

    static constexpr int kConditionsPerOperation = 4;
};

struct Settings {
    std::string member, location;
    Endpoint front, internal;
    std::vector<MemberAddress> members;  // the others
    Endpoint cloud, state;
    double skewS = 0;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    double heartbeatIntervalS = 0, leaseS = 0, gangWaitS = 0, gangPeerS = 0, cancelS = 0;
    double stateRps = 0, stateWriteRps = 0, valueKb = 0;
    int transactionOperations = 0;
    // The limits that the state service will have from some moment on, announced by `state.next`.
    std::optional<StateLimits> nextState;
    double cloudRps = 0, listLagS = 0;
    double cores = 0, ramMb = 0;
    int maxSockets = 0;

    int size() const { return static_cast<int>(members.size()) + 1; }
    const Team* team(const std::string& name) const;
    StateLimits state_limits() const { return {valueKb, stateWriteRps, transactionOperations}; }
    // What holds now and after the announced change alike.
    StateLimits lowest_state_limits() const;
};

// What is wrong with a settings file, in one line.
class SettingsError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

Settings load_settings(const std::string& path);

}  // namespace wellstair::config
