#include "service/membership_loop.hpp"

#include <spdlog/spdlog.h>

namespace wellstair::service {

using Renewal = store::Client::Renewal;
using wire::Json;

namespace {

// As a part of the worker lease: the jobs of a failed controller are taken over within one worker lease.
constexpr double kMemberTtlPerLease = 0.25;
constexpr double kRenewalIntervalPerTtl = 1.0 / 3;  // two renewals may fail before the lease expires
constexpr double kStateWaitS = 0.2;                 // between checks whether the state has been loaded
constexpr double kGrantRetryS = 0.2, kRegistrationRetryS = 0.1, kRenewalRetryS = 0.1;

// Not part of a coroutine: GCC 12 cannot compile braced JSON initialisers inside one.
Json registration(const std::string& name, std::uint64_t revision, const state::MemberData& member,
                  std::uint64_t leaseId) {
    const std::string path = state::keys::member(name);
    Json data = member.encode();
    return {{"when", Json::array({{{"path", path}, {"stamp", revision}}})},
            {"apply", Json::array({{{"set", path}, {"data", data}, {"hold", leaseId}}})}};
}

}  // namespace

double MembershipLoop::lease_ttl_s() const {
    return kMemberTtlPerLease * context_.settings.leaseS;
}

asio::awaitable<void> MembershipLoop::run() {
    for (;;) {
        if (!context_.core.state_ready()) {
            co_await context_.signals.stateChanged.wait(kStateWaitS);
            continue;
        }
        if (!leaseId_) {
            const bool acquired = co_await acquire_lease();
            if (!acquired) continue;
        }
        if (context_.core.member_revision())
            co_await renew_lease();
        else
            co_await register_member();
    }
}

asio::awaitable<bool> MembershipLoop::acquire_lease() {
    auto granted = co_await store_.grant(lease_ttl_s(), kStoreTimeoutS);
    if (!granted) {
        co_await net::sleep_for(context_.io, net::jitter(kGrantRetryS));
        co_return false;
    }
    leaseId_ = *granted;
    co_return true;
}

asio::awaitable<void> MembershipLoop::register_member() {
    controller::Core& core = context_.core;
    const std::string& name = context_.settings.member;
    auto it = core.state().members().find(name);
    const std::uint64_t revision = it == core.state().members().end() ? 0 : it->second.revision;
    const Json transaction = registration(name, revision, core.member_data(), leaseId_);
    auto result = co_await store_.commit(transaction, 1, kStoreTimeoutS);
    if (result.outcome == store::Outcome::no_lease) forget_lease();
    if (result.outcome != store::Outcome::applied) {
        co_await readBarrier_.wait(kStoreTimeoutS);
        co_await net::sleep_for(context_.io, net::jitter(kRegistrationRetryS));
        co_return;
    }
    co_await readBarrier_.wait_for_revision(result.revision, kStoreTimeoutS);
    spdlog::info("registered as {} at revision {}", name, result.revision);
    availability_.update();
    context_.signals.roundDue.notify();
}

asio::awaitable<void> MembershipLoop::renew_lease() {
    co_await net::sleep_for(context_.io, lease_ttl_s() * kRenewalIntervalPerTtl);
    auto renewal = co_await store_.renew(leaseId_, kStoreTimeoutS);
    if (renewal == Renewal::failed) {
        co_await net::sleep_for(context_.io, kRenewalRetryS);
        renewal = co_await store_.renew(leaseId_, kStoreTimeoutS);
    }
    if (renewal == Renewal::ended) {
        spdlog::info("member lease {} has expired, acquiring a new one", leaseId_);
        forget_lease();
        co_await readBarrier_.wait(kStoreTimeoutS);
    }
}

}  // namespace wellstair::service
