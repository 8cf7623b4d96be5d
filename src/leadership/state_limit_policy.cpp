#include "leadership/state_limit_policy.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::leadership {

namespace {

// How often a controller splits a shard in a heartbeat interval: other work goes on between.
constexpr double kSplitsPerHeartbeat = 16;
// Bytes of an entry of a shard or chunk. Stored keys were divided by it: a change would change every key.
constexpr double kEntryBytes = 80;
// Leases for which a key is left alone after the state service has refused its value.
constexpr double kRejectedKeyLeases = 1;

}  // namespace

// A chunk of tasks stays well below a value's limit: controllers that place tasks of one job at the same time write
// different chunks, and each change rewrites less. Announced limits do not matter here: all versions and all processes
// must agree on every key.
state::LayoutRecord StateLimitPolicy::own_layout() const {
    auto width = static_cast<std::uint32_t>(std::max(1.0, context_.settings().valueKb * 1024 / kEntryBytes));
    return {state::kLayoutWithSplitShards, std::max(1u, width / 4), width};
}

state::MemberData StateLimitPolicy::member_data() const {
    return {context_.incarnation(), context_.settings().location, state::kLayoutWithSplitShards};
}

bool StateLimitPolicy::layout_switched() const {
    return context_.state().layout().version >= state::kLayoutWithSplitShards;
}

// Shards are split once the layout switch is durable; or when the state service has shown that its limits have fallen,
// which the operators announce for after the upgrade. The version in production reads split shards, and a split
// compares and changes the very key that its own changes compare: one that came back would do no harm
// (docs/upgrade.md).
bool StateLimitPolicy::splitting_allowed() const {
    return context_.settings().nextState && (layout_switched() || limitsFell_);
}

config::StateLimits StateLimitPolicy::limits() const {
    return splitting_allowed() ? context_.settings().lowest_state_limits() : context_.settings().state_limits();
}

state::WriteRules StateLimitPolicy::write_rules() const {
    state::WriteRules rules{limits(), splitting_allowed(), {}};
    for (const auto& [key, until] : rejectedKeysUntil_) rules.rejectedKeys.insert(key);
    return rules;
}

void StateLimitPolicy::handle_rejected_transaction(const std::vector<std::string>& keys, Timestamp now) {
    if (context_.settings().nextState && !splitting_allowed()) {
        limitsFell_ = true;  // the same changes may fit by the lower limits
        spdlog::info("the state service's limits have fallen: the announced ones hold from now on");
        return;
    }
    for (const std::string& key : keys)
        rejectedKeysUntil_[key] = now.steady + kRejectedKeyLeases * context_.settings().leaseS;
}

void StateLimitPolicy::expire_rejections(Timestamp now) {
    std::erase_if(rejectedKeysUntil_, [&](const auto& entry) { return entry.second < now.steady; });
}

bool StateLimitPolicy::can_write_split_shards(const std::string& member) const {
    const auto& members = context_.state().members();
    auto it = members.find(member);
    return it != members.end() && it->second.layout >= state::kLayoutWithSplitShards;
}

bool StateLimitPolicy::propose_layout_switch(state::TransactionBuilder& builder) const {
    const config::Settings& settings = context_.settings();
    if (!settings.nextState || context_.state().layout_revision()) return false;
    if (!can_write_split_shards(settings.member)) return false;
    const bool allReady = std::all_of(settings.members.begin(), settings.members.end(),
                                      [&](const auto& member) { return can_write_split_shards(member.name); });
    return allReady && builder.switch_layout(own_layout());
}

void StateLimitPolicy::split_shards(state::TransactionBuilder& builder, Timestamp now) {
    const double splitIntervalS = context_.settings().heartbeatIntervalS / kSplitsPerHeartbeat;
    if (!splitting_allowed() || now.steady - lastSplitS_ < splitIntervalS) return;
    for (const auto& [key, shard] : context_.state().shards()) {
        if (shard->size.bytes() <= limits().value_bytes() || rejectedKeysUntil_.count(key)) continue;
        if (!assignment_.assigned_to_self(*shard)) continue;
        lastSplitS_ = now.steady;
        builder.split(*shard);
        schedule_.request_round();
        return;
    }
}

}  // namespace wellstair::leadership
