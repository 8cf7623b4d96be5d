#include "service/cloud_loop.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace wellstair::service {

using cloud::RentResult;
using wire::Json;
namespace keys = state::keys;

namespace {

constexpr double kIterationsPerHeartbeatInterval = 3;
constexpr double kTypesValidS = 60;      // after it the machine types are read again
constexpr double kMinListIntervalS = 2;  // between two reads of the machine list
constexpr double kListsPerListLag = 2;   // reads of the machine list within `list_lag_s`
constexpr int kMaxRentCalls = 12;        // per iteration
constexpr int kMaxRentAttempts = 2;      // per rent request

// Not part of a coroutine: GCC 12 cannot compile braced JSON initialisers inside one.
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
        const double pauseS = context_.settings.heartbeatIntervalS / kIterationsPerHeartbeatInterval;
        co_await net::sleep_for(context_.io, net::jitter(pauseS));
        if (core.availability() != state::Availability::serving || !core.member_revision()) continue;
        if (core.may_take_cloud_role()) co_await acquire_role();
        if (!may_call()) continue;
        const double nowS = net::steady_now();
        co_await refresh_types(nowS);
        co_await refresh_machines(nowS);
        // Scale-in comes first: the return of a machine that hangs with a cancelled task has a deadline, renting has
        // none.
        co_await scale_in();
        co_await scale_out();
    }
}

asio::awaitable<void> CloudLoop::acquire_role() {
    state::TransactionBuilder builder = context_.core.new_transaction();
    context_.core.take_cloud_role(builder, membership_.lease_id());
    co_await commit(std::move(builder));
    if (context_.core.holds_cloud_role()) spdlog::info("acquired the cloud role");
}

asio::awaitable<void> CloudLoop::refresh_types(double nowS) {
    if (!context_.core.state().machine_types().empty() && nowS - lastTypesReadS_ <= kTypesValidS) co_return;
    auto types = co_await cloud_.list_machine_types();
    if (!types) co_return;
    lastTypesReadS_ = nowS;
    co_await write_types(std::move(*types));
}

asio::awaitable<void> CloudLoop::write_types(std::vector<wire::MachineType> types) {
    controller::Core& core = context_.core;
    Json list = type_list(types);
    if (const std::size_t size = wire::to_text(list).size(); size > core.state_limits().value_bytes()) {
        spdlog::error("{} not written: its {} bytes exceed the limit of {} bytes for a value", keys::kMachineTypes,
                      size, core.state_limits().value_bytes());
        co_return;
    }
    state::TransactionBuilder builder = core.new_transaction();
    builder.put(keys::kMachineTypes, core.state().machine_types_revision(), std::move(list), 0);
    co_await commit(std::move(builder));
}

asio::awaitable<void> CloudLoop::refresh_machines(double nowS) {
    if (!may_call()) co_return;
    const double intervalS = std::max(kMinListIntervalS, context_.settings.listLagS / kListsPerListLag);
    if (nowS - lastMachinesReadS_ <= intervalS) co_return;
    auto machines = co_await cloud_.list_machines();
    if (!machines) co_return;
    lastMachinesReadS_ = nowS;
    context_.core.set_machines(std::move(*machines), now());
}

asio::awaitable<void> CloudLoop::scale_in() {
    const std::vector<std::string> due = context_.core.scale_in_due(now());
    if (due.empty() || !may_call()) co_return;
    const bool returned = co_await cloud_.return_hosts(due);
    if (!returned) co_return;
    spdlog::info("returned {} machines to the cloud, the first is {}", due.size(), due.front());
    state::TransactionBuilder builder = context_.core.new_transaction();
    context_.core.mark_gone(builder, due, now());
    co_await commit(std::move(builder));
}

// Sends one rent request at a time and determines the remaining ones after each: what one offer cannot provide, the
// next may.
asio::awaitable<void> CloudLoop::scale_out() {
    controller::Core& core = context_.core;
    core.plan_scale_out(now());
    for (int calls = 0; calls < kMaxRentCalls; ++calls) {
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
    const std::string requestId = next_request_id();
    RentResult result;
    for (int attempts = 0; attempts < kMaxRentAttempts && may_call(); ++attempts) {
        result = co_await cloud_.rent(requestId, request.machineType, request.zone, request.spot, request.number);
        if (result.kind != RentResult::Kind::failed) break;
    }
    spdlog::info("scale-out: requested {} {} in zone {}{}, granted {} machines", request.number, request.machineType,
                 request.zone, request.spot ? " (spot)" : "", result.hosts.size());
    co_return result;
}

// Unique across processes because it contains the incarnation.
std::string CloudLoop::next_request_id() {
    return "r-" + std::to_string(context_.core.incarnation()) + "-" + std::to_string(++rentRequestCount_);
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
