#include "service/heartbeat_api.hpp"

#include <algorithm>

#include "service/answers.hpp"

namespace wellstair::service {

using controller::HeartbeatResponse;

namespace {

constexpr double kRegistrationWaitS = 2.5;  // the worker gives up after 4 s
constexpr double kRecheckS = 0.5;           // the heartbeat is handled again after this time without a notification

}  // namespace

asio::awaitable<api::Response> HeartbeatApi::heartbeat(std::string bytes) {
    auto body = wire::decode(bytes);
    auto heartbeat = body ? wire::parse_heartbeat(*body) : std::nullopt;
    if (!heartbeat) co_return refusal(400, "the request body is not a valid MessagePack heartbeat");
    // After a suspension, the process handles the requests that queued up before any of its timers. The availability
    // must therefore be evaluated at the present time before a response of 200 renews the worker's lease.
    availability_.update();
    const double deadlineS = net::steady_now() + kRegistrationWaitS;
    for (;;) {
        HeartbeatResponse response = context_.core.handle_heartbeat(*heartbeat, now());
        if (context_.core.round_due()) context_.signals.roundDue.notify();
        switch (response.kind) {
            case HeartbeatResponse::Kind::renewed:
                co_return commands_response(response.token, response.commands);
            case HeartbeatResponse::Kind::redirect:
                co_return redirect(response.leader);
            case HeartbeatResponse::Kind::refuse:
                co_return unavailable("this controller may not answer heartbeats at present; retry later");
            case HeartbeatResponse::Kind::acquiring:
                break;
        }
        const double remainingS = deadlineS - net::steady_now();
        if (remainingS <= 0)
            co_return unavailable("the registration of the host is not durable yet; retry the heartbeat");
        co_await context_.signals.stateChanged.wait(std::min(remainingS, kRecheckS));
    }
}

}  // namespace wellstair::service
