// The part of TransactionBuilder that changes hosts: registration, return and shard splits.
#include <algorithm>

#include "state/fencing_tokens.hpp"
#include "state/transaction_builder.hpp"

namespace wellstair::state {

namespace {

// Maximum fill of the shards after a split, relative to the size limit. Emptier shards delay the next split; the higher
// fills are tried in turn if the transaction cannot hold the number of shards that a lower one takes.
constexpr double kSplitFills[] = {0.6, 0.75, 0.9, 0.98};

}  // namespace

void TransactionBuilder::ShardEdit::set(const HostEntry& host) {
    erase(host.name);
    size.add(host);
    hosts[host.name] = host;
}

void TransactionBuilder::ShardEdit::erase(const std::string& name) {
    auto it = hosts.find(name);
    if (it == hosts.end()) return;
    size.remove(it->second);
    hosts.erase(it);
}

HostShard& TransactionBuilder::shard_for(const std::string& host, HostShard& shard) {
    auto it = movedHosts_.find(host);
    return it == movedHosts_.end() ? shard : state_.shard_entry(it->second);
}

TransactionBuilder::ShardEdit* TransactionBuilder::edit_shard(HostShard& shard) {
    auto it = shards_.find(shard.key);
    if (it != shards_.end()) return &it->second;
    if (!has_room(1, 1, shard.size.bytes())) return nullptr;
    it = shards_.try_emplace(shard.key).first;
    for (const HostRecord* host : shard.hosts) it->second.set(*host);
    require_unchanged(shard);
    return &it->second;
}

std::optional<std::vector<TransactionBuilder::ShardEdit>> TransactionBuilder::pack(const ShardEdit& edit,
                                                                                   std::size_t maxShards,
                                                                                   double fill) const {
    const auto limit = static_cast<std::size_t>(fill * static_cast<double>(rules_.limits.value_bytes()));
    std::vector<ShardEdit> shards(1);
    for (const auto& [name, host] : edit.hosts) {
        shards.back().set(host);
        if (shards.back().size.bytes() <= limit) continue;
        if (shards.size() == maxShards || shards.back().hosts.size() == 1) return std::nullopt;
        shards.back().erase(name);
        shards.emplace_back().set(host);
    }
    return shards;
}

bool TransactionBuilder::keep_within_limit(HostShard& shard) {
    const ShardEdit& edit = shards_.at(shard.key);
    if (!rules_.splitShards || edit.size.bytes() <= rules_.limits.value_bytes()) return has_room(0, 0, 0);
    const auto maxShards = static_cast<std::size_t>(std::max(0, rules_.limits.transactionOperations - writes())) + 1;
    std::optional<std::vector<ShardEdit>> shards;
    for (double fill : kSplitFills) {
        shards = pack(edit, maxShards, fill);
        if (shards) break;
    }
    if (!shards) return false;
    int addedShards = static_cast<int>(shards->size()) - 1;
    if (!has_room(addedShards, addedShards, 0)) return false;
    // The first hosts by name stay; the others move to shards whose keys sort after this one.
    std::uint32_t part = state_.next_split_part(shard);
    shards_[shard.key] = std::move(shards->front());
    for (std::size_t i = 1; i < shards->size(); ++i) {
        std::string key = keys::split_shard_key(shard.key, part);
        while (shards_.count(key)) key = keys::split_shard_key(shard.key, ++part);
        for (const auto& [name, host] : (*shards)[i].hosts) movedHosts_[name] = key;
        require_unchanged(state_.shard_entry(key));
        shards_[key] = std::move((*shards)[i]);
    }
    summary_.push_back("split " + shard.key + " into " + std::to_string(shards->size()));
    return true;
}

template <typename Change>
bool TransactionBuilder::update(HostShard& listed, const std::string& host, Change change) {
    HostShard& shard = shard_for(host, listed);
    if (rules_.rejectedKeys.count(shard.key)) return true;
    const bool newEdit = !shards_.count(shard.key), compared = preconditions_.count(shard.key) > 0;
    ShardEdit* edit = edit_shard(shard);
    if (!edit) return false;
    std::optional<HostEntry> before;
    if (auto it = edit->hosts.find(host); it != edit->hosts.end()) before = it->second;
    change(*edit);
    if (keep_within_limit(shard)) return true;
    if (newEdit) {
        shards_.erase(shard.key);
        if (!compared) preconditions_.erase(shard.key);
    } else if (before) {
        edit->set(*before);
    } else {
        edit->erase(host);
    }
    return false;
}

bool TransactionBuilder::register_host(HostShard& shard, const HostEntry& next, std::uint64_t knownToken) {
    bool fits = update(shard, next.name, [&](ShardEdit& edit) {
        HostEntry entry = next;
        auto known = edit.hosts.find(next.name);
        std::uint64_t highest = std::max(known == edit.hosts.end() ? 0 : known->second.fencingToken, knownToken);
        // Higher than every earlier token: each of those is known here or at most one above a revision in the cache.
        entry.fencingToken = next_registration_token(std::max(state_.revision(), highest));
        edit.set(entry);
    });
    if (fits) summary_.push_back("acquire " + next.name);
    return fits;
}

bool TransactionBuilder::acquire(const wire::Heartbeat& heartbeat, const std::string& leader,
                                 std::uint64_t incarnation) {
    const HostRecord* known = state_.host(heartbeat.host);
    HostShard& shard = known && known->shard ? *known->shard : state_.shard_of(heartbeat.host, heartbeat.zone);
    HostEntry next;
    if (known) next = *known;
    next.name = heartbeat.host;
    next.leader = leader;
    next.incarnation = incarnation;
    next.address = heartbeat.address;
    next.machineType = heartbeat.machineType;
    next.spot = heartbeat.spot;
    return register_host(shard, next, heartbeat.fencingToken);
}

bool TransactionBuilder::acquire(HostRecord& host, const std::string& leader, std::uint64_t incarnation) {
    HostEntry next = host;
    next.leader = leader;
    next.incarnation = incarnation;
    return register_host(*host.shard, next, 0);
}

bool TransactionBuilder::mark_for_return(const std::string& host, const std::string& zone, std::int64_t atS, bool gone,
                                         const std::string& reason) {
    HostRecord* known = state_.host(host);
    HostShard& shard = known && known->shard ? *known->shard : state_.shard_of(host, zone);
    bool fits = update(shard, host, [&](ShardEdit& edit) {
        auto entry = edit.hosts.find(host);
        HostEntry next = entry == edit.hosts.end() ? HostEntry{} : entry->second;
        next.name = host;
        next.returnState = gone ? ReturnState::gone : std::max(next.returnState, ReturnState::marked);
        next.returnStateAtS = atS;
        edit.set(next);
    });
    if (fits) summary_.push_back((gone ? "returned " : "return (" + reason + ") ") + host);
    return fits;
}

bool TransactionBuilder::remove_host(HostRecord& host) {
    const std::string name = host.name;
    bool fits = update(*host.shard, name, [&](ShardEdit& edit) { edit.erase(name); });
    if (fits) summary_.push_back("remove " + name);
    return fits;
}

bool TransactionBuilder::split(HostShard& shard) {
    return update(shard, "", [](ShardEdit&) {});
}

}  // namespace wellstair::state
