// Stands in for the state service, by its protocol: compare-and-swap transactions with preconditions, one revision per
// transaction, and its limits on size and rate once they are enforced.
//
// Owns all keys and the log of changes. Single-threaded test support.
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
    // One key that was written, or removed if it has no data.
    struct Change {
        std::string path;
        std::optional<wire::Json> data;
        std::uint64_t revision;
    };
    using Keys = std::map<std::string, std::pair<wire::Json, std::uint64_t>>;

    // Applies a transaction or refuses it as a whole. Answers "ok REVISION", "conflict KEY ..." with each key whose
    // precondition failed, "malformed WHY" (400, too large) or "busy" (429, above the rate of writes).
    std::string commit(const wire::Json& transaction);
    // From now on values and transactions are limited in size, and writes by the time that passes (set_time).
    void enforce_limits(const config::StateLimits& next);
    // Tells the time, in seconds of any clock that only goes forward.
    void set_time(double seconds);
    // The revision at which the key was last written; 0 without one.
    std::uint64_t revision_of(const std::string& path) const;
    // All keys with their values and revisions.
    const Keys& keys() const { return keys_; }

    std::optional<config::StateLimits> limits;  // enforced, if set
    int refusedAsMalformed = 0;                 // transactions
    std::uint64_t revision = 0;                 // of the last transaction
    std::vector<Change> log;                    // by revision

  private:
    // What of the transaction is too large, or "".
    std::string too_large(const wire::Json& transaction) const;
    // The keys whose preconditions fail, each after a space.
    std::string failed_preconditions(const wire::Json& transaction) const;
    void apply(const wire::Json& operation);

    Keys keys_;
    std::optional<double> nowS_;
    double writesLeft_ = 0;
};

// Brings a cache up to what the store holds, as reading the watch does. `wallS` is the time of reading.
void read_changes(const InMemoryStateStore& store, state::StateCache& state, double wallS);
// The keys that a transaction writes or removes.
std::vector<std::string> written_keys(const wire::Json& transaction);

}  // namespace wellstair::test
