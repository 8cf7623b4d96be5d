// Handles users' requests to submit, poll and cancel a job. Validates them, answers from the cached state where that
// suffices, and passes the others to the queue. Stateless. One io_context thread.
// Errors (PROTOCOL, users): 400 for a malformed body, 422 for a job that can never run, 503 with Retry-After if the
// state service does not respond. A repeated submission of an accepted job is never rejected, even if its body is
// invalid.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "api/server.hpp"
#include "service/availability_monitor.hpp"
#include "service/loop_context.hpp"
#include "service/read_barrier.hpp"
#include "service/user_request_queue.hpp"

namespace wellstair::service {

class UserApi {
  public:
    UserApi(LoopContext context, AvailabilityMonitor& availability, ReadBarrier& readBarrier, UserRequestQueue& queue)
        : context_(context), availability_(availability), readBarrier_(readBarrier), queue_(queue) {}

    // POST /v2/runs with a MessagePack body.
    asio::awaitable<api::Response> submit(std::string bytes);

    // GET /v2/runs/ID. A final job never changes and is answered from the cached state. Any other job may just have
    // been changed by another controller, so the read barrier is awaited first.
    asio::awaitable<api::Response> poll(std::string id);

    // POST /v2/runs/ID/withdraw.
    asio::awaitable<api::Response> cancel(std::string id);

  private:
    using ParsedJob = std::variant<wire::JobSpec, wire::JobSpecError>;

    // Whether this controller serves and the cached state includes every write confirmed before this call.
    asio::awaitable<bool> state_is_current();
    // The response to a repeated submission of the job; nothing if the job is not known.
    asio::awaitable<std::optional<api::Response>> repeat_response(std::string id);
    // The error response if the submission cannot be accepted; nothing if it can.
    std::optional<api::Response> rejection(const ParsedJob& parsed) const;
    // Responds with `refusal`, unless the submission repeats one that was accepted.
    asio::awaitable<api::Response> refuse(wire::Json body, api::Response refusal);
    // Submits a valid job, or answers a repeated submission.
    asio::awaitable<api::Response> accept(wire::JobSpec spec);

    LoopContext context_;
    AvailabilityMonitor& availability_;
    ReadBarrier& readBarrier_;
    UserRequestQueue& queue_;
};

}  // namespace wellstair::service
