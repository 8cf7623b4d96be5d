#include "service/periodic_checks.hpp"

#include <spdlog/spdlog.h>

#include <string>

namespace wellstair::service {

namespace {
constexpr double kIntervalS = 0.25;
constexpr double kStatisticsIntervalS = 60;
}  // namespace

asio::awaitable<void> PeriodicChecks::run() {
    for (;;) {
        co_await net::sleep_for(context_.io, kIntervalS);
        availability_.update();
        committer_.update_write_rate();
        log_statistics();
        // Otherwise connections to hosts that are gone or led by another controller would exhaust the sockets.
        channels_.prune([this](const std::string& host) { return context_.core.tracker(host) != nullptr; });
    }
}

void PeriodicChecks::log_statistics() {
    if (net::steady_now() - lastLoggedS_ < kStatisticsIntervalS) return;
    lastLoggedS_ = net::steady_now();
    auto& statistics = context_.core.heartbeat_statistics();
    if (!statistics.empty()) spdlog::info(statistics.take_summary());
    auto& decisions = context_.core.decision_statistics();
    if (!decisions.empty()) spdlog::info(decisions.take_summary());
}

}  // namespace wellstair::service
