#include "service/state_reader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>
#include <string>

namespace wellstair::service {

using store::FollowResult;

namespace {

constexpr double kMeanRetryPauseS = 0.2;  // mean pause after a failed read
constexpr double kLongPollS = 5;          // the state service responds after this time if nothing changes
constexpr double kLongPollTimeoutS = 6.5;
constexpr double kRequestKinds = 4;  // kinds of requests that share the rate evenly

}  // namespace

double min_read_interval(const config::Settings& settings) {
    return kRequestKinds * settings.controller_count() / settings.stateRps;
}

asio::awaitable<void> StateReader::run() {
    for (;;) {
        if (context_.core.state_ready()) {
            co_await follow_once();
            continue;
        }
        const bool loaded = co_await load();
        if (!loaded) co_await net::sleep_for(context_.io, net::jitter(kMeanRetryPauseS));
    }
}

asio::awaitable<bool> StateReader::load() {
    controller::Core& core = context_.core;
    core.reset_state();
    ++loadCount_;
    const double wallS = net::wall_now();
    // The pages are read one after the other, at different revisions. Changes are applied from the revision of the
    // first page on, and the cached state is consistent once it has reached the revision of the last page.
    auto revisions = co_await store_.read_all(state::keys::kPrefix, [&core, wallS](const store::Change& change) {
        core.state().apply(change.path, change.data ? &*change.data : nullptr, change.revision, wallS);
    });
    if (!revisions) co_return false;
    core.state().advance(revisions->first);
    do {  // at least once: the age of the cached state is measured from this read
        auto read = co_await store_.follow(state::keys::kPrefix, core.state().revision(), 0, kStoreTimeoutS);
        if (read.kind != FollowResult::Kind::ok) co_return false;
        apply(read);
    } while (core.state().revision() < revisions->last);
    require_same_layout();
    core.set_state_ready(true);
    context_.signals.stateChanged.notify();
    spdlog::info("loaded the state at revision {}: {} open jobs, {} hosts", core.state().revision(),
                 core.state().queue().size(), core.state().hosts().size());
    co_return true;
}

void StateReader::require_same_layout() const {
    const state::LayoutRecord stored = context_.core.state().layout();
    const state::LayoutRecord own = context_.core.own_layout();
    if (!stored.version) return;
    if (stored.chunkSize != own.chunkSize || stored.shardWidth != own.shardWidth)
        throw std::runtime_error(
            "state.value_kb does not match the stored keys, which use chunk size " + std::to_string(stored.chunkSize) +
            " and shard width " + std::to_string(stored.shardWidth) + " instead of " + std::to_string(own.chunkSize) +
            " and " + std::to_string(own.shardWidth) + "; use the value of the running controllers");
}

asio::awaitable<void> StateReader::follow_once() {
    controller::Core& core = context_.core;
    const double minIntervalS = min_read_interval(context_.settings);
    const double startS = net::steady_now();
    const std::uint64_t loadCount = loadCount_;
    auto read = co_await store_.follow(state::keys::kPrefix, core.state().revision(), kLongPollS, kLongPollTimeoutS);
    if (read.kind == FollowResult::Kind::gone) {
        core.set_state_ready(false);
        co_return;
    }
    const bool succeeded = read.kind == FollowResult::Kind::ok;
    if (succeeded && loadCount == loadCount_) apply(read);
    const double elapsedS = net::steady_now() - startS;
    if (!succeeded)
        co_await net::sleep_for(context_.io, net::jitter(kMeanRetryPauseS));
    else if (elapsedS < minIntervalS)
        co_await net::sleep_for(context_.io, minIntervalS - elapsedS);
}

void StateReader::apply(const FollowResult& read) {
    state::StateCache& state = context_.core.state();
    bool changed = false;
    const double wallS = net::wall_now();
    for (const auto& change : read.changes) {
        if (change.revision <= state.revision()) continue;
        state.apply(change.path, change.data ? &*change.data : nullptr, change.revision, wallS);
        changed = true;
    }
    state.advance(read.revision);
    lastReadS_ = std::max(lastReadS_, read.sentS);
    if (changed) {
        context_.core.request_round();
        context_.signals.roundDue.notify();
    }
    context_.signals.stateChanged.notify();
}

void StateReader::apply_own(const state::Transaction& transaction, std::uint64_t revision) {
    if (revision != context_.core.state().revision() + 1) return;
    FollowResult written;  // `sentS` stays unset: a write does not show what other controllers have written
    written.revision = revision;
    for (const wire::Json& operation : transaction.body["apply"]) {
        const bool sets = operation.contains("set");
        store::Change change;
        change.path = operation[sets ? "set" : "remove"].get<std::string>();
        if (sets) change.data = operation["data"];
        change.revision = revision;
        written.changes.push_back(std::move(change));
    }
    apply(written);
}

}  // namespace wellstair::service
