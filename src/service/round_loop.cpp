#include "service/round_loop.hpp"

#include <algorithm>

namespace wellstair::service {

using store::Outcome;

namespace {

constexpr double kMaxIdleS = 0.5;           // without a signal: deadlines and leases pass without one
constexpr double kWritesPerRound = 4;       // a round waits until this many writes are allowed
constexpr double kMaxWriteWaitS = 0.5;      // after it the round runs with fewer writes allowed
constexpr double kPausePerComputeTime = 3;  // limits decisions to a quarter of the thread's time
constexpr double kMinPauseS = 0.01;
constexpr double kMaxPausePerHeartbeatInterval = 1.0 / 6;
constexpr double kBusyRetryS = 0.1;
constexpr double kCatchUpTimeoutS = 2 * kStoreTimeoutS;

}  // namespace

asio::awaitable<void> RoundLoop::run() {
    controller::Core& core = context_.core;
    for (;;) {
        if (!core.round_due()) co_await context_.signals.roundDue.wait(kMaxIdleS);
        double startS = net::steady_now();
        core.advance_time(now());
        double computeS = 0;
        if (core.availability() == state::Availability::serving && core.state_ready())
            computeS = co_await decide(startS);
        // Independent of the availability: tasks of cancelled jobs have to be stopped during an outage, too.
        startS = net::steady_now();
        commands_.send_due();
        computeS += net::steady_now() - startS;
        // Under load, rounds are further apart and each covers more changes.
        const double maxPauseS = context_.settings.heartbeatIntervalS * kMaxPausePerHeartbeatInterval;
        co_await net::sleep_for(context_.io, std::clamp(kPausePerComputeTime * computeS, kMinPauseS, maxPauseS));
    }
}

asio::awaitable<double> RoundLoop::decide(double startS) {
    const double waitS = store_.writes().seconds_until(kWritesPerRound, startS);
    if (waitS > 0) co_await net::sleep_for(context_.io, std::min(waitS, kMaxWriteWaitS));
    startS = net::steady_now();
    state::TransactionBuilder builder = context_.core.round(now());
    const double computeS = net::steady_now() - startS;
    if (!builder.empty()) co_await commit(builder.build());
    co_return computeS;
}

asio::awaitable<void> RoundLoop::commit(state::Transaction transaction) {
    auto result = co_await committer_.commit(TransactionSource::round, transaction);
    if (result.outcome == Outcome::applied) {
        reader_.apply_own(transaction, result.revision);
        co_await readBarrier_.wait_for_revision(result.revision, kCatchUpTimeoutS);
        co_return;
    }
    // Rejected, or the outcome is unknown: the state is read before the next decision.
    if (result.outcome == Outcome::busy || result.outcome == Outcome::unavailable)
        co_await net::sleep_for(context_.io, net::jitter(kBusyRetryS));
    co_await readBarrier_.wait(kStoreTimeoutS);
    context_.core.request_replan();
}

}  // namespace wellstair::service
