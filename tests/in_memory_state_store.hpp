// Fake of the state service that implements its protocol: compare-and-swap transactions with preconditions, one
// revision per transaction, and, once enforced, the limits on size and write rate.
//
// Owns all keys and the change log. Single-threaded test support.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "state/state_cache.hpp"

namespace wellstair::test {

class InMemoryStateStore {
  public:
    // A write of one key, or its removal if there is no data.
    struct Change {
        std::string path;
        std::optional<wire::Json> data;
        std::uint64_t revision;
    };
    using Keys = std::map<std::string, std::pair<wire::Json, std::uint64_t>>;

    // Applies a transaction atomically or rejects it. Returns "ok REVISION", "conflict KEY ..." with each key whose
    // precondition failed, "malformed REASON" (400, too large) or "busy" (429, above the write rate).
    std::string commit(const wire::Json& transaction);
    // From now on limits the size of values and transactions, and, by the clock of set_time, the rate of writes.
    void enforce_limits(const config::StateLimits& next);
    // Sets the clock, in seconds; it must not go backwards.
    void set_time(double seconds);
    // The revision at which the key was last written; 0 if it does not exist.
    std::uint64_t revision_of(const std::string& path) const;
    // All keys with their values and revisions.
    const Keys& keys() const { return keys_; }

    std::optional<config::StateLimits> limits;  // enforced if set
    int refusedAsMalformed = 0;                 // number of transactions
    std::uint64_t revision = 0;                 // of the last transaction
    std::vector<Change> log;                    // in order of revision

  private:
    // The limit or key whose size the transaction exceeds; empty if none.
    std::string too_large(const wire::Json& transaction) const;
    // The keys whose preconditions fail, each with a leading space.
    std::string failed_preconditions(const wire::Json& transaction) const;
    void apply(const wire::Json& operation);

    Keys keys_;
    std::optional<double> nowS_;
    double writesLeft_ = 0;
};

// Applies the store's changes to a cache as watch events. `wallS` is the wall-clock time of the read.
void read_changes(const InMemoryStateStore& store, state::StateCache& state, double wallS);
// The keys written or removed by a transaction.
std::vector<std::string> written_keys(const wire::Json& transaction);

}  // namespace wellstair::test
