#include "upgrade_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "site_settings.hpp"

namespace wellstair::test {

UpgradedController::UpgradedController(InMemoryStateStore& store, std::optional<config::StateLimits> announcedLimits,
                                       std::uint64_t incarnation)
    : store_(store), settings_(site_settings()) {
    settings_.member = "a";
    settings_.location = "a";
    settings_.members = {{"b", "b", {}}};
    settings_.teams = {{"red", 16, 400, 0, 0}, {"blue", 8, 0, 0, 0}};
    settings_.nextStateLimits = announcedLimits;
    core_ = std::make_unique<controller::Core>(settings_, controller::Tunables{}, incarnation);
    sync();
    put("ws/members/a", core_->member_data().encode());
    core_->set_state_ready(true);
    core_->set_availability(state::Availability::serving, now());
}

void UpgradedController::put(const std::string& path, const wire::Json& data) {
    const auto limits = std::exchange(store_.limits, std::nullopt);
    wire::Json transaction;
    transaction["when"] = wire::Json::array();
    transaction["apply"] = wire::Json::array({{{"set", path}, {"data", data}}});
    store_.commit(transaction);
    store_.limits = limits;
    sync();
}

void UpgradedController::upgrade_peer(std::uint64_t incarnation) {
    put("ws/members/b", state::MemberData{incarnation, "b", state::kLayoutWithSplitShards}.encode());
}

void UpgradedController::sync() {
    read_changes(store_, state(), now().wall);
    core_->request_replan();
}

std::string UpgradedController::commit(const state::TransactionBuilder& builder) {
    if (builder.empty()) return "nothing";
    auto transaction = builder.build();
    const std::string result = store_.commit(transaction.body);
    if (result.starts_with("malformed")) core_->handle_rejected_transaction(written_keys(transaction.body), now());
    sync();
    return result;
}

std::string UpgradedController::round() {
    timeS_ += 0.25;
    store_.set_time(timeS_);
    core_->advance_time(now());
    return commit(core_->round(now()));
}

void UpgradedController::run_rounds(int count) {
    for (int i = 0; i < count; ++i) round();
}

std::size_t UpgradedController::largest_value() const {
    std::size_t size = 0;
    for (const auto& [key, value] : store_.keys()) size = std::max(size, value.first.dump().size());
    return size;
}

std::map<std::string, state::HostEntry> machines_in(const InMemoryStateStore& store) {
    std::map<std::string, state::HostEntry> machines;
    for (const auto& [key, value] : store.keys()) {
        if (!key.starts_with("ws/hosts/")) continue;
        for (const auto& host : state::decode_shard(value.first)) {
            EXPECT_TRUE(machines.emplace(host.name, host).second) << host.name << " is in several shards";
        }
    }
    return machines;
}

state::HostShard* oversized_shard(state::StateCache& state) {
    for (const auto& [key, shard] : state.shards())
        if (shard->size.bytes() > kAnnouncedLimits.value_bytes()) return shard.get();
    return nullptr;
}

std::size_t placed_tasks(state::StateCache& state) {
    std::size_t count = 0;
    for (const auto& [order, job] : state.queue()) count += job->placed;
    return count;
}

}  // namespace wellstair::test
