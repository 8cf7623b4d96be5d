// HTTP over Beast: a client with kept connections and time-outs, shared by everything that calls out.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/verb.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace wellstair::net {

namespace asio = boost::asio;
using boost::beast::http::verb;

// Wakes coroutines that wait for something to happen. Each waiter has a timer of its own: with a shared one, every new
// waiter would wake all the others.
class Signal {
  public:
    explicit Signal(asio::io_context& io) : io_(io) {}
    void notify();
    // Returns when notified or when the time is over.
    asio::awaitable<void> wait(double seconds);

  private:
    asio::io_context& io_;
    std::list<asio::steady_timer> waiters_;
};

double steady_now();
double wall_now();
asio::awaitable<void> sleep_for(asio::io_context& io, double seconds);
double jitter(double seconds);  // give or take a quarter

struct Reply {
    enum Outcome { answered, not_sent, lost } outcome = lost;  // lost: it may have been carried out, or may be later
    int status = 0;
    std::string body;
    bool ok() const { return outcome == answered && status == 200; }
};

class HttpClient {
  public:
    HttpClient(asio::io_context& io, config::Endpoint endpoint) : io_(io), endpoint_(std::move(endpoint)) {}
    asio::awaitable<Reply> request(verb method, std::string target, std::string body, double timeoutS);
    void drop_idle() { idle_.clear(); }

  private:
    using Stream = boost::beast::tcp_stream;
    asio::io_context& io_;
    config::Endpoint endpoint_;
    std::vector<std::unique_ptr<Stream>> idle_;
};

}  // namespace wellstair::net
