// Syntax of the traces (tests/traces): parses the jobs and heartbeats in a line, and formats commands and responses.
//
// Errors: std::runtime_error if a job or a task id is invalid. Single-threaded test support.
#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "controller/core.hpp"

namespace wellstair::test {

// Parses [KEY=VALUE ...], with the keys that a job has on the wire. Keys that are missing are those of a small batch
// job.
wire::JobSpec parse_job_line(const std::string& id, std::istringstream& line);
// Parses HOST AGENT_EPOCH SEQUENCE FENCING_TOKEN [notice=S] [build=MACHINE_TYPE] [hall=ZONE] [j-1/0#1=running ...]
wire::Heartbeat parse_heartbeat_line(std::istringstream& line);

// Formats commands as "start j-1/0#1, stop j-2/0#1", or "none". A stop with a grace period ends with "saving".
std::string describe(const std::vector<wire::Command>& commands);
// Formats the HTTP status and, if the body has them, the phase and the task counts.
std::string describe(const controller::UserResponse& answer);

}  // namespace wellstair::test
