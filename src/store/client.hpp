// Client of the state service (PROTOCOL, state service): transactions, reads, changes and leases.
// Owns its connections, this controller's share of the request rates, and the time of the last contact.
// Runs on one io_context thread.
// Errors: nothing throws; the result tells what is known. A request without a response may still be executed.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/timestamp.hpp"
#include "net/http.hpp"
#include "store/rate_limiter.hpp"
#include "wire/codec.hpp"

namespace wellstair::store {

namespace asio = boost::asio;
using wire::Json;

// The outcome of a compare-and-swap transaction.
enum class Outcome : std::uint8_t {
    applied,
    conflict,     // a precondition did not hold; nothing was changed
    no_lease,     // the transaction names a lease that has ended
    busy,         // refused because the rate of writes was exceeded
    unavailable,  // not executed: no connection, or the service reports that it is unavailable
    unknown,      // no response: it may have been applied, or may be later
    malformed,    // rejected as invalid: repeating it unchanged is of no use
};

// Returns the outcome's name for logging.
const char* to_string(Outcome outcome);

// The result of a commit.
struct CommitResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;  // of the transaction, if it was applied
};

// The value of a key as of a revision.
struct Change {
    std::string path;
    std::optional<Json> data;  // nullopt: the key was removed
    std::uint64_t revision = 0;
};

// The result of reading the changes since a revision.
struct FollowResult {
    enum class Kind : std::uint8_t {
        ok,
        gone,  // the service no longer holds the changes since that revision: the whole state must be read again
        failed,
    };
    Kind kind = Kind::failed;
    std::uint64_t revision = 0;
    std::vector<Change> changes;
    double sentS = kNeverS;  // steady time of sending the request; the result is at least as recent
};

// Returns the result's name for logging.
const char* to_string(FollowResult::Kind kind);

// The revisions of the first and the last page of a paged read.
struct RevisionRange {
    std::uint64_t first = 0, last = 0;
};

class Client {
  public:
    // Takes the endpoint and the rates that all controllers share from the settings.
    Client(asio::io_context& io, const config::Settings& settings);

    // Commits a transaction with `writes` writes. The transaction must outlive the call.
    asio::awaitable<CommitResult> commit(const Json& transaction, int writes, double timeoutS);

    // Returns the changes to keys with the prefix since a revision. If there are none, the service waits up to `waitS`
    // seconds for one.
    asio::awaitable<FollowResult> follow(const std::string& prefix, std::uint64_t since, double waitS, double timeoutS);

    // Reads all keys with the prefix, page by page, and passes each to `visit`. The pages may differ in revision: the
    // caller must apply the changes since the first page's revision, and has a consistent state once it has reached the
    // last page's revision. Returns nullopt on failure.
    asio::awaitable<std::optional<RevisionRange>> read_all(const std::string& prefix,
                                                           std::function<void(const Change&)> visit);

    // Acquires a lease and returns its id, or nullopt on failure.
    asio::awaitable<std::optional<std::uint64_t>> grant(double ttlS, double timeoutS);

    // The outcome of a lease renewal.
    enum class Renewal : std::uint8_t { renewed, ended, failed };

    // Extends a lease by its time to live.
    asio::awaitable<Renewal> renew(std::uint64_t leaseId, double timeoutS);

    // Returns the steady time at which the latest answered request was sent, in seconds; kNeverS before the first.
    // Replies that report the service as unavailable do not count.
    double last_contact() const { return lastContactS_; }

    // Returns the limiter of this controller's share of the write rate.
    RateLimiter& writes() { return writes_; }

    // Sets the write rate that all controllers share, in writes per second.
    void set_write_rate(double rps);

  private:
    asio::awaitable<net::Reply> call(net::HttpClient& http, net::verb method, std::string target, std::string body,
                                     double timeoutS);

    net::HttpClient http_;
    // Long polls have a client of their own: a failed request closes the idle connections of its client only.
    net::HttpClient longPoll_;
    RateLimiter requests_, writes_;
    double lastContactS_ = kNeverS;
};

// Returns the outcome's name for logging.
const char* to_string(Client::Renewal renewal);

}  // namespace wellstair::store
