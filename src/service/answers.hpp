// Builds the responses to users and workers (PROTOCOL, replies). Pure functions, kept apart from the coroutines because
// GCC 12 cannot compile braced JSON initialisers inside a coroutine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "api/server.hpp"
#include "controller/core.hpp"
#include "wire/messages.hpp"

namespace wellstair::service {

// An error response with this status and reason, without Retry-After: repeating the same request will not help.
api::Response refusal(int status, const std::string& reason);

// 503 with Retry-After and the reason.
api::Response unavailable(const char* reason);

// 421: the worker has to send its heartbeats to `leader` instead.
api::Response redirect(const std::string& leader);

// 200 to a heartbeat: renews the worker's lease, and carries the leader's fencing token and the commands.
api::Response commands_response(std::uint64_t fencingToken, const std::vector<wire::Command>& commands);

// Converts a response of the core into one of the HTTP server.
api::Response to_response(const controller::UserResponse& response);

// 201 with phase `queued`: the submission is durable.
controller::UserResponse submitted_response(const std::string& id);

// 200 with phase `aborted`: the cancellation is durable.
controller::UserResponse cancelled_response(const std::string& id);

// 503 with Retry-After and the reason, for a request in the queue.
controller::UserResponse unavailable_response(const char* reason);

// Reason given to users while this controller has no confirmed contact with the state service.
inline constexpr const char* kStateServiceNotResponding = "the state service is not responding; retry later";

}  // namespace wellstair::service
