// The requests to the state service (PROTOCOL, state service): transactions, reads, changes and leases.
// Owns its connections, this controller's share of the request rates, and when the state service last answered.
// One io_context thread.
// Errors: nothing throws; each result says what is known. A request without an answer may still be carried out.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http.hpp"
#include "store/rate_limiter.hpp"
#include "wire/codec.hpp"

namespace wellstair::store {

namespace asio = boost::asio;
using wire::Json;

// What became of a compare-and-swap transaction.
enum class Outcome : std::uint8_t {
    applied,
    conflict,     // a precondition did not hold; nothing was changed
    no_lease,     // it names a lease that has ended
    busy,         // refused for the rate of writes
    unavailable,  // not carried out: no connection, or the service says so
    unknown,      // no answer: it may have been applied, or may be later
    malformed,    // the service cannot accept it as it is
};

// The outcome's name for the log.
const char* to_string(Outcome outcome);

struct CommitResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;  // applied: of the transaction
};

// A key as it is since a revision.
struct Change {
    std::string path;
    std::optional<Json> data;  // nothing: removed
    std::uint64_t revision = 0;
};

// The changes since a revision.
struct FollowResult {
    enum class Kind : std::uint8_t {
        ok,
        gone,  // the service no longer has the changes since then: everything is to be read again
        failed,
    };
    Kind kind = Kind::failed;
    std::uint64_t revision = 0;
    std::vector<Change> changes;
    double sentS = -1e9;  // when it was asked for, steady clock: what it tells is no older than that
};

// The result's name for the log.
const char* to_string(FollowResult::Kind kind);

// The revisions of the first and the last page of a read by pages.
struct RevisionRange {
    std::uint64_t first = 0, last = 0;
};

class Client {
  public:
    // The settings name the endpoint and the rates that all controllers share.
    Client(asio::io_context& io, const config::Settings& settings);

    // Commits a transaction of so many writes. It must live until the result is there.
    asio::awaitable<CommitResult> commit(const Json& transaction, int writes, double timeoutS);

    // The changes below the prefix since a revision. Without any, the service waits for one, `waitS` seconds at most.
    asio::awaitable<FollowResult> follow(const std::string& prefix, std::uint64_t since, double waitS, double timeoutS);

    // Reads all keys below the prefix, page by page. The changes since the first page's revision are to be applied on
    // top; the state is complete when the last page's revision has been reached. Nothing on failure.
    asio::awaitable<std::optional<RevisionRange>> read_all(const std::string& prefix,
                                                           std::function<void(const Change&)> each);

    // Acquires a lease and returns its id; nothing on failure.
    asio::awaitable<std::optional<std::uint64_t>> grant(double ttlS, double timeoutS);

    // What became of a lease that was to be renewed.
    enum class Renewal : std::uint8_t { renewed, ended, failed };

    // Renews a lease for another time to live.
    asio::awaitable<Renewal> renew(std::uint64_t leaseId, double timeoutS);

    // When the last request of any kind that was served had been sent, seconds on the steady clock.
    double last_contact() const { return lastContactS_; }

    // The share of the rate of writes.
    RateLimiter& writes() { return writes_; }

    // Sets the rate of writes that all controllers share, per second.
    void set_write_rate(double rps);

  private:
    asio::awaitable<net::Reply> call(net::HttpClient& http, net::verb method, std::string target, std::string body,
                                     double timeoutS);

    net::HttpClient http_;
    net::HttpClient longPoll_;  // of its own: a failure of one kind does not close the connections of the other
    RateLimiter requests_, writes_;
    double lastContactS_ = -1e9;
};

// The name of a renewal's result for the log.
const char* to_string(Client::Renewal renewal);

}  // namespace wellstair::store
