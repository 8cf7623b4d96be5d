// An HTTP/1.1 client on Boost.Beast with persistent connections and timeouts, used by all clients of this process.
// Owns its idle connections. Runs on one io_context thread.
// Errors: a request never throws. Its reply tells whether the server can have executed the request.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/verb.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace wellstair::net {

namespace asio = boost::asio;
using boost::beast::http::verb;

// The outcome of a request and, if there is one, the response.
struct Reply {
    enum class Outcome : std::uint8_t {
        answered,  // `status` and `body` hold the response
        not_sent,  // no connection: the request was not and will not be executed
        lost,      // no response in time: the request may have been executed, or may be later
    };
    Outcome outcome = Outcome::lost;
    int status = 0;
    std::string body;

    bool answered() const { return outcome == Outcome::answered; }
    bool ok() const { return answered() && status == 200; }
};

// Returns the outcome's name for logging.
const char* to_string(Reply::Outcome outcome);

// Sends requests to one endpoint. Concurrent requests use separate connections.
class HttpClient {
  public:
    HttpClient(asio::io_context& io, config::Endpoint endpoint) : io_(io), endpoint_(std::move(endpoint)) {}

    // Sends a request and returns its reply, after `timeoutS` seconds at the latest. The client must outlive the call.
    asio::awaitable<Reply> request(verb method, std::string target, std::string body, double timeoutS);

    // Closes the idle connections. To be called after a failure, as the others may be broken as well.
    void drop_idle() { idle_.clear(); }

  private:
    using Stream = boost::beast::tcp_stream;
    using StreamPtr = std::unique_ptr<Stream>;

    StreamPtr take_idle();
    asio::awaitable<StreamPtr> connect(std::chrono::steady_clock::time_point deadline);
    void put_idle(StreamPtr stream);

    asio::io_context& io_;
    config::Endpoint endpoint_;
    std::vector<StreamPtr> idle_;
};

}  // namespace wellstair::net
