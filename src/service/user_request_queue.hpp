// Users' submissions and cancellations: those that have come since the last transaction are committed in the next.
// Owns the requests that wait. One io_context thread.
// Errors: every request is answered, with 503 and Retry-After when the state service does not take it in time. Both
// requests are idempotent: a repeat of one that was carried out is confirmed again and written once.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "service/committer.hpp"
#include "service/loop_context.hpp"
#include "service/read_barrier.hpp"
#include "service/state_reader.hpp"

namespace wellstair::service {

// How long a user's request may wait for a read of the state, seconds: users give up after 2 s.
inline constexpr double kUserTimeoutS = 1.8;

class UserRequestQueue {
  public:
    UserRequestQueue(LoopContext context, StateReader& reader, ReadBarrier& readBarrier, Committer& committer)
        : context_(context),
          reader_(reader),
          readBarrier_(readBarrier),
          committer_(committer),
          requestAdded_(context.io) {}

    // Works off the queue, for ever.
    asio::awaitable<void> run();

    // Submits a job; the answer comes when it is durable, or refused.
    asio::awaitable<controller::UserResponse> submit(wire::JobSpec spec);

    // Cancels a job; the answer comes when that is durable, or refused.
    asio::awaitable<controller::UserResponse> cancel(std::string id);

  private:
    struct Request {
        enum class Kind : std::uint8_t { submit, cancel } kind = Kind::submit;
        std::string id;
        wire::JobSpec spec;         // of a submission
        double deadlineS = 0;       // steady clock: not tried again after it
        bool retried = false;       // after the state service was busy
        bool stateCurrent = false;  // the state has been read up to a moment after the request came
        std::optional<controller::UserResponse> answer;
    };
    using RequestPtr = std::shared_ptr<Request>;
    using Requests = std::vector<RequestPtr>;
    // Where the waiting requests go.
    struct ClassifiedRequests {
        Requests batch;                   // into the transaction
        Requests toVerify;                // submissions of known jobs, to be checked against the present state
        std::deque<RequestPtr> deferred;  // of no room in the transaction
    };

    asio::awaitable<controller::UserResponse> enqueue(RequestPtr request);
    bool accepting() const;
    void refuse_all();
    ClassifiedRequests classify(state::TransactionBuilder& builder);
    void classify_submission(state::TransactionBuilder& builder, const RequestPtr& request,
                             ClassifiedRequests& classified);
    void classify_cancellation(state::TransactionBuilder& builder, const RequestPtr& request,
                               ClassifiedRequests& classified);
    asio::awaitable<void> verify_known(Requests toVerify);
    asio::awaitable<void> commit(state::Transaction transaction, Requests batch);
    void confirm(const Requests& batch);
    asio::awaitable<void> retry_or_refuse(store::Outcome outcome, Requests batch);

    LoopContext context_;
    StateReader& reader_;
    ReadBarrier& readBarrier_;
    Committer& committer_;
    net::Signal requestAdded_;
    std::deque<RequestPtr> waiting_;
};

}  // namespace wellstair::service
