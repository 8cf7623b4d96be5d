#include "service/user_request_queue.hpp"

#include <utility>

#include "service/answers.hpp"

namespace wellstair::service {

using controller::UserResponse;
using store::Outcome;

namespace {

constexpr double kIdleS = 1;  // the queue is checked at least this often
constexpr double kDeadlineS = 2 * kUserTimeoutS;
// After a write was refused because of the rate limit. The allowance refills within a second, and this retry comes
// sooner than the user's own.
constexpr double kBusyRetryS = 0.08;

std::int64_t wall_seconds() {
    return static_cast<std::int64_t>(net::wall_now());
}

}  // namespace

asio::awaitable<UserResponse> UserRequestQueue::submit(wire::JobSpec spec) {
    auto request = std::make_shared<Request>();
    request->kind = Request::Kind::submit;
    request->id = spec.id;
    request->spec = std::move(spec);
    co_return co_await enqueue(std::move(request));
}

asio::awaitable<UserResponse> UserRequestQueue::cancel(std::string id) {
    auto request = std::make_shared<Request>();
    request->kind = Request::Kind::cancel;
    request->id = std::move(id);
    co_return co_await enqueue(std::move(request));
}

asio::awaitable<UserResponse> UserRequestQueue::enqueue(RequestPtr request) {
    request->deadlineS = net::steady_now() + kDeadlineS;
    waiting_.push_back(request);
    requestAdded_.notify();
    while (!request->response) co_await context_.signals.stateChanged.wait(1);
    co_return *request->response;
}

asio::awaitable<void> UserRequestQueue::run() {
    for (;;) {
        if (waiting_.empty()) {
            co_await requestAdded_.wait(kIdleS);
            continue;
        }
        if (!accepting()) {
            refuse_all();
            continue;
        }
        state::TransactionBuilder builder = context_.core.new_transaction();
        ClassifiedRequests classified = classify(builder);
        waiting_ = std::move(classified.deferred);
        if (!classified.toVerify.empty()) co_await verify_known(std::move(classified.toVerify));
        if (classified.batch.empty())
            context_.signals.stateChanged.notify();
        else
            co_await commit(builder.build(), std::move(classified.batch));
    }
}

bool UserRequestQueue::accepting() const {
    const controller::Core& core = context_.core;
    return core.availability() == state::Availability::serving && core.member_revision() && core.state_ready();
}

void UserRequestQueue::refuse_all() {
    for (auto& request : waiting_) request->response = unavailable_response(kStateServiceNotResponding);
    waiting_.clear();
    context_.signals.stateChanged.notify();
}

UserRequestQueue::ClassifiedRequests UserRequestQueue::classify(state::TransactionBuilder& builder) {
    ClassifiedRequests classified;
    for (auto& request : waiting_) {
        if (request->kind == Request::Kind::submit)
            classify_submission(builder, request, classified);
        else
            classify_cancellation(builder, request, classified);
    }
    return classified;
}

void UserRequestQueue::classify_submission(state::TransactionBuilder& builder, const RequestPtr& request,
                                           ClassifiedRequests& classified) {
    controller::Core& core = context_.core;
    if (auto known = core.find_submission(request->id)) {
        // Another controller may have confirmed a newer state of the job to the user than the cached state shows.
        if (request->stateCurrent || core.state().outcome(request->id))
            request->response = known;
        else
            classified.toVerify.push_back(request);
    } else if (builder.submit(request->spec, context_.settings.member, wall_seconds())) {
        classified.batch.push_back(request);
    } else {
        classified.deferred.push_back(request);
    }
}

void UserRequestQueue::classify_cancellation(state::TransactionBuilder& builder, const RequestPtr& request,
                                             ClassifiedRequests& classified) {
    controller::Core& core = context_.core;
    auto* job = core.state().job(request->id);
    if (!job || job->state != state::JobState::active)
        request->response = core.job_status(request->id);
    else if (builder.cancel(*job, wall_seconds()))
        classified.batch.push_back(request);
    else
        classified.deferred.push_back(request);
}

asio::awaitable<void> UserRequestQueue::verify_known(Requests toVerify) {
    const bool current = co_await readBarrier_.wait(kStoreTimeoutS);
    for (auto& request : toVerify) {
        request->stateCurrent = current;
        if (current)
            waiting_.push_back(request);
        else
            request->response = unavailable_response(kStateServiceNotResponding);
    }
}

asio::awaitable<void> UserRequestQueue::commit(state::Transaction transaction, Requests batch) {
    auto result = co_await committer_.commit(TransactionSource::users, transaction);
    if (result.outcome == Outcome::applied) {
        confirm(batch);
        reader_.apply_own(transaction, result.revision);
        context_.signals.stateChanged.notify();
        co_await readBarrier_.wait_for_revision(result.revision, kStoreTimeoutS);
    } else {
        co_await retry_or_refuse(result.outcome, std::move(batch));
        context_.signals.stateChanged.notify();
    }
}

void UserRequestQueue::confirm(const Requests& batch) {
    // Recorded before any user is answered: acknowledgements sent to other controllers from now on must include these
    // cancellations, even while the cached state does not show them yet.
    std::vector<std::string> cancelled;
    for (auto& request : batch)
        if (request->kind == Request::Kind::cancel) cancelled.push_back(request->id);
    context_.core.record_cancellations(cancelled);
    for (auto& request : batch)
        request->response =
            request->kind == Request::Kind::submit ? submitted_response(request->id) : cancelled_response(request->id);
}

asio::awaitable<void> UserRequestQueue::retry_or_refuse(Outcome outcome, Requests batch) {
    bool retry = outcome == Outcome::conflict || outcome == Outcome::unknown;
    if (retry) retry = co_await readBarrier_.wait(kStoreTimeoutS);
    if (outcome == Outcome::busy) {
        co_await net::sleep_for(context_.io, net::jitter(kBusyRetryS));
        for (auto& request : batch) retry = retry || !std::exchange(request->retried, true);
    }
    for (auto& request : batch) {
        if (retry && net::steady_now() < request->deadlineS)
            waiting_.push_back(request);
        else
            request->response = unavailable_response("the state service did not confirm the write; retry later");
    }
}

}  // namespace wellstair::service
