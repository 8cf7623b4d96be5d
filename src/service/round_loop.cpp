#include "service/round_loop.hpp"

#include <algorithm>

namespace wellstair::service {

using store::Outcome;

namespace {

constexpr double kLongestIdleS = 0.5;  // time alone changes things, too
constexpr double kWritesOfARound = 4;  // a round waits until it may write so much
constexpr double kLongestWriteWaitS = 0.5;
constexpr double kPausePerCost = 3;  // at most a quarter of the time is spent on deciding
constexpr double kLeastPauseS = 0.01;
constexpr double kMostPausePerHeartbeatInterval = 1.0 / 6;
constexpr double kBusyRetryS = 0.1;
constexpr double kCatchUpTimeoutS = 2 * kStoreTimeoutS;

}  // namespace

asio::awaitable<void> RoundLoop::run() {
    controller::Core& core = context_.core;
    for (;;) {
        if (!core.round_due()) co_await context_.signals.roundDue.wait(kLongestIdleS);
        double beganS = net::steady_now();
        core.advance_time(now());
        double costS = 0;
        if (core.availability() == state::Availability::serving && core.state_ready()) costS = co_await decide(beganS);
        // Whatever the availability: what is known to be cancelled is stopped in an outage as well.
        beganS = net::steady_now();
        commands_.send_due();
        costS += net::steady_now() - beganS;
        // Under load rounds come further apart, and each takes more with it.
        const double mostPauseS = context_.settings.heartbeatIntervalS * kMostPausePerHeartbeatInterval;
        co_await net::sleep_for(context_.io, std::clamp(kPausePerCost * costS, kLeastPauseS, mostPauseS));
    }
}

// Returns how long the core took, seconds.
asio::awaitable<double> RoundLoop::decide(double beganS) {
    const double waitS = store_.writes().seconds_until(kWritesOfARound, beganS);
    if (waitS > 0) co_await net::sleep_for(context_.io, std::min(waitS, kLongestWriteWaitS));
    beganS = net::steady_now();
    state::TransactionBuilder builder = context_.core.round(now());
    const double costS = net::steady_now() - beganS;
    if (!builder.empty()) co_await commit(builder.build());
    co_return costS;
}

asio::awaitable<void> RoundLoop::commit(state::Transaction transaction) {
    auto result = co_await committer_.commit(TransactionSource::round, transaction);
    if (result.outcome == Outcome::applied) {
        reader_.apply_own(transaction, result.revision);
        co_await readBarrier_.wait_for_revision(result.revision, kCatchUpTimeoutS);
        co_return;
    }
    // Refused or unknown: read back before the next decision.
    if (result.outcome == Outcome::busy || result.outcome == Outcome::unavailable)
        co_await net::sleep_for(context_.io, net::jitter(kBusyRetryS));
    co_await readBarrier_.wait(kStoreTimeoutS);
    context_.core.request_replan();
}

}  // namespace wellstair::service
