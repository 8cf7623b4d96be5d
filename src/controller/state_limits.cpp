// What this process may write to the state service: the layout of the keys, the switch to a newer one, and the limits
// that hold now or were announced (docs/upgrade.md).
#include <spdlog/spdlog.h>

#include <algorithm>

#include "controller/core.hpp"

namespace wellstair::controller {

namespace {

// How often a controller divides a range in a heartbeat interval: other work goes on between.
constexpr double kSplitsPerHeartbeat = 16;
// Bytes of an entry of a range or chunk, by which production has divided machines and tasks among keys.
constexpr double kEntryBytes = 80;
// Leases for which a key is left alone after the state service has refused its value.
constexpr double kRefusedRest = 1;

}  // namespace

// A chunk of tasks stays well below a value's limit: controllers that place tasks of one job at the same time write
// different chunks, and each change rewrites less. Announced limits do not matter here: all versions and all processes
// must agree on every key.
state::LayoutRecord Core::own_layout() const {
    auto width = static_cast<std::uint32_t>(std::max(1.0, settings_.valueKb * 1024 / kEntryBytes));
    return {state::kLayoutWithSplitShards, std::max(1u, width / 4), width};
}

state::MemberData Core::member_data() const {
    return {incarnation_, settings_.location, state::kLayoutWithSplitShards};
}

// Parts are written once the switch is durable; or when the state service has shown that its limits have fallen, which
// the operators announce for after the upgrade. Production reads parts, and a division compares and changes the very
// key that production's own changes compare: one that came back would do no harm (docs/upgrade.md).
bool Core::splitting_allowed() const {
    return settings_.nextState && (layout_switched() || limitsFell_);
}

config::StateLimits Core::state_limits() const {
    return splitting_allowed() ? settings_.lowest_state_limits() : settings_.state_limits();
}

void Core::handle_rejected_transaction(const std::vector<std::string>& keys, Timestamp now) {
    if (settings_.nextState && !splitting_allowed()) {
        limitsFell_ = true;  // the same changes may fit by the lower limits
        spdlog::info("the state service's limits have fallen: the announced ones hold from now on");
        return;
    }
    for (const std::string& key : keys) rejectedKeysUntil_[key] = now.steady + kRefusedRest * settings_.leaseS;
}

// The layout changes once every member of the settings runs a version that can write it: each says so in its record,
// and the switch rests on all of these.
bool Core::propose_switch(state::TransactionBuilder& builder) const {
    if (!settings_.nextState || state_->layout_revision()) return false;
    auto ready = [&](const std::string& name) {
        auto member = state_->members().find(name);
        return member != state_->members().end() && member->second.layout >= state::kLayoutWithSplitShards;
    };
    if (!ready(settings_.member)) return false;
    if (!std::all_of(settings_.members.begin(), settings_.members.end(), [&](const auto& m) { return ready(m.name); }))
        return false;
    return builder.switch_layout(own_layout());
}

// Ranges that are larger than the announced limit allows are divided before anything has to be changed in them.
void Core::split_shards(state::TransactionBuilder& builder, Timestamp now) {
    if (!splitting_allowed() || now.steady - splitS_ < settings_.heartbeatIntervalS / kSplitsPerHeartbeat) return;
    for (const auto& [key, shard] : state_->shards()) {
        if (shard->size.bytes() <= state_limits().value_bytes() || rejectedKeysUntil_.count(key)) continue;
        if (preferred_leader(*shard) != settings_.member) continue;
        splitS_ = now.steady;
        builder.split(*shard);
        roundDue_ = true;
        return;
    }
}

}  // namespace wellstair::controller
