// The answers to users and workers, in the words of the protocol (PROTOCOL, replies). Pure functions; built here rather
// than in the coroutines, since GCC 12 cannot compile braced JSON initialisers inside them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "api/server.hpp"
#include "controller/core.hpp"
#include "wire/messages.hpp"

namespace wellstair::service {

// A request that will never be accepted as it is, and why.
api::Response refusal(int status, const std::string& reason);

// 503 with Retry-After: not now, and why.
api::Response unavailable(const char* reason);

// 421: the worker should send its heartbeats to this controller.
api::Response redirect(const std::string& leader);

// 200 to a heartbeat: the worker's lease is renewed, and these are its commands.
api::Response commands_response(std::uint64_t fencingToken, const std::vector<wire::Command>& commands);

// An answer to a user as a response.
api::Response to_response(const controller::UserResponse& answer);

// 201: the submission is durable.
controller::UserResponse submitted_response(const std::string& id);

// 200: the cancellation is durable.
controller::UserResponse cancelled_response(const std::string& id);

// 503 with Retry-After, for a request in the queue.
controller::UserResponse unavailable_response(const char* reason);

inline constexpr const char* kStateServiceNotResponding = "the state service does not answer";

}  // namespace wellstair::service
