#include "config/settings.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

using namespace wellstair::config;

namespace {

const char* kValidSettings = R"(member = "s-0"
location = "north"
front = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
unknown_field = 1
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

// Loads the text with `from` replaced by `to`. Returns "ok", or the error without the name of the file.
std::string load_result(std::string text, const std::string& from = "", const std::string& to = "") {
    if (!from.empty()) {
        auto position = text.find(from);
        EXPECT_NE(position, std::string::npos) << from;
        text.replace(position, from.size(), to);
    }
    // One file per test, because CTest may run tests in parallel.
    std::string path =
        testing::TempDir() + "wellstair_" + testing::UnitTest::GetInstance()->current_test_info()->name() + ".toml";
    std::ofstream(path) << text;
    std::string result = "ok";
    try {
        load_settings(path);
    } catch (const SettingsError& error) {
        result = error.what();
        EXPECT_TRUE(result.starts_with(path)) << result;
        EXPECT_EQ(result.find('\n'), std::string::npos) << result;
        result = result.substr(path.size() + 2);
    }
    std::remove(path.c_str());
    return result;
}

TEST(Settings, ValidFileWithUnknownFieldsIsLoaded) {
    EXPECT_EQ(load_result(kValidSettings), "ok");
}

TEST(Settings, ErrorsNameTheInvalidField) {
    struct Case {
        const char *from, *to;
        const char* error;
    };
    const Case cases[] = {
        {"member = \"s-0\"\n", "", "member: expected a non-empty string"},
        {"front = \"10.0.0.1:8080\"", "front = \"somewhere\"",
         "front: expected an IPv4 address and a port from 1 to 65535, such as 10.0.0.1:8080"},
        {"front = \"10.0.0.1:8080\"", "front = \"10.0.0.1:80800\"",
         "front: expected an IPv4 address and a port from 1 to 65535, such as 10.0.0.1:8080"},
        {"front = \"10.0.0.1:8080\"", "front = \"10.0.0:8080\"",
         "front: expected an IPv4 address and a port from 1 to 65535, such as 10.0.0.1:8080"},
        {"lease_s = 22.0", "lease_s = 0",
         "deployment.workers.lease_s: expected a number greater than 0 and less than 1e12"},
        {"lease_s = 22.0", "lease_s = \"22\"",
         "deployment.workers.lease_s: expected a number greater than 0 and less than 1e12"},
        {"lease_s = 22.0", "lease_s = 1e12",
         "deployment.workers.lease_s: expected a number greater than 0 and less than 1e12"},
        {"txn_ops = 16", "txn_ops = 2", "deployment.state.txn_ops: expected an integer of at least 4"},
        {"txn_ops = 16", "txn_ops = 0", "deployment.state.txn_ops: expected an integer from 1 to 1000000000"},
        {"txn_ops = 16", "txn_ops = 16\n[deployment.state.next]\ntxn_ops = 2",
         "deployment.state.next.txn_ops: expected an integer of at least 4"},
        {"txn_ops = 16", "txn_ops = 16\n[deployment.state.next]\nvalue_kb = 0.4",
         "deployment.state.next.value_kb: expected at least deployment.state.value_kb divided by "
         "deployment.state.next.txn_ops"},
        {"[deployment.cloud]\nrps = 5.0\nlist_lag_s = 6.0\n", "", "deployment.cloud: expected a table"},
        {"cpus = 10.0", "cpus = -1.0", "deployment.teams.cpus: expected a number of at least 0 and less than 1e12"},
        {"cpus = 10.0", "cpus = 10.0\n[[deployment.teams]]\nname = \"red\"",
         "deployment.teams.name: expected a unique name"},
        {"[[deployment.teams]]\nname = \"red\"\ncpus = 10.0\ncpus_max = 20.0\n", "",
         "deployment.teams: expected at least one [[deployment.teams]] table"},
        {"[[members]]\nmember = \"s-1\"",
         "[[members]]\nmember = \"s-1\"\nlocation = \"north\"\npeer_addr = \"10.0.0.3:1\"\n"
         "[[members]]\nmember = \"s-1\"",
         "members.member: expected a unique name"},
    };
    for (const Case& invalid : cases)
        EXPECT_EQ(load_result(kValidSettings, invalid.from, invalid.to), invalid.error) << invalid.to;
}

TEST(Settings, ValuesAreConvertedToTheirUnits) {
    std::string path = testing::TempDir() + "wellstair_settings_units.toml";
    std::ofstream(path) << kValidSettings;
    Settings settings = load_settings(path);
    std::remove(path.c_str());
    EXPECT_EQ(settings.skewS, 0.25);
    EXPECT_EQ(settings.controller_count(), 2);
    EXPECT_EQ(settings.members[0].peer.port, 8081);
    EXPECT_EQ(settings.cloudEndpoint.host, "10.2.0.2");
    ASSERT_TRUE(settings.team("red"));
    EXPECT_EQ(settings.team("red")->cpusMax, 20);
    EXPECT_FALSE(settings.team("blue"));
    EXPECT_EQ(settings.objectives[0].jobClass, "short");
    EXPECT_EQ(settings.leaseS, 22);
    EXPECT_EQ(settings.state_limits(), (StateLimits{8, 60, 16}));
    EXPECT_EQ(settings.listLagS, 6);
    EXPECT_EQ(settings.maxSockets, 1800);
}

TEST(Settings, UnreadableFilesAreRejected) {
    EXPECT_THROW(load_settings("/nonexistent/wellstair.toml"), SettingsError);
    EXPECT_TRUE(load_result("member = ").starts_with("line 1: expected a readable TOML file"));
}

}  // namespace
