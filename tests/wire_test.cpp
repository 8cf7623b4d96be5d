// Parsing and formatting of the messages of users, workers and the cloud.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "wire/messages.hpp"

using namespace wellstair::wire;

namespace {

Json job_body() {
    return {{"ref", "j-000412"}, {"lane", "train"},  {"crew", "vision"},  {"shape", "gang"},  {"rank", "urgent"},
            {"steps", 16},       {"cores", 8.0},     {"gpus", 1.0},       {"ramGb", 64.0},    {"bundle", "img-07"},
            {"imageGb", 6.2},    {"builds", {"g8"}}, {"hall", nullptr},   {"together", true}, {"scatter", false},
            {"loaners", true},   {"expectS", 240.0}, {"snapshotS", 30.0}, {"flushS", 4.0},    {"dueS", 900.0}};
}

TEST(Wire, JobRoundTrips) {
    auto body = decode(encode(job_body()));
    ASSERT_TRUE(body);
    auto spec = std::get<JobSpec>(parse_job(*body));
    auto reparsed = std::get<JobSpec>(parse_job(to_json(spec)));
    EXPECT_EQ(to_json(spec), to_json(reparsed));
    EXPECT_EQ(reparsed.taskCount, 16u);
    EXPECT_FALSE(reparsed.zone);
    EXPECT_EQ(reparsed.machineTypes->front(), "g8");
}

TEST(Wire, MissingRequiredFieldsAreRejected) {
    for (const char* key : {"ref", "lane", "crew", "shape", "rank", "steps", "cores", "gpus", "ramGb", "bundle",
                            "imageGb", "together", "scatter", "loaners", "expectS", "snapshotS", "flushS"}) {
        Json body = job_body();
        body.erase(key);
        auto parsed = parse_job(body);
        ASSERT_TRUE(std::holds_alternative<JobSpecError>(parsed)) << key;
        EXPECT_TRUE(std::get<JobSpecError>(parsed).reason.starts_with(key)) << std::get<JobSpecError>(parsed).reason;
    }
    for (const char* key : {"builds", "hall", "dueS"}) {
        Json body = job_body();
        body.erase(key);
        EXPECT_TRUE(std::holds_alternative<JobSpec>(parse_job(body))) << key;
    }
}

TEST(Wire, InvalidValuesAreRejected) {
    struct Case {
        const char* field;
        Json value;
        const char* reason;
    };
    constexpr const char* kIdReason =
        "ref must be \"j-\" followed by letters, digits, '-' or '_', 3 to 64 bytes in total";
    const Case cases[] = {
        {"steps", 0, "steps must be an integer from 1 to 100000"},
        {"steps", 100001, "steps must be an integer from 1 to 100000"},
        {"steps", 1.5, "steps must be an integer from 1 to 100000"},
        {"cores", -1, "cores must be a number from 0 to 1e9"},
        {"cores", "8", "cores must be a number from 0 to 1e9"},
        {"cores", 1.1e9, "cores must be a number from 0 to 1e9"},
        {"rank", "high", "rank must be production, urgent, standard or best_effort"},
        {"shape", "array", "shape must be batch, gang or service"},
        {"ref", "x-1", kIdReason},
        {"ref", "j-1/2", kIdReason},
        {"ref", "", "ref must be a string of 1 to 200 bytes"},
        {"crew", std::string(201, 'a'), "crew must be a string of 1 to 200 bytes"},
        {"together", 1, "together must be true or false"},
        {"builds", "g8", "builds must be an array of machine type names, or null"},
        {"builds", {"g8", 1}, "builds must be an array of machine type names, or null"},
        {"hall", 1, "hall must be the name of a zone, or null"},
        {"dueS", -1, "dueS must be a number of at least 0, or null"},
    };
    for (const Case& invalid : cases) {
        Json body = job_body();
        body[invalid.field] = invalid.value;
        auto parsed = parse_job(body);
        ASSERT_TRUE(std::holds_alternative<JobSpecError>(parsed)) << invalid.field << " " << invalid.value;
        EXPECT_EQ(std::get<JobSpecError>(parsed).field, invalid.field);
        EXPECT_EQ(std::get<JobSpecError>(parsed).reason, invalid.reason);
    }
}

TEST(Wire, UnknownFieldsAreIgnored) {
    Json body = job_body();
    body["unknown"] = 1;
    EXPECT_TRUE(std::holds_alternative<JobSpec>(parse_job(body)));
}

// The error names the first invalid field in the order of validation, not in the order of the map.
TEST(Wire, FirstOfSeveralErrorsIsReported) {
    Json body = job_body();
    body["cores"] = body["crew"] = body["together"] = nullptr;
    EXPECT_EQ(std::get<JobSpecError>(parse_job(body)).reason, "crew must be a string of 1 to 200 bytes");
    EXPECT_EQ(std::get<JobSpecError>(parse_job(Json::array())).reason, "the request body must be a MessagePack map");
}

// A service has no expected duration; a value is validated and then ignored.
TEST(Wire, ServiceNeedsNoDurationEstimate) {
    Json body = job_body();
    body["shape"] = "service";
    EXPECT_EQ(std::get<JobSpec>(parse_job(body)).estimatedDurationS, 0);
    body.erase("expectS");
    EXPECT_EQ(std::get<JobSpec>(parse_job(body)).estimatedDurationS, 0);
    body["expectS"] = -1;
    EXPECT_EQ(std::get<JobSpecError>(parse_job(body)).reason, "expectS must be a number from 0 to 1e9");
}

TEST(Wire, TaskIdsRoundTrip) {
    auto id = parse_task_id(task_id("j-000412", 3));
    ASSERT_TRUE(id);
    EXPECT_EQ(id->job, "j-000412");
    EXPECT_EQ(id->index, 3u);
    for (const char* name : {"", "j-1", "/3", "j-1/", "j-1/x", "j-1/3x", "j-1/-3", "j-1/4294967296"})
        EXPECT_FALSE(parse_task_id(name)) << name;
}

TEST(Wire, EnumeratorsAreFormattedAsOnTheWire) {
    EXPECT_STREQ(to_string(JobKind::service), "service");
    EXPECT_STREQ(to_string(PriorityClass::best_effort), "best_effort");
    EXPECT_STREQ(to_string(TaskPhase::checkpointing), "flushing");
    EXPECT_STREQ(to_string(Cause::none), "");
    EXPECT_STREQ(to_string(Cause::stopped), "halted");
    EXPECT_STREQ(to_string(Cause::gang_peer_lost), "peers");
    EXPECT_STREQ(to_string(Cause::unknown), "unknown");
    EXPECT_STREQ(to_string(CommandType::stop), "halt");
    EXPECT_STREQ(to_string(CommandType::acknowledge), "reap");
}

TEST(Wire, InvalidMessagePackIsRejected) {
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("\xc1"));
    EXPECT_FALSE(decode(std::string("\x81\xa1x\xc4\x01z", 6)));  // binary data
    EXPECT_FALSE(decode(encode(job_body()) + "x"));              // trailing byte
    EXPECT_FALSE(decode(encode(job_body()).substr(0, 30)));
}

// Without a limit, 60,000 nested arrays would recurse 60,000 times and overflow the stack.
TEST(Wire, NestingDepthIsLimited) {
    EXPECT_FALSE(decode(std::string(60000, '\x91') + '\x01'));
}

TEST(Wire, HeartbeatsAreParsed) {
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
    auto heartbeat = parse_heartbeat(body);
    ASSERT_TRUE(heartbeat);
    EXPECT_EQ(heartbeat->tasks[0].index, 3u);
    EXPECT_EQ(heartbeat->tasks[1].cause, Cause::stopped);
    EXPECT_TRUE(heartbeat->tasks[1].checkpointed);
    body["steps"][0]["phase"] = "paused";
    EXPECT_FALSE(parse_heartbeat(body));
}

Json heartbeat_body() {
    return {{"host", "n-000231"}, {"address", "10.1.0.232:9000"},
            {"build", "g8"},      {"hall", "delta-north"},
            {"tenure", 1},        {"tick", 88},
            {"baton", 41},        {"steps", {{{"step", "j-000412/3"}, {"try", 2}, {"phase", "running"}}}}};
}

TEST(Wire, HeartbeatsThatCannotBeStoredOrOrderedAreRejected) {
    ASSERT_TRUE(parse_heartbeat(heartbeat_body()));
    const std::string latin1 = "cha\xeene", tooLong(101, 'x');
    const std::uint64_t lastToken = std::numeric_limits<std::uint64_t>::max();
    const std::pair<const char*, Json> invalid[] = {
        {"host", latin1},  {"host", tooLong}, {"host", ""},         {"address", latin1}, {"address", tooLong},
        {"address", 9000}, {"build", latin1}, {"build", tooLong},   {"hall", latin1},    {"hall", tooLong},
        {"hall", "a b"},   {"hall", "a/b"},   {"hall", "a&page=1"}, {"hall", "a\n"},     {"hall", 1},
        {"tenure", -1},    {"tick", "88"},    {"baton", lastToken}, {"steps", {latin1}}, {"reclaimS", "30"}};
    for (const auto& [field, value] : invalid) {
        Json body = heartbeat_body();
        body[field] = value;
        EXPECT_FALSE(parse_heartbeat(body)) << field << " " << to_text(value).substr(0, 40);
    }
    Json body = heartbeat_body();
    body["steps"][0]["try"] = (std::uint64_t{1} << 32) + 2;  // would be taken for attempt 2
    EXPECT_FALSE(parse_heartbeat(body));
    for (double notice : {std::nan(""), HUGE_VAL, -HUGE_VAL}) {
        body = heartbeat_body();
        body["reclaimS"] = notice;
        EXPECT_FALSE(parse_heartbeat(body)) << notice;
    }
    for (const char* field : {"address", "build", "hall", "baton", "steps", "reclaimS"}) {
        body = heartbeat_body();
        body.erase(field);
        EXPECT_TRUE(parse_heartbeat(body)) << field;
        body[field] = nullptr;
        EXPECT_TRUE(parse_heartbeat(body)) << field;
    }
}

// Guards against machine types that cannot be stored: the list is written to the state service as a whole.
TEST(Wire, MachineTypesWithTextThatIsNotUtf8AreLeftOut) {
    const Json type = {{"sku", "g8"}, {"cores", 96}, {"halls", {"a", "cha\xeene"}}};
    const auto parsed = parse_machine_type(type);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->zones, std::vector<std::string>{"a"});
    EXPECT_NO_THROW((void)to_json(*parsed).dump());
    EXPECT_FALSE(parse_machine_type({{"sku", "cha\xeene"}, {"cores", 96}}));
}

TEST(Wire, Utf8) {
    for (const char* text :
         {"", "a", "\xc3\xae", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xed\x9f\xbf", "\xf4\x8f\xbf\xbf"})
        EXPECT_TRUE(is_utf8(text)) << text;
    for (const char* text : {"\x80", "\xee", "\xc3", "\xc3x", "\xc0\xaf", "\xe0\x9f\xbf", "\xed\xa0\x80",
                             "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xff"})
        EXPECT_FALSE(is_utf8(text)) << to_text(text);
}

// The strictest check of the checker: it agrees with the JSON library for all texts of up to three bytes of these.
TEST(Wire, Utf8AgreesWithTheJsonLibrary) {
    const unsigned char bytes[] = {0x00, 'a',  0x7f, 0x80, 0x8f, 0x90, 0x9f, 0xa0, 0xbf, 0xc0, 0xc1, 0xc2,
                                   0xdf, 0xe0, 0xe1, 0xec, 0xed, 0xee, 0xef, 0xf0, 0xf3, 0xf4, 0xf5, 0xff};
    const auto accepted = [](const std::string& text) {
        try {
            (void)Json(text).dump();
            return true;
        } catch (const Json::type_error&) {
            return false;
        }
    };
    for (unsigned char a : bytes)
        for (unsigned char b : bytes)
            for (unsigned char c : bytes)
                for (unsigned char d : {'a', '\x80', '\xbf'}) {
                    const std::string text = {char(a), char(b), char(c), char(d)};
                    EXPECT_EQ(is_utf8(text), accepted(text)) << to_text(text);
                }
}

}  // namespace
