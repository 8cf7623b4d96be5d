// What the loops of the controller share: the io_context, the settings, the core, and the signals between the loops.
// Owns only the signals; `Service` owns the rest, which outlives every loop.
// Everything in this package runs on the one thread of the io_context, so that no locks are needed.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "config/settings.hpp"
#include "controller/core.hpp"
#include "net/signal.hpp"
#include "net/spawn.hpp"
#include "net/time.hpp"

namespace wellstair::service {

namespace asio = boost::asio;

// Time-out of a request to the state service, in seconds. The service usually responds in less than 10 ms, and
// occasionally in a few hundred.
inline constexpr double kStoreTimeoutS = 1.0;

// Notifications between the loops.
struct Signals {
    explicit Signals(asio::io_context& io) : stateChanged(io), roundDue(io) {}

    net::Signal stateChanged;  // the cached state has been updated, or a user's request has been answered
    net::Signal roundDue;      // the core may have a transaction to propose
};

// References to what the loops share.
struct LoopContext {
    asio::io_context& io;
    const config::Settings& settings;
    controller::Core& core;
    Signals& signals;
};

// The present time on the steady clock and the wall clock.
inline controller::Timestamp now() {
    return {net::steady_now(), net::wall_now()};
}

using net::spawn;

}  // namespace wellstair::service
