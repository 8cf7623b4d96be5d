// What every loop of the controller works with: the event loop, the settings, the decisions, and the signals between
// the loops. Owns the signals alone; the rest belongs to the composition root and outlives every loop.
// Everything in this package runs on the one thread of the io_context, so nothing here is locked.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "config/settings.hpp"
#include "controller/core.hpp"
#include "net/signal.hpp"
#include "net/time.hpp"

namespace wellstair::service {

namespace asio = boost::asio;

// How long a request to the state service may take, seconds: it answers "usually under 10 ms, occasionally a few
// hundred".
inline constexpr double kStoreTimeoutS = 1.0;

// What the loops tell one another.
struct Signals {
    explicit Signals(asio::io_context& io) : stateChanged(io), roundDue(io) {}

    net::Signal stateChanged;  // the cached state has moved on, or a user's request has been answered
    net::Signal roundDue;      // there may be something to decide
};

// References to what the loops share.
struct LoopContext {
    asio::io_context& io;
    const config::Settings& settings;
    controller::Core& core;
    Signals& signals;
};

// The present moment on both clocks.
inline controller::Timestamp now() {
    return {net::steady_now(), net::wall_now()};
}

// Runs a coroutine on the io_context. One that ends by an exception ends the process with exit code 3: a process
// without one of its loops would be half alive, and the state service has everything that must last.
void spawn(asio::io_context& io, asio::awaitable<void> work);

}  // namespace wellstair::service
