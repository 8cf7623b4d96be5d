#include "leadership/state_limit_policy.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace wellstair::leadership {

namespace {

// Shards that a controller may split in one heartbeat interval; the pauses leave time for other work.
constexpr double kSplitsPerHeartbeat = 16;
// Bytes of an entry of a shard or chunk. It determines how stored keys are divided: changing it would change every key.
constexpr double kEntryBytes = 80;
// Leases for which a key is not written after the state service has refused its value.
constexpr double kRejectedKeyLeases = 1;

}  // namespace

// A chunk of tasks is kept well below the limit of a value: controllers that place tasks of one job concurrently write
// different chunks, and each change rewrites less. Announced limits are not used here, because all versions and all
// processes must derive the same keys.
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

// Shards are split once the layout switch is durable, or once a refused transaction shows that the state service's
// limits were lowered, which operators announce for after the upgrade. A controller of the production version that
// returns after that does no harm: it reads split shards, and a split compares and changes the same key that the
// changes of that version compare (docs/upgrade.md).
bool StateLimitPolicy::splitting_allowed() const {
    return context_.settings().nextStateLimits && (layout_switched() || announcedLimitsInEffect_);
}

config::StateLimits StateLimitPolicy::limits() const {
    return splitting_allowed() ? context_.settings().lowest_state_limits() : context_.settings().state_limits();
}

state::WriteRules StateLimitPolicy::write_rules() const {
    state::WriteRules rules{limits(), splitting_allowed(), {}};
    for (const auto& [key, until] : rejectedKeysUntilS_) rules.rejectedKeys.insert(key);
    return rules;
}

void StateLimitPolicy::handle_rejected_transaction(const std::vector<std::string>& keys, Timestamp now) {
    if (context_.settings().nextStateLimits && !splitting_allowed()) {
        announcedLimitsInEffect_ = true;  // the same changes may fit within the lower limits
        spdlog::info("state service refused a transaction within its current limits; applying the announced limits");
        return;
    }
    for (const std::string& key : keys)
        rejectedKeysUntilS_[key] = now.steady + kRejectedKeyLeases * context_.settings().leaseS;
}

void StateLimitPolicy::expire_rejections(Timestamp now) {
    std::erase_if(rejectedKeysUntilS_, [&](const auto& entry) { return entry.second < now.steady; });
}

bool StateLimitPolicy::can_write_split_shards(const std::string& member) const {
    const auto& members = context_.state().members();
    auto it = members.find(member);
    return it != members.end() && it->second.layout >= state::kLayoutWithSplitShards;
}

bool StateLimitPolicy::propose_layout_switch(state::TransactionBuilder& builder) const {
    const config::Settings& settings = context_.settings();
    if (!settings.nextStateLimits || context_.state().layout_revision()) return false;
    if (!can_write_split_shards(settings.member)) return false;
    const bool allReady = std::all_of(settings.members.begin(), settings.members.end(),
                                      [&](const auto& member) { return can_write_split_shards(member.name); });
    return allReady && builder.switch_layout(own_layout());
}

void StateLimitPolicy::split_shards(state::TransactionBuilder& builder, Timestamp now) {
    const double splitIntervalS = context_.settings().heartbeatIntervalS / kSplitsPerHeartbeat;
    if (!splitting_allowed() || now.steady - lastSplitS_ < splitIntervalS) return;
    for (const auto& [key, shard] : context_.state().shards()) {
        if (shard->size.bytes() <= limits().value_bytes() || rejectedKeysUntilS_.count(key)) continue;
        if (!assignment_.assigned_to_self(*shard)) continue;
        lastSplitS_ = now.steady;
        builder.split(*shard);
        schedule_.request_round();
        return;
    }
}

}  // namespace wellstair::leadership
