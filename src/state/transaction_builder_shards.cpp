// The part of a transaction that changes machines: registrations, returns, and ranges that have to be divided.
#include <algorithm>

#include "state/transaction_builder.hpp"

namespace wellstair::state {

namespace keys = state::keys;

namespace {

// How full the parts of a divided range are at first: the emptier, the longer until the next division. Fuller ones are
// tried where the transaction has no room for as many.
constexpr double kPartFills[] = {0.6, 0.75, 0.9, 0.98};

}  // namespace

void TransactionBuilder::ShardEdit::set(const state::HostEntry& host) {
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

state::HostShard& TransactionBuilder::shard_for(const std::string& host, state::HostShard& shard) {
    auto it = moved_.find(host);
    return it == moved_.end() ? shard : state_.shard_entry(it->second);
}

TransactionBuilder::ShardEdit* TransactionBuilder::edit_shard(state::HostShard& shard) {
    auto it = shards_.find(shard.key);
    if (it != shards_.end()) return &it->second;
    if (!room(1, 1, shard.size.bytes())) return nullptr;
    it = shards_.try_emplace(shard.key).first;
    for (const state::HostRecord* h : shard.hosts) it->second.set(*h);
    require_unchanged(shard);
    return &it->second;
}

// The machines of an edit in as many parts as needed, none filled by more than `fill`.
std::optional<std::vector<TransactionBuilder::ShardEdit>> TransactionBuilder::pack(const ShardEdit& edit,
                                                                                   std::size_t most,
                                                                                   double fill) const {
    const auto limit = static_cast<std::size_t>(fill * static_cast<double>(rules_.limits.value_bytes()));
    std::vector<ShardEdit> parts(1);
    for (const auto& [name, host] : edit.hosts) {
        parts.back().set(host);
        if (parts.back().size.bytes() <= limit) continue;
        if (parts.size() == most || parts.back().hosts.size() == 1) return std::nullopt;
        parts.back().erase(name);
        parts.emplace_back().set(host);
    }
    return parts;
}

bool TransactionBuilder::keep_within_limit(state::HostShard& shard) {
    const ShardEdit& edit = shards_.at(shard.key);
    if (!rules_.splitShards || edit.size.bytes() <= rules_.limits.value_bytes()) return room(0, 0, 0);
    auto most = static_cast<std::size_t>(std::max(0, rules_.limits.transactionOperations - writes())) + 1;
    std::optional<std::vector<ShardEdit>> parts;
    for (double fill : kPartFills) {
        parts = pack(edit, most, fill);
        if (parts) break;
    }
    if (!parts) return false;
    int more = static_cast<int>(parts->size()) - 1;
    if (!room(more, more, 0)) return false;
    // The machines that stay are the first by name; the others move to parts whose keys sort behind this one.
    std::uint32_t number = state_.next_split(shard);
    shards_[shard.key] = std::move(parts->front());
    for (std::size_t i = 1; i < parts->size(); ++i) {
        std::string key = keys::split_shard_key(shard.key, number);
        while (shards_.count(key)) key = keys::split_shard_key(shard.key, ++number);
        for (const auto& [name, host] : (*parts)[i].hosts) moved_[name] = key;
        require_unchanged(state_.shard_entry(key));
        shards_[key] = std::move((*parts)[i]);
    }
    summary_.push_back("split " + shard.key + " into " + std::to_string(parts->size()));
    return true;
}

template <typename Change>
bool TransactionBuilder::update(state::HostShard& given, const std::string& host, Change change) {
    state::HostShard& shard = shard_for(host, given);
    if (rules_.rejectedKeys.count(shard.key)) return true;
    const bool fresh = !shards_.count(shard.key), compared = preconditions_.count(shard.key) > 0;
    ShardEdit* edit = edit_shard(shard);
    if (!edit) return false;
    std::optional<state::HostEntry> before;
    if (auto it = edit->hosts.find(host); it != edit->hosts.end()) before = it->second;
    change(*edit);
    if (keep_within_limit(shard)) return true;
    if (fresh) {
        shards_.erase(shard.key);
        if (!compared) preconditions_.erase(shard.key);
    } else if (before) {
        edit->set(*before);
    } else {
        edit->erase(host);
    }
    return false;
}

bool TransactionBuilder::register_host(state::HostShard& shard, const state::HostEntry& next, std::uint64_t atLeast) {
    bool fits = update(shard, next.name, [&](ShardEdit& edit) {
        state::HostEntry entry = next;
        auto known = edit.hosts.find(next.name);
        std::uint64_t before = std::max(known == edit.hosts.end() ? 0 : known->second.fencingToken, atLeast);
        // Above every earlier one: those were at most one above a revision that this view has seen, or are known here.
        entry.fencingToken = std::max(state_.revision(), before) + 1;
        edit.set(entry);
    });
    if (fits) summary_.push_back("acquire " + next.name);
    return fits;
}

bool TransactionBuilder::acquire(const wire::Heartbeat& r, const std::string& leader, std::uint64_t incarnation) {
    state::HostRecord* known = state_.host(r.host);
    state::HostShard& shard = known && known->shard ? *known->shard : state_.shard_of(r.host, r.zone);
    state::HostEntry next;
    if (known) next = *known;
    next.name = r.host, next.leader = leader, next.incarnation = incarnation;
    next.address = r.address, next.machineType = r.machineType, next.spot = r.spot;
    return register_host(shard, next, r.fencingToken);
}

bool TransactionBuilder::acquire(state::HostRecord& host, const std::string& leader, std::uint64_t incarnation) {
    state::HostEntry next = host;
    next.leader = leader, next.incarnation = incarnation;
    return register_host(*host.shard, next, 0);
}

bool TransactionBuilder::mark_for_return(const std::string& host, const std::string& zone, std::int64_t atS, bool gone,
                                         const std::string& why) {
    state::HostRecord* known = state_.host(host);
    state::HostShard& shard = known && known->shard ? *known->shard : state_.shard_of(host, zone);
    bool fits = update(shard, host, [&](ShardEdit& edit) {
        auto entry = edit.hosts.find(host);
        state::HostEntry next = entry == edit.hosts.end() ? state::HostEntry{} : entry->second;
        next.name = host;
        next.leaving = gone ? state::Leaving::gone : std::max(next.leaving, state::Leaving::marked);
        next.leavingAtS = atS;
        edit.set(next);
    });
    if (fits) summary_.push_back((gone ? "returned " : "return (" + why + ") ") + host);
    return fits;
}

bool TransactionBuilder::remove_host(state::HostRecord& h) {
    std::string name = h.name;
    bool fits = update(*h.shard, name, [&](ShardEdit& edit) { edit.erase(name); });
    if (fits) summary_.push_back("remove " + name);
    return fits;
}

bool TransactionBuilder::split(state::HostShard& shard) {
    return update(shard, "", [](ShardEdit&) {});
}

}  // namespace wellstair::state
