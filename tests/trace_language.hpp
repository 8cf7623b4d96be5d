// The words of the trace language (tests/traces): jobs, heartbeats, commands and answers as a line of a trace has them.
//
// Owns nothing. Errors: what is not a valid job throws std::runtime_error. Single-threaded test support.
#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "controller/core.hpp"

namespace wellstair::test {

// A small batch job of that id; the rest of the line is KEY=VALUE, in the words of the protocol's job.
wire::JobSpec parse_job_line(const std::string& id, std::istringstream& line);
// HOST AGENT_EPOCH SEQUENCE FENCING_TOKEN [notice=S] [build=MACHINE_TYPE] [hall=ZONE] [j-1/0#1=running ...]
wire::Heartbeat parse_heartbeat_line(std::istringstream& line);

// "start j-1/0#1, stop j-2/0#1", or "none".
std::string describe(const std::vector<wire::Command>& commands);
// Status, phase and counts.
std::string describe(const controller::UserResponse& answer);

}  // namespace wellstair::test
