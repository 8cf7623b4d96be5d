// A controller on the state that production stored, and queries on that state, for the tests of the upgrade.
//
// Owns the controller's core but not the state service, so that several processes can use the same store in turn.
// Single-threaded test support.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "controller/core.hpp"
#include "in_memory_state_store.hpp"

namespace wellstair::test {

// The announced limits. Some shards of the production state exceed them.
constexpr config::StateLimits kAnnouncedLimits{2, 15, 5};

// Controller `a` of two. The clock advances by 0.25 s with every round.
class UpgradedController {
  public:
    // Starts a process that is registered and serves. `announcedLimits` are the limits announced in its settings.
    explicit UpgradedController(InMemoryStateStore& store,
                                std::optional<config::StateLimits> announcedLimits = kAnnouncedLimits,
                                std::uint64_t incarnation = 21);

    controller::Core& core() { return *core_; }
    state::StateCache& state() { return core_->state(); }
    controller::Timestamp now() const { return {timeS_, 1'000'200 + timeS_}; }

    // Writes a key as another process, exempt from the limits, and reads the change.
    void put(const std::string& path, const wire::Json& data);
    // Registers the other controller, `b`, as a process of the present version.
    void upgrade_peer(std::uint64_t incarnation = 22);
    // Applies all changes in the state service to the cache.
    void sync();
    // Commits as the service does: reports a rejection for size to the core, and in every case reads the changes and
    // requests another plan. Returns the store's result, or "nothing" for an empty transaction.
    std::string commit(const state::TransactionBuilder& builder);
    // Plans one round and commits it. Returns the result of the commit.
    std::string round();
    void run_rounds(int count);
    // Size in bytes of the largest value in the state service.
    std::size_t largest_value() const;

  private:
    InMemoryStateStore& store_;
    config::Settings settings_;
    std::unique_ptr<controller::Core> core_;
    double timeS_ = 200;
};

// The stored entries of all machines by name. Expects each machine in exactly one shard.
std::map<std::string, state::HostEntry> machines_in(const InMemoryStateStore& store);
// A shard whose value exceeds kAnnouncedLimits, or null.
state::HostShard* oversized_shard(state::StateCache& state);
// The number of placed tasks of all jobs in the queue.
std::size_t placed_tasks(state::StateCache& state);

}  // namespace wellstair::test
