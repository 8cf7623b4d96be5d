// Clock readings, delays and jitter for code that does I/O. The only state is the random generator of the jitter.
// Runs on one io_context thread. Reports no errors.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

namespace wellstair::net {

namespace asio = boost::asio;

// Returns the time on the steady clock, in seconds.
double steady_now();

// Returns the time on the wall clock, in seconds since the Unix epoch.
double wall_now();

// Converts seconds to a duration of the steady clock.
std::chrono::steady_clock::duration to_duration(double seconds);

// Suspends the calling coroutine for `seconds`.
asio::awaitable<void> sleep_for(asio::io_context& io, double seconds);

// Returns `seconds` varied at random by up to 25% either way, so that processes do not retry at the same moment.
double jitter(double seconds);

}  // namespace wellstair::net
