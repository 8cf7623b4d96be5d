// The users' requests: submit, poll and cancel a job. Checks them, answers from the cached state what it can answer,
// and hands the rest to the queue. Owns nothing of its own. One io_context thread. Errors (PROTOCOL, users): 400 for a
// malformed body, 422 for a job that can never run, 503 with Retry-After when the state service does not answer. A job
// that was accepted is never refused again, whatever its repeat looks like.
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

    // GET /v2/runs/ID. A final job is answered from memory: it never changes. Any other may have been changed by
    // another controller a moment ago, so the state is read first.
    asio::awaitable<api::Response> poll(std::string id);

    // POST /v2/runs/ID/withdraw.
    asio::awaitable<api::Response> cancel(std::string id);

  private:
    using ParsedJob = std::variant<wire::JobSpec, wire::JobSpecError>;

    asio::awaitable<bool> state_is_current();
    asio::awaitable<std::optional<api::Response>> repeat_response(std::string id);
    std::optional<api::Response> rejection(const ParsedJob& parsed) const;
    asio::awaitable<api::Response> refuse(wire::Json body, api::Response refusal);
    asio::awaitable<api::Response> accept(wire::JobSpec spec);

    LoopContext context_;
    AvailabilityMonitor& availability_;
    ReadBarrier& readBarrier_;
    UserRequestQueue& queue_;
};

}  // namespace wellstair::service
