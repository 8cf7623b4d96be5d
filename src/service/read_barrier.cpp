#include "service/read_barrier.hpp"

namespace wellstair::service {

using store::FollowResult;

namespace {

constexpr double kIdleReadS = 0.5;       // interval of reads without a caller
constexpr double kMinPauseS = 0.001;     // between two reads
constexpr double kWatchLatencyS = 0.01;  // the watch usually delivers this controller's own write within this time

}  // namespace

asio::awaitable<void> ReadBarrier::run() {
    const double minIntervalS = min_read_interval(context_.settings);
    for (;;) {
        if (!read_pending()) {
            co_await readRequested_.wait(kIdleReadS);
            // The watch alone would not notice an outage of the state service.
            if (!read_pending() && net::steady_now() - reader_.last_read_s() < kIdleReadS) continue;
        }
        const double startS = net::steady_now();
        started_ = requested_;
        const std::uint64_t number = started_;
        if (context_.core.state_ready())
            co_await read(number, startS);
        else
            failed_ = number;
        readFinished_.notify();
        const double elapsedS = net::steady_now() - startS;
        co_await net::sleep_for(context_.io, std::max(kMinPauseS, minIntervalS - elapsedS));
    }
}

asio::awaitable<void> ReadBarrier::read(std::uint64_t number, double startS) {
    controller::Core& core = context_.core;
    const std::uint64_t loadCount = reader_.load_count();
    auto result = co_await store_.follow(state::keys::kPrefix, core.state().revision(), 0, kStoreTimeoutS);
    if (loadCount != reader_.load_count()) result.kind = FollowResult::Kind::failed;
    if (result.kind == FollowResult::Kind::ok) {
        reader_.apply(result);
        succeeded_ = number;
        failedSinceS_ = 0;
        co_return;
    }
    if (failedSinceS_ == 0) failedSinceS_ = startS;
    if (result.kind == FollowResult::Kind::gone) core.set_state_ready(false);
    failed_ = number;
}

asio::awaitable<bool> ReadBarrier::wait(double timeoutS) {
    const double deadlineS = net::steady_now() + timeoutS;
    // A read in flight was sent before this call and may miss later writes, so the next one is waited for.
    requested_ = std::max(requested_, started_ + 1);
    const std::uint64_t number = requested_;
    readRequested_.notify();
    while (succeeded_ < number) {
        if (failed_ >= number) co_return false;
        const double remainingS = deadlineS - net::steady_now();
        if (remainingS <= 0) co_return false;
        co_await readFinished_.wait(remainingS);
    }
    co_return true;
}

asio::awaitable<bool> ReadBarrier::wait_for_revision(std::uint64_t revision, double timeoutS) {
    const double deadlineS = net::steady_now() + timeoutS;
    controller::Core& core = context_.core;
    if (core.state().revision() < revision) co_await context_.signals.stateChanged.wait(kWatchLatencyS);
    while (core.state().revision() < revision) {
        if (net::steady_now() > deadlineS) co_return false;
        co_await wait(deadlineS - net::steady_now());
    }
    co_return true;
}

}  // namespace wellstair::service
