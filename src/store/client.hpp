// The state service: its requests, our share of its rates, and time-outs.
#pragma once

#include <functional>
#include <optional>

#include "net/http.hpp"
#include "wire/codec.hpp"

namespace wellstair::store {

namespace asio = boost::asio;
using wire::Json;

// A share of a rate that all controllers draw on. Grows slowly while requests are served and is cut when one is
// refused, never below the even share.
class RateLimiter {
  public:
    RateLimiter(double total, int members, double now);
    void spend(double n, double now);
    double wait_for(double n, double now);  // seconds until n can be spent, n at most the burst
    void served(double now);
    void refused(double now);
    void set_total(double total, double now);

  private:
    void refill(double now);
    int members_;
    double total_, fair_, rate_, tokens_, at_;
};

enum class Outcome { applied, conflict, no_lease, busy, unavailable, unknown, malformed };
const char* to_string(Outcome outcome);

struct CommitResult {
    Outcome outcome = Outcome::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed;
};

struct Change {
    std::string path;
    std::optional<Json> data;  // nothing: removed
    std::uint64_t revision = 0;
};

struct FollowResult {
    enum Kind { ok, gone, failed } kind = failed;
    std::uint64_t revision = 0;
    std::vector<Change> changes;
    double sentS = -1e9;  // steady time at which it was asked for: what it tells is no older than that
};

struct RevisionRange {
    std::uint64_t first = 0, last = 0;
};

class Client {
  public:
    Client(asio::io_context& io, const config::Settings& settings);

    asio::awaitable<CommitResult> commit(const Json& transaction, int writes, double timeoutS);
    asio::awaitable<FollowResult> follow(const std::string& prefix, std::uint64_t since, double waitS, double timeoutS);
    // All keys below the prefix; `epoch` is of the first page, where the watch has to begin. Nothing on failure.
    asio::awaitable<std::optional<RevisionRange>> read_all(const std::string& prefix,
                                                           std::function<void(const Change&)> each);
    asio::awaitable<std::optional<std::uint64_t>> grant(double ttlS, double timeoutS);
    enum class Renewal { renewed, ended, failed };
    asio::awaitable<Renewal> renew(std::uint64_t leaseId, double timeoutS);

    double last_ok() const { return lastOk_; }  // steady time of the last served request of any kind, as it was sent
    RateLimiter& writes() { return writes_; }
    // The rate of writes that all controllers share.
    void set_write_rate(double rps);

  private:
    asio::awaitable<net::Reply> call(net::verb method, std::string target, std::string body, double timeoutS,
                                     bool watch = false);
    asio::io_context& io_;
    net::HttpClient http_, watch_;
    RateLimiter requests_, writes_;
    double lastOk_ = -1e9;
};

}  // namespace wellstair::store
