// Tests that the components of a controller are connected: a complete controller on the loopback interface, with fakes
// of the state service and the cloud.
#include "service/service.hpp"

#include <gtest/gtest.h>

#include "site_settings.hpp"
#include "state_service_stand_in.hpp"

namespace wellstair::test {
namespace {

using wire::Json;

class ServiceTest : public testing::Test {
  protected:
    StandInReply cloud_reply(const ReceivedRequest& request) const {
        if (request.target == "/machine_types") return {200, machine_types()};
        if (request.method == "GET") return {200, {{"hosts", Json::array()}, {"hasNext", false}}};
        return {200, {{"hosts", Json::array({"a-001"})}}};
    }

    config::Settings make_settings() const {
        config::Settings result = site_settings();
        result.member = "ctl-a";
        result.publicEndpoint = result.internalEndpoint = {"127.0.0.1", 0};
        result.stateEndpoint = store.endpoint();
        result.cloudEndpoint = cloud.endpoint();
        result.stateRps = result.stateWriteRps = result.cloudRps = 2000;
        result.heartbeatIntervalS = 0.1;
        return result;
    }

    net::Reply request(net::verb method, const std::string& target, const std::string& body) {
        net::HttpClient client(io, {"127.0.0.1", service.port()});
        return run_to_end(io, client.request(method, target, body, 3)).value_or(net::Reply());
    }

    bool has_sent_to_cloud(const std::string& method, const std::string& target) const {
        return cloud.count(method, target) > 0;
    }

    asio::io_context io{1};
    StateServiceStandIn store{io};
    LoopbackServer cloud{io, [this](const ReceivedRequest& received) { return cloud_reply(received); }};
    config::Settings settings = make_settings();
    service::Service service{io, settings, {}};
};

TEST_F(ServiceTest, RegistersAcquiresTheCloudRoleAndServesUsers) {
    service.start();
    EXPECT_EQ(request(net::verb::get, "/healthz", "").status, 503);
    ASSERT_TRUE(run_until(io, [&] { return store.revision_of(state::keys::member("ctl-a")) != 0; }));
    ASSERT_TRUE(run_until(io, [&] { return store.revision_of(state::keys::kCloudRole) != 0; }));
    ASSERT_TRUE(run_until(io, [&] { return store.revision_of(state::keys::kMachineTypes) != 0; }));
    ASSERT_TRUE(run_until(io, [&] { return has_sent_to_cloud("GET", "/machines?page=500"); }));
    EXPECT_EQ(request(net::verb::get, "/healthz", "").status, 200);
    const net::Reply unknown = request(net::verb::get, "/v2/runs/j-000999", "");
    EXPECT_EQ(unknown.status, 404);
}

TEST_F(ServiceTest, RentsMachinesForASubmittedJob) {
    service.start();
    ASSERT_TRUE(run_until(io, [&] { return has_sent_to_cloud("GET", "/machines?page=500"); }));
    const Json job = {{"ref", "j-000412"},  {"lane", "train"},    {"crew", "red"},   {"shape", "batch"},
                      {"rank", "standard"}, {"steps", 2},         {"cores", 1.0},    {"gpus", 0.0},
                      {"ramGb", 4.0},       {"bundle", "img-07"}, {"imageGb", 1.5},  {"together", false},
                      {"scatter", false},   {"loaners", true},    {"expectS", 60.0}, {"snapshotS", 0.0},
                      {"flushS", 0.0}};
    EXPECT_EQ(request(net::verb::post, "/v2/runs", wire::encode(job)).status, 201);
    ASSERT_TRUE(run_until(io, [&] { return has_sent_to_cloud("POST", "/machines"); }));
    for (const auto& sent : cloud.requests())
        if (sent.method == "POST") {
            EXPECT_TRUE(sent.body["ask"].get<std::string>().starts_with("r-")) << sent.text();
        }
}

}  // namespace
}  // namespace wellstair::test
