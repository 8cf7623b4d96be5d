// The parts of one controller, wired as in `service/service.cpp` but without listening, against a stand-in of the state
// service. Each test starts the loops that it is about.
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
    static config::Settings fast_settings(const config::Endpoint& stateService) {
        config::Settings s = site_settings();
        s.member = "ctl-a";
        s.stateEndpoint = stateService;
        s.stateRps = s.stateWriteRps = 2000;
        s.leaseS = 1.2;  // the member's lease is renewed ten times a second
        return s;
    }

    void start(asio::awaitable<void> loop) { service::spawn(io, std::move(loop)); }

    // Loads the state and follows it.
    void start_reading() {
        start(reader.run());
        ASSERT_TRUE(run_until(io, [this] { return core.state_ready(); }));
    }

    // Everything that users need, up to the moment at which the controller serves them.
    void start_serving() {
        store.put(state::keys::kMachineTypes, machine_types());
        start_reading();
        start(membership.run());
        start(readBarrier.run());
        start(userRequests.run());
        ASSERT_TRUE(run_until(io, [this] { return core.availability() == state::Availability::serving; }));
    }

    // Runs for a while, whatever happens.
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
