// A condition variable for coroutines. Owns one timer per waiting coroutine. Runs on one io_context thread. Reports no
// errors.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace wellstair::net {

namespace asio = boost::asio;

// Lets coroutines wait for a notification, with a timeout. Each waiter has its own timer: setting the expiry of a
// shared one would cancel the waits of all other coroutines.
class Signal {
  public:
    explicit Signal(asio::io_context& io) : io_(io) {}

    // Wakes all coroutines that are waiting now; later waiters are not affected.
    void notify();

    // Returns when notified, or after `seconds`. The cause is not reported: the caller must check its condition again.
    asio::awaitable<void> wait(double seconds);

  private:
    asio::io_context& io_;
    std::list<asio::steady_timer> waiters_;
};

}  // namespace wellstair::net
