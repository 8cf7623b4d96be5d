#include "service/state_reader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>

namespace wellstair::service {

using store::FollowResult;

namespace {

constexpr double kMeanRetryPauseS = 0.2;  // mean pause after a failed read
constexpr double kLongPollS = 5, kLongPollTimeoutS = 6.5;
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
    // Pages are read one after the other: the changes are followed from the first one's revision, and the cached state
    // counts as ready once it has caught up with the last one's.
    auto revisions = co_await store_.read_all(state::keys::kPrefix, [&core, wallS](const store::Change& change) {
        core.state().apply(change.path, change.data ? &*change.data : nullptr, change.revision, wallS);
    });
    if (!revisions) co_return false;
    core.state().advance(revisions->first);
    do {  // once at least: the age of the cached state counts from this read
        auto read = co_await store_.follow(state::keys::kPrefix, core.state().revision(), 0, kStoreTimeoutS);
        if (read.kind != FollowResult::Kind::ok) co_return false;
        apply(read);
    } while (core.state().revision() < revisions->last);
    require_same_layout();
    core.set_state_ready(true);
    context_.signals.stateChanged.notify();
    spdlog::info("read the state at revision {}: {} open jobs, {} hosts", core.state().revision(),
                 core.state().queue().size(), core.state().hosts().size());
    co_return true;
}

void StateReader::require_same_layout() const {
    const state::LayoutRecord stored = context_.core.state().layout();
    const state::LayoutRecord own = context_.core.own_layout();
    if (!stored.version) return;
    if (stored.chunkSize != own.chunkSize || stored.shardWidth != own.shardWidth)
        throw std::runtime_error("state.value_kb differs from the one that the stored keys were made with");
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
    bool moved = false;
    const double wallS = net::wall_now();
    for (const auto& change : read.changes) {
        if (change.revision <= state.revision()) continue;
        state.apply(change.path, change.data ? &*change.data : nullptr, change.revision, wallS);
        moved = true;
    }
    state.advance(read.revision);
    lastReadS_ = std::max(lastReadS_, read.sentS);
    if (moved) {
        context_.core.request_round();
        context_.signals.roundDue.notify();
    }
    context_.signals.stateChanged.notify();
}

void StateReader::apply_own(const state::Transaction& transaction, std::uint64_t revision) {
    if (revision != context_.core.state().revision() + 1) return;
    FollowResult written;  // without a time of sending: a write tells nothing of what others have written
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
