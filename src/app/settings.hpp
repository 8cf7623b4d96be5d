// The settings file that the platform hands over, checked field by field. Unknown fields are ignored.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace wellstair::app {

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
    std::string kind, lane;
    double withinS = 0, times = 0;
};

struct Settings {
    std::string member, location;
    Endpoint front, internal;
    std::vector<MemberAddress> members;  // the others
    Endpoint cloud, state;
    double skewS = 0;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    double reportS = 0, leaseS = 0, gangWaitS = 0, gangPeerS = 0, cancelS = 0;
    double stateRps = 0, stateWriteRps = 0, valueKb = 0;
    int txnOps = 0;
    double cloudRps = 0, listLagS = 0;
    double cores = 0, ramMb = 0;
    int maxSockets = 0;

    int size() const { return static_cast<int>(members.size()) + 1; }
    const Team* team(const std::string& name) const;
};

// What is wrong with a settings file, in one line.
class SettingsError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

Settings load_settings(const std::string& path);

}  // namespace wellstair::app
