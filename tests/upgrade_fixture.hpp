// A controller on the data that production stored, and questions to that data, for the tests of the upgrade.
//
// Owns the controller's core; the state service stands outside, so that one process can follow another on it.
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

// The announced limits: some shards of production are too large for them.
constexpr config::StateLimits kAnnouncedLimits{2, 15, 5};

// Controller `a` of two. Time passes by a quarter of a second a round.
class UpgradedController {
  public:
    // A new process that has registered and serves; `next` are the limits announced in its settings.
    explicit UpgradedController(InMemoryStateStore& store,
                                std::optional<config::StateLimits> announcedLimits = kAnnouncedLimits,
                                std::uint64_t incarnation = 21);

    controller::Core& core() { return *core_; }
    state::StateCache& state() { return core_->state(); }
    controller::Timestamp now() const { return {timeS_, 1'000'200 + timeS_}; }

    // Another process's write, to which no limits apply, read here at once.
    void put(const std::string& path, const wire::Json& data);
    // The other controller, `b`, runs the present version from now on.
    void upgrade_peer(std::uint64_t incarnation = 22);
    // Reads all changes.
    void sync();
    // As the service does: a refusal for size is told to the core, anything else is read back and tried again. Returns
    // the store's answer, or "nothing".
    std::string commit(const state::TransactionBuilder& builder);
    // One round of planning, and its commit.
    std::string round();
    void run_rounds(int count);
    // Size of the largest value in the state service, in bytes.
    std::size_t largest_value() const;

  private:
    InMemoryStateStore& store_;
    config::Settings settings_;
    std::unique_ptr<controller::Core> core_;
    double timeS_ = 200;
};

// Every machine with its leader, fencing token, address and mark; expects that it is in exactly one shard.
std::map<std::string, state::HostEntry> machines_in(const InMemoryStateStore& store);
// Some shard whose value is larger than kAnnouncedLimits allow, or null.
state::HostShard* oversized_shard(state::StateCache& state);
// The number of tasks that are placed.
std::size_t placed_tasks(state::StateCache& state);

}  // namespace wellstair::test
