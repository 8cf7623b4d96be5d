// A condition variable for coroutines. Owns a timer for each that waits. One io_context thread; no errors.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace wellstair::net {

namespace asio = boost::asio;

// Wakes coroutines that wait for something to happen. Each waiter has a timer of its own: with a shared one, every new
// waiter would wake all the others.
class Signal {
  public:
    explicit Signal(asio::io_context& io) : io_(io) {}

    // Wakes all that wait now.
    void notify();

    // Returns when notified, or after so many seconds. As with a condition variable, the caller looks again itself.
    asio::awaitable<void> wait(double seconds);

  private:
    asio::io_context& io_;
    std::list<asio::steady_timer> waiters_;
};

}  // namespace wellstair::net
