#include "config/settings.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

using namespace wellstair::config;

namespace {

const char* kGood = R"(member = "s-0"
location = "north"
front = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
surprise = 1
[[members]]
member = "s-1"
location = "north"
peer_addr = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
size = 2
zones = ["north"]
skew_ms = 250.0
[[deployment.teams]]
name = "red"
cpus = 10.0
cpus_max = 20.0
[[deployment.objectives]]
kind = "wait"
class = "short"
within_s = 1.0
share = 0.9
[deployment.workers]
report_s = 3.0
lease_s = 22.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 47.0
[deployment.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 16
[deployment.cloud]
rps = 5.0
list_lag_s = 6.0
[deployment.quota]
cores = 0.05
ram_mb = 104.0
max_sockets = 1800
)";

std::string outcome(std::string text, const std::string& from = "", const std::string& to = "") {
    if (!from.empty()) {
        auto at = text.find(from);
        EXPECT_NE(at, std::string::npos) << from;
        text.replace(at, from.size(), to);
    }
    // A file of its own for each test: CTest may run them side by side.
    std::string path =
        testing::TempDir() + "wellstair_" + testing::UnitTest::GetInstance()->current_test_info()->name() + ".toml";
    std::ofstream(path) << text;
    std::string result = "ok";
    try {
        load_settings(path);
    } catch (const SettingsError& e) {
        result = e.what();
        EXPECT_TRUE(result.starts_with(path)) << result;
        EXPECT_EQ(result.find('\n'), std::string::npos) << result;
        result = result.substr(path.size() + 2);
    }
    std::remove(path.c_str());
    return result;
}

TEST(Settings, AreReadAndUnknownFieldsIgnored) {
    EXPECT_EQ(outcome(kGood), "ok");
}

TEST(Settings, SayWhichFieldIsWrong) {
    EXPECT_EQ(outcome(kGood, "member = \"s-0\"\n", ""), "member: expected a text that is not empty");
    EXPECT_EQ(outcome(kGood, "front = \"10.0.0.1:8080\"", "front = \"somewhere\""),
              "front: expected an IPv4 address and port such as 10.0.0.1:8080");
    EXPECT_EQ(outcome(kGood, "lease_s = 22.0", "lease_s = 0"), "deployment.workers.lease_s: expected a number above 0");
    EXPECT_EQ(outcome(kGood, "lease_s = 22.0", "lease_s = \"22\""),
              "deployment.workers.lease_s: expected a number above 0");
    EXPECT_EQ(outcome(kGood, "txn_ops = 16", "txn_ops = 2"),
              "deployment.state.txn_ops: expected an integer of at least 4");
    EXPECT_EQ(outcome(kGood, "[deployment.cloud]\nrps = 5.0\nlist_lag_s = 6.0\n", ""),
              "deployment.cloud: expected a table");
    EXPECT_EQ(outcome(kGood, "cpus = 10.0", "cpus = -1.0"), "deployment.teams.cpus: expected a number of at least 0");
}

TEST(Settings, UnreadableFiles) {
    EXPECT_THROW(load_settings("/nonexistent/wellstair.toml"), SettingsError);
    EXPECT_TRUE(outcome("member = ").starts_with("line 1: expected a readable TOML file"));
}

}  // namespace
