#include "in_memory_state_store.hpp"

#include <algorithm>

namespace wellstair::test {

using wire::Json;

std::uint64_t InMemoryStateStore::revision_of(const std::string& path) const {
    auto it = keys_.find(path);
    return it == keys_.end() ? 0 : it->second.second;
}

void InMemoryStateStore::enforce_limits(const config::StateLimits& next) {
    limits = next;
    writesLeft_ = next.writeRps;
}

void InMemoryStateStore::set_time(double seconds) {
    if (limits && nowS_) {
        const double refill = std::max(0.0, seconds - *nowS_) * limits->writeRps;
        writesLeft_ = std::min(limits->writeRps, writesLeft_ + refill);
    }
    nowS_ = seconds;
}

std::string InMemoryStateStore::too_large(const Json& transaction) const {
    constexpr std::size_t kTransactionBytes = 64 * 1024;
    if (transaction["apply"].size() > static_cast<std::size_t>(limits->transactionOperations)) return "operations";
    if (transaction["when"].size() > static_cast<std::size_t>(limits->max_preconditions())) return "conditions";
    if (transaction.dump().size() > kTransactionBytes) return "transaction";
    for (const Json& operation : transaction["apply"])
        if (operation.contains("data") && operation["data"].dump().size() > limits->value_bytes())
            return operation["set"];
    return "";
}

std::string InMemoryStateStore::failed_preconditions(const Json& transaction) const {
    std::string failed;
    for (const Json& condition : transaction["when"])
        if (revision_of(condition["path"]) != condition["stamp"].get<std::uint64_t>())
            failed += " " + condition["path"].get<std::string>();
    return failed;
}

void InMemoryStateStore::apply(const Json& operation) {
    if (operation.contains("set")) {
        keys_[operation["set"]] = {operation["data"], revision};
        log.push_back({operation["set"], operation["data"], revision});
    } else {
        keys_.erase(operation["remove"].get<std::string>());
        log.push_back({operation["remove"], std::nullopt, revision});
    }
}

std::string InMemoryStateStore::commit(const Json& transaction) {
    if (limits) {
        if (std::string exceeded = too_large(transaction); !exceeded.empty()) {
            ++refusedAsMalformed;
            return "malformed " + exceeded;
        }
        const auto writes = static_cast<double>(transaction["apply"].size());
        if (nowS_ && writesLeft_ < writes) return "busy";
        writesLeft_ -= writes;
    }
    if (std::string failed = failed_preconditions(transaction); !failed.empty()) return "conflict" + failed;
    ++revision;
    for (const Json& operation : transaction["apply"]) apply(operation);
    return "ok " + std::to_string(revision);
}

void read_changes(const InMemoryStateStore& store, state::StateCache& state, double wallS) {
    for (const auto& change : store.log)
        if (change.revision > state.revision())
            state.apply(change.path, change.data ? &*change.data : nullptr, change.revision, wallS);
    state.advance(store.revision);
}

std::vector<std::string> written_keys(const Json& transaction) {
    std::vector<std::string> keys;
    for (const Json& operation : transaction["apply"])
        keys.push_back(operation[operation.contains("set") ? "set" : "remove"]);
    return keys;
}

}  // namespace wellstair::test
