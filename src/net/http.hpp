// An HTTP/1.1 client over Beast with kept connections and time-outs, shared by everything that calls out.
// Owns its idle connections. One io_context thread.
// Errors: a request never throws; its reply says whether the request can have been carried out.
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

// What became of a request.
struct Reply {
    enum class Outcome : std::uint8_t {
        answered,  // `status` and `body` are the answer
        not_sent,  // no connection: it was not and will not be carried out
        lost,      // no answer in time: it may have been carried out, or may be later
    };
    Outcome outcome = Outcome::lost;
    int status = 0;
    std::string body;

    bool answered() const { return outcome == Outcome::answered; }
    bool ok() const { return answered() && status == 200; }
};

// The outcome's name for the log.
const char* to_string(Reply::Outcome outcome);

// Requests to one endpoint; several may be under way, each on a connection of its own.
class HttpClient {
  public:
    HttpClient(asio::io_context& io, config::Endpoint endpoint) : io_(io), endpoint_(std::move(endpoint)) {}

    // Sends a request and returns its reply, after `timeoutS` seconds at the latest. The client must outlive it.
    asio::awaitable<Reply> request(verb method, std::string target, std::string body, double timeoutS);

    // Closes the kept connections: after a failure the others are suspect as well.
    void drop_idle() { idle_.clear(); }

  private:
    using Stream = boost::beast::tcp_stream;
    using StreamPtr = std::unique_ptr<Stream>;

    StreamPtr take_idle();
    asio::awaitable<StreamPtr> connect(std::chrono::steady_clock::time_point deadline);
    void keep(StreamPtr stream);

    asio::io_context& io_;
    config::Endpoint endpoint_;
    std::vector<StreamPtr> idle_;
};

}  // namespace wellstair::net
