// Batches users' submissions and cancellations: the requests that arrive during one transaction go into the next.
// Owns the waiting requests. One io_context thread.
// Errors: every request is answered, with 503 and Retry-After if the state service does not confirm it in time. Both
// kinds of requests are idempotent: a repeated request is confirmed again, but written only once.
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

// How long a user's request may wait for the read barrier, in seconds. Users give up after 2 s.
inline constexpr double kUserTimeoutS = 1.8;

class UserRequestQueue {
  public:
    UserRequestQueue(LoopContext context, StateReader& reader, ReadBarrier& readBarrier, Committer& committer)
        : context_(context),
          reader_(reader),
          readBarrier_(readBarrier),
          committer_(committer),
          requestAdded_(context.io) {}

    // Processes the queue. Never returns.
    asio::awaitable<void> run();

    // Submits a job. Returns once the submission is durable or has been rejected.
    asio::awaitable<controller::UserResponse> submit(wire::JobSpec spec);

    // Cancels a job. Returns once the cancellation is durable or has been rejected.
    asio::awaitable<controller::UserResponse> cancel(std::string id);

  private:
    struct Request {
        enum class Kind : std::uint8_t { submit, cancel } kind = Kind::submit;
        std::string id;
        wire::JobSpec spec;         // only set for a submission
        double deadlineS = 0;       // steady clock; no retry after it
        bool retried = false;       // has been retried after the state service was busy
        bool stateCurrent = false;  // the cached state includes all writes confirmed before the request arrived
        std::optional<controller::UserResponse> response;
    };
    using RequestPtr = std::shared_ptr<Request>;
    using Requests = std::vector<RequestPtr>;
    // The waiting requests that have not been answered from the cached state, by what happens to them next.
    struct ClassifiedRequests {
        Requests batch;                   // part of the next transaction
        Requests toVerify;                // submissions of known jobs, which wait for the read barrier
        std::deque<RequestPtr> deferred;  // no room in the transaction
    };

    asio::awaitable<controller::UserResponse> enqueue(RequestPtr request);
    // Whether this controller serves, is registered and has loaded the state.
    bool accepting() const;
    void refuse_all();
    // Answers the requests that need no transaction, and adds the others to the transaction while there is room.
    ClassifiedRequests classify(state::TransactionBuilder& builder);
    void classify_submission(state::TransactionBuilder& builder, const RequestPtr& request,
                             ClassifiedRequests& classified);
    void classify_cancellation(state::TransactionBuilder& builder, const RequestPtr& request,
                               ClassifiedRequests& classified);
    // Puts the requests back into the queue once the cached state is current.
    asio::awaitable<void> verify_known(Requests toVerify);
    asio::awaitable<void> commit(state::Transaction transaction, Requests batch);
    // Answers the requests of a transaction that was applied.
    void confirm(const Requests& batch);
    // Puts the requests of a transaction that was not applied back into the queue, or answers them with 503.
    asio::awaitable<void> retry_or_refuse(store::Outcome outcome, Requests batch);

    LoopContext context_;
    StateReader& reader_;
    ReadBarrier& readBarrier_;
    Committer& committer_;
    net::Signal requestAdded_;
    std::deque<RequestPtr> waiting_;
};

}  // namespace wellstair::service
