#include "net/signal.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/time.hpp"

namespace wellstair::net {

void Signal::notify() {
    for (auto& timer : waiters_) timer.cancel();
}

asio::awaitable<void> Signal::wait(double seconds) {
    auto timer = waiters_.emplace(waiters_.end(), io_, to_duration(seconds));
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    waiters_.erase(timer);
}

}  // namespace wellstair::net
