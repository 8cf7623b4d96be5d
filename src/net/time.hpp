// Clocks, pauses and jitter for everything that does I/O. Stateless but for the random numbers of the jitter.
// One io_context thread; no errors.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

namespace wellstair::net {

namespace asio = boost::asio;

// Seconds on the steady clock.
double steady_now();

// Time of day, seconds since the epoch.
double wall_now();

// Seconds as a duration of the steady clock.
std::chrono::steady_clock::duration to_duration(double seconds);

// Suspends the calling coroutine for so many seconds.
asio::awaitable<void> sleep_for(asio::io_context& io, double seconds);

// A random time around `seconds`, give or take a quarter, so that processes do not retry in step.
double jitter(double seconds);

}  // namespace wellstair::net
