// The components of one controller, connected as in `service/service.cpp` but without its servers, and a fake of the
// state service. Each test starts the loops that it needs.
#pragma once

#include <gtest/gtest.h>

#include "service/availability_monitor.hpp"
#include "service/committer.hpp"
#include "service/membership_loop.hpp"
#include "service/peer_status_exchange.hpp"
#include "service/read_barrier.hpp"
#include "service/state_reader.hpp"
#include "service/user_api.hpp"
#include "service/user_request_queue.hpp"
#include "site_settings.hpp"
#include "state_service_stand_in.hpp"

namespace wellstair::test {

class ServiceFixture : public testing::Test {
  protected:
    // Settings with high request rates and a short lease, so that tests take little time.
    static config::Settings fast_settings(const config::Endpoint& stateService) {
        config::Settings result = site_settings();
        result.member = "ctl-a";
        result.stateEndpoint = stateService;
        result.stateRps = result.stateWriteRps = 2000;
        result.leaseS = 1.2;  // the member lease is renewed ten times a second
        return result;
    }

    void start(asio::awaitable<void> loop) { service::spawn(io, std::move(loop)); }

    // Starts the state reader, and runs until the state has been loaded.
    void start_reading() {
        start(reader.run());
        ASSERT_TRUE(run_until(io, [this] { return core.state_ready(); }));
    }

    // Starts all loops that user requests need, and runs until the controller is serving.
    void start_serving() {
        store.put(state::keys::kMachineTypes, machine_types());
        start_reading();
        start(membership.run());
        start(readBarrier.run());
        start(userRequests.run());
        ASSERT_TRUE(run_until(io, [this] { return core.availability() == state::Availability::serving; }));
    }

    // Runs the io_context for the whole duration.
    void run_for(std::chrono::milliseconds duration) {
        run_until(
            io, [] { return false; }, duration);
    }

    asio::io_context io{1};
    StateServiceStandIn store{io};
    config::Settings settings = fast_settings(store.endpoint());
    controller::Core core{settings, {}, 7001};
    service::Signals signals{io};
    service::LoopContext context{io, settings, core, signals};
    store::Client client{io, settings};
    service::StateReader reader{context, client};
    service::ReadBarrier readBarrier{context, client, reader};
    service::PeerStatusExchange peerStatus{context, client};
    service::AvailabilityMonitor availability{context, client, reader, readBarrier, peerStatus};
    service::Committer committer{context, client};
    service::MembershipLoop membership{context, client, readBarrier, availability};
    service::UserRequestQueue userRequests{context, reader, readBarrier, committer};
    service::UserApi userApi{context, availability, readBarrier, userRequests};
};

}  // namespace wellstair::test
