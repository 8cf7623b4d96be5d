#include "net/time.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace wellstair::net {

namespace {
constexpr double kMinJitterFactor = 0.75, kMaxJitterFactor = 1.25;
}  // namespace

double steady_now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double wall_now() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::chrono::steady_clock::duration to_duration(double seconds) {
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(seconds));
}

asio::awaitable<void> sleep_for(asio::io_context& io, double seconds) {
    asio::steady_timer timer(io, to_duration(seconds));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

double jitter(double seconds) {
    static std::minstd_rand random(std::random_device{}());
    return seconds * std::uniform_real_distribution<double>(kMinJitterFactor, kMaxJitterFactor)(random);
}

}  // namespace wellstair::net
