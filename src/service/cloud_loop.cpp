#include "service/cloud_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace wellstair::service {

using cloud::RentResult;
using wire::Json;
namespace keys = state::keys;

namespace {

constexpr double kTurnsPerHeartbeatInterval = 3;
constexpr double kTypesValidS = 60;
constexpr double kLeastListIntervalS = 2, kListsPerLag = 2;
constexpr int kMostRentCalls = 12;  // in one turn
constexpr int kRentTries = 2;

// Built outside the coroutines: GCC 12 cannot compile such initialisers inside them.
Json type_list(const std::vector<wire::MachineType>& types) {
    Json list = Json::array();
    for (const auto& type : types) list.push_back(to_json(type));
    return {{"builds", std::move(list)}};
}

}  // namespace

bool CloudLoop::may_call() {
    availability_.update();
    return context_.core.may_call_cloud();
}

asio::awaitable<void> CloudLoop::run() {
    controller::Core& core = context_.core;
    for (;;) {
        const double pauseS = context_.settings.heartbeatIntervalS / kTurnsPerHeartbeatInterval;
        co_await net::sleep_for(context_.io, net::jitter(pauseS));
        if (core.availability() != state::Availability::serving || !core.member_revision()) continue;
        if (core.may_take_cloud_role()) co_await take_role();
        if (!may_call()) continue;
        const double nowS = net::steady_now();
        co_await refresh_types(nowS);
        co_await refresh_machines(nowS);
        // First what goes: the return of a machine that hangs with a cancelled task has a deadline, renting has none.
        co_await scale_in();
        co_await scale_out();
    }
}

asio::awaitable<void> CloudLoop::take_role() {
    state::TransactionBuilder builder = context_.core.new_transaction();
    context_.core.take_cloud_role(builder, membership_.lease_id());
    co_await commit(std::move(builder));
    if (context_.core.holds_cloud_role()) spdlog::info("took the cloud role");
}

asio::awaitable<void> CloudLoop::refresh_types(double nowS) {
    if (!context_.core.state().machine_types().empty() && nowS - typesReadS_ <= kTypesValidS) co_return;
    auto types = co_await cloud_.list_machine_types();
    if (!types) co_return;
    typesReadS_ = nowS;
    co_await write_types(std::move(*types));
}

asio::awaitable<void> CloudLoop::write_types(std::vector<wire::MachineType> types) {
    controller::Core& core = context_.core;
    Json list = type_list(types);
    if (const std::size_t size = list.dump().size(); size > core.state_limits().value_bytes()) {
        spdlog::error("{} of {} bytes is larger than a value may be: not written", keys::kMachineTypes, size);
        co_return;
    }
    state::TransactionBuilder builder = core.new_transaction();
    builder.put(keys::kMachineTypes, core.state().machine_types_revision(), std::move(list), 0);
    co_await commit(std::move(builder));
}

asio::awaitable<void> CloudLoop::refresh_machines(double nowS) {
    if (!may_call()) co_return;
    const double intervalS = std::max(kLeastListIntervalS, context_.settings.listLagS / kListsPerLag);
    if (nowS - machinesReadS_ <= intervalS) co_return;
    auto machines = co_await cloud_.list_machines();
    if (!machines) co_return;
    machinesReadS_ = nowS;
    context_.core.set_machines(std::move(*machines), now());
}

asio::awaitable<void> CloudLoop::scale_in() {
    const std::vector<std::string> due = context_.core.scale_in_due(now());
    if (due.empty() || !may_call()) co_return;
    const bool returned = co_await cloud_.return_hosts(due);
    if (!returned) co_return;
    spdlog::info("scaled in {} machines, first {}", due.size(), due.front());
    state::TransactionBuilder builder = context_.core.new_transaction();
    context_.core.mark_gone(builder, due, now());
    co_await commit(std::move(builder));
}

// One request at a time, and a new look after each: what one kind cannot give, the next may.
asio::awaitable<void> CloudLoop::scale_out() {
    controller::Core& core = context_.core;
    core.plan_scale_out(now());
    for (int calls = 0; calls < kMostRentCalls; ++calls) {
        auto requests = core.scale_out_requests(now());
        if (requests.empty() || !may_call()) break;
        const controller::ScaleOutRequest request = requests.front();
        RentResult result = co_await rent(request);
        if (result.kind == RentResult::Kind::rented) core.record_rented(request, result.hosts, now());
        if (result.kind == RentResult::Kind::refused) core.record_refused(request, now());
        if (result.kind == RentResult::Kind::failed) break;
    }
}

asio::awaitable<RentResult> CloudLoop::rent(controller::ScaleOutRequest request) {
    const std::string requestName = next_request_name();
    RentResult result;
    for (int tries = 0; tries < kRentTries && may_call(); ++tries) {
        result = co_await cloud_.rent(requestName, request.machineType, request.zone, request.spot, request.number);
        if (result.kind != RentResult::Kind::failed) break;
    }
    spdlog::info("scale out {} {} in {}{}: {} machines", request.number, request.machineType, request.zone,
                 request.spot ? " (spot)" : "", result.hosts.size());
    co_return result;
}

// Never used again, not even by another process: it carries the incarnation.
std::string CloudLoop::next_request_name() {
    return "r-" + std::to_string(context_.core.incarnation()) + "-" + std::to_string(++rentRequests_);
}

asio::awaitable<void> CloudLoop::commit(state::TransactionBuilder builder) {
    if (builder.empty()) co_return;
    const state::Transaction transaction = builder.build();
    auto result = co_await committer_.commit(TransactionSource::cloud, transaction);
    if (result.outcome == store::Outcome::no_lease) membership_.forget_lease();
    if (result.outcome == store::Outcome::applied)
        co_await readBarrier_.wait_for_revision(result.revision, kStoreTimeoutS);
    else
        co_await readBarrier_.wait(kStoreTimeoutS);
}

}  // namespace wellstair::service
