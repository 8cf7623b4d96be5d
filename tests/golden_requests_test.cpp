// The requests of the clients of the state service, the cloud and the workers: methods, targets and bodies, as recorded
// from version fbb9d89. Guards against a rename inside the program that changes the protocol.
#include <gtest/gtest.h>

#include "cloud/client.hpp"
#include "loopback_server.hpp"
#include "site_settings.hpp"
#include "store/client.hpp"
#include "workers/command_channel.hpp"

namespace wellstair {
namespace {

using test::LoopbackServer;
using test::ReceivedRequest;
using test::run_to_end;
using test::StandInReply;
using wire::Json;

class GoldenRequests : public testing::Test {
  protected:
    std::optional<StandInReply> reply_to(const ReceivedRequest& request) {
        if (request.target == "/keys?prefix=ws/&page=1000") return StandInReply{200, firstPage_};
        if (request.target == "/machines?page=500") return StandInReply{200, firstMachines_};
        if (request.target == "/commands") return StandInReply{200, workerStatus_};
        return StandInReply{200, reply_};
    }

    config::Settings settings() {
        config::Settings settings = test::site_settings();
        settings.stateEndpoint = settings.cloudEndpoint = server_.endpoint();
        settings.cloudRps = 1000;
        return settings;
    }

    std::vector<std::string> sent() const {
        std::vector<std::string> texts;
        for (const auto& request : server_.requests()) texts.push_back(request.text());
        return texts;
    }

    // The response to most requests. It has the fields of all replies, so that every client can read its own.
    Json reply_ = {{"epoch", 9},
                   {"hold", 7},
                   {"pairs", Json::array()},
                   {"hosts", Json::array()},
                   {"builds", Json::array()},
                   {"news", Json::array()}};
    Json firstPage_ = {
        {"epoch", 9}, {"hasNext", true}, {"pairs", Json::array({{{"path", "ws/jobs/1"}, {"data", 1}, {"stamp", 3}}})}};
    Json firstMachines_ = {{"hasNext", true},
                           {"hosts", Json::array({{{"ref", "a-001"},
                                                   {"build", "g8"},
                                                   {"hall", "a"},
                                                   {"loaners", false},
                                                   {"phase", "up"},
                                                   {"address", "127.0.0.1:1"},
                                                   {"heldS", 1.0}}})}};
    Json workerStatus_ = {{"host", "a-001"}, {"tenure", 34}, {"tick", 1}, {"baton", 12}, {"steps", Json::array()}};
    boost::asio::io_context io_;
    LoopbackServer server_{io_, [this](const ReceivedRequest& request) { return reply_to(request); }};
};

using Texts = std::vector<std::string>;

TEST_F(GoldenRequests, Commit) {
    store::Client client(io_, settings());
    Json transaction = {{"when", Json::array({{{"path", "ws/members/ctl-a"}, {"stamp", 4}}})},
                        {"apply", Json::array({{{"set", "ws/members/ctl-a"}, {"data", {{"x", 1}}}, {"hold", 7}}})}};
    auto result = run_to_end(io_, client.commit(transaction, 1, 1));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->revision, 9u);
    EXPECT_EQ(sent(), Texts{R"(POST /commit {"apply":[{"data":{"x":1},"hold":7,"set":"ws/members/ctl-a"}],)"
                            R"("when":[{"path":"ws/members/ctl-a","stamp":4}]})"});
}

TEST_F(GoldenRequests, Follow) {
    store::Client client(io_, settings());
    ASSERT_TRUE(run_to_end(io_, client.follow("ws/", 17, 5, 6.5)));
    ASSERT_TRUE(run_to_end(io_, client.follow("ws/", 18, 0, 1)));
    EXPECT_EQ(sent(),
              (Texts{"GET /follow?prefix=ws/&since=17&waitMs=5000", "GET /follow?prefix=ws/&since=18&waitMs=0"}));
}

TEST_F(GoldenRequests, ReadAllByPages) {
    store::Client client(io_, settings());
    ASSERT_TRUE(run_to_end(io_, client.read_all("ws/", [](const store::Change&) {})));
    EXPECT_EQ(sent(), (Texts{"GET /keys?prefix=ws/&page=1000", "GET /keys?prefix=ws/&page=1000&since=ws/jobs/1"}));
}

TEST_F(GoldenRequests, GrantAndRenew) {
    store::Client client(io_, settings());
    auto lease = run_to_end(io_, client.grant(2.5, 1));
    ASSERT_TRUE(lease && *lease);
    EXPECT_EQ(**lease, 7u);
    ASSERT_TRUE(run_to_end(io_, client.renew(7, 1)));
    EXPECT_EQ(sent(), (Texts{R"(POST /grants {"ttlMs":2500})", "POST /grants/7/renew {}"}));
}

TEST_F(GoldenRequests, Cloud) {
    cloud::Client client(io_, settings());
    ASSERT_TRUE(run_to_end(io_, client.list_machine_types()));
    ASSERT_TRUE(run_to_end(io_, client.list_machines()));
    ASSERT_TRUE(run_to_end(io_, client.rent("r-1-2", "g8", "b", true, 3)));
    ASSERT_TRUE(run_to_end(io_, client.return_hosts({"a-001", "b-002"})));
    EXPECT_EQ(sent(), (Texts{"GET /machine_types", "GET /machines?page=500", "GET /machines?page=500&since=a-001",
                             R"(POST /machines {"ask":"r-1-2","build":"g8","hall":"b","loaners":true,"number":3})",
                             R"(POST /machines/return {"hosts":["a-001","b-002"]})"}));
}

TEST_F(GoldenRequests, Commands) {
    workers::CommandChannels channels(io_, 2);
    std::vector<wire::Command> commands(2);
    commands[0].type = wire::CommandType::start, commands[0].job = "j-000412", commands[0].index = 4,
    commands[0].attempt = 2;
    commands[1].type = wire::CommandType::stop, commands[1].job = "j-000377", commands[1].index = 1,
    commands[1].attempt = 1, commands[1].gracePeriodS = 10;
    const std::string address = "127.0.0.1:" + std::to_string(server_.endpoint().port);
    auto result = run_to_end(io_, channels.send("a-001", address, 12, 34, commands, 1));
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->answered);
    EXPECT_EQ(sent(), Texts{R"(POST /commands {"baton":12,"orders":[{"step":"j-000412/4","try":2,"verb":"start"},)"
                            R"({"step":"j-000377/1","try":1,"verb":"halt","windDownS":10.0}],"tenure":34})"});
}

}  // namespace
}  // namespace wellstair
