#include <gtest/gtest.h>

#include "wire/messages.hpp"

using namespace wellstair::wire;

namespace {

Json job() {
    return {{"ref", "j-000412"}, {"lane", "train"},  {"crew", "vision"},  {"shape", "gang"},  {"rank", "urgent"},
            {"steps", 16},       {"cores", 8.0},     {"gpus", 1.0},       {"ramGb", 64.0},    {"bundle", "img-07"},
            {"imageGb", 6.2},    {"builds", {"g8"}}, {"hall", nullptr},   {"together", true}, {"scatter", false},
            {"loaners", true},   {"expectS", 240.0}, {"snapshotS", 30.0}, {"flushS", 4.0},    {"dueS", 900.0}};
}

TEST(Wire, JobSurvivesTheRoundTrip) {
    auto body = decode(encode(job()));
    ASSERT_TRUE(body);
    auto spec = std::get<JobSpec>(parse_job(*body));
    auto again = std::get<JobSpec>(parse_job(to_json(spec)));
    EXPECT_EQ(to_json(spec), to_json(again));
    EXPECT_EQ(again.taskCount, 16u);
    EXPECT_FALSE(again.zone);
    EXPECT_EQ(again.machineTypes->front(), "g8");
}

TEST(Wire, EveryNeededFieldIsNeeded) {
    for (const char* key : {"ref", "lane", "crew", "shape", "rank", "steps", "cores", "gpus", "ramGb", "bundle",
                            "imageGb", "together", "scatter", "loaners", "expectS", "snapshotS", "flushS"}) {
        Json j = job();
        j.erase(key);
        auto parsed = parse_job(j);
        ASSERT_TRUE(std::holds_alternative<Invalid>(parsed)) << key;
        EXPECT_TRUE(std::get<Invalid>(parsed).reason.starts_with(key)) << std::get<Invalid>(parsed).reason;
    }
    for (const char* key : {"builds", "hall", "dueS"}) {
        Json j = job();
        j.erase(key);
        EXPECT_TRUE(std::holds_alternative<JobSpec>(parse_job(j))) << key;
    }
}

TEST(Wire, InvalidValuesAreRefused) {
    auto invalid = [](const char* key, Json value) {
        Json j = job();
        j[key] = std::move(value);
        return std::holds_alternative<Invalid>(parse_job(j));
    };
    EXPECT_TRUE(invalid("steps", 0));
    EXPECT_TRUE(invalid("steps", 100001));
    EXPECT_TRUE(invalid("steps", 1.5));
    EXPECT_TRUE(invalid("cores", -1));
    EXPECT_TRUE(invalid("cores", "8"));
    EXPECT_TRUE(invalid("rank", "high"));
    EXPECT_TRUE(invalid("shape", "array"));
    EXPECT_TRUE(invalid("ref", "x-1"));
    EXPECT_TRUE(invalid("ref", "j-1/2"));
    EXPECT_TRUE(invalid("together", 1));
    EXPECT_TRUE(invalid("builds", "g8"));
    EXPECT_FALSE(invalid("unknown", 1));
}

TEST(Wire, BytesThatAreNoMessage) {
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("\xc1"));
    EXPECT_FALSE(decode(std::string("\x81\xa1x\xc4\x01z", 6)));  // binary data
    EXPECT_FALSE(decode(encode(job()) + "x"));                   // something behind the end
    EXPECT_FALSE(decode(encode(job()).substr(0, 30)));
}

// 60,000 lists in one another would otherwise recurse as deep.
TEST(Wire, NestingIsBounded) {
    EXPECT_FALSE(decode(std::string(60000, '\x91') + '\x01'));
}

TEST(Wire, ReportsAreRead) {
    Json body = {{"host", "n-000231"},
                 {"address", "10.1.0.232:9000"},
                 {"build", "g8"},
                 {"hall", "a"},
                 {"loaners", true},
                 {"tenure", 1},
                 {"tick", 88},
                 {"baton", 41},
                 {"reclaimS", nullptr},
                 {"steps",
                  {{{"step", "j-000412/3"}, {"try", 2}, {"phase", "running"}},
                   {{"step", "j-000398/0"}, {"try", 1}, {"phase", "ended"}, {"cause", "halted"}, {"kept", true}}}}};
    auto r = parse_heartbeat(body);
    ASSERT_TRUE(r);
    EXPECT_EQ(r->tasks[0].index, 3u);
    EXPECT_EQ(r->tasks[1].cause, Cause::stopped);
    EXPECT_TRUE(r->tasks[1].checkpointed);
    body["steps"][0]["phase"] = "dancing";
    EXPECT_FALSE(parse_heartbeat(body));
}

}  // namespace
