#include "service/committer.hpp"

#include <spdlog/spdlog.h>

#include <string>
#include <vector>

namespace wellstair::service {

using wire::Json;

namespace {

// The keys that a transaction sets or removes.
struct WrittenKeys {
    std::vector<std::string> keys;
    std::string sizes;  // for the log: each key with the size of its value
};

WrittenKeys written_keys(const state::Transaction& transaction) {
    WrittenKeys out;
    for (const Json& operation : transaction.body["apply"]) {
        const bool sets = operation.contains("set");
        out.keys.push_back(operation[sets ? "set" : "remove"].get<std::string>());
        out.sizes += (out.sizes.empty() ? "" : ", ") + out.keys.back();
        if (sets) out.sizes += " (" + std::to_string(wire::to_text(operation["data"]).size()) + " bytes)";
    }
    return out;
}

void log_transaction(TransactionSource source, const state::Transaction& transaction,
                     const store::CommitResult& result) {
    if (!spdlog::should_log(spdlog::level::debug)) return;
    std::string summary;
    for (const auto& action : transaction.summary) summary += action + "; ";
    spdlog::debug("{} transaction: {}{} at revision {}", to_string(source), summary, to_string(result.outcome),
                  result.revision);
}

}  // namespace

const char* to_string(TransactionSource source) {
    switch (source) {
        case TransactionSource::round:
            return "round";
        case TransactionSource::users:
            return "users";
        case TransactionSource::cloud:
            return "cloud";
    }
    return "";
}

asio::awaitable<store::CommitResult> Committer::commit(TransactionSource source,
                                                       const state::Transaction& transaction) {
    auto result = co_await store_.commit(transaction.body, transaction.writes, kStoreTimeoutS);
    log_transaction(source, transaction, result);
    if (result.outcome == store::Outcome::malformed) handle_malformed(transaction);
    co_return result;
}

void Committer::handle_malformed(const state::Transaction& transaction) {
    const WrittenKeys written = written_keys(transaction);
    spdlog::error("the state service rejected a transaction as malformed: {} writes, {} preconditions, keys {}",
                  transaction.writes, transaction.body["when"].size(), written.sizes);
    context_.core.handle_rejected_transaction(written.keys, now());
    update_write_rate();
}

void Committer::update_write_rate() {
    store_.set_write_rate(context_.core.state_limits().writeRps);
}

}  // namespace wellstair::service
