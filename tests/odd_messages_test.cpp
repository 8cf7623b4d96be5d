// Submissions and heartbeats in which one field has an odd value, through the handlers and the loops of a serving
// controller. Guards against bytes from outside that make something throw: each message must be answered, no loop may
// end, and an ordinary job must still be accepted and placed.
#include <cmath>
#include <limits>
#include <random>

#include "service/command_sender.hpp"
#include "service/heartbeat_api.hpp"
#include "service/round_loop.hpp"
#include "service_fixture.hpp"

namespace wellstair::test {
namespace {

using api::Response;
using wire::Json;

Json job_body(const std::string& id) {
    return {{"ref", id},       {"lane", "train"},  {"crew", "red"},    {"shape", "batch"},  {"rank", "standard"},
            {"steps", 2},      {"cores", 1.0},     {"gpus", 0.0},      {"ramGb", 4.0},      {"bundle", "img-07"},
            {"imageGb", 1.5},  {"builds", {"c8"}}, {"hall", "a"},      {"together", false}, {"scatter", false},
            {"loaners", true}, {"expectS", 60.0},  {"snapshotS", 0.0}, {"flushS", 0.0},     {"dueS", 900.0}};
}

Json heartbeat_body(const std::string& host) {
    const Json running = {{"step", "j-1/0"}, {"try", 1}, {"phase", "running"}};
    const Json ended = {{"step", "j-2/0"}, {"try", 1}, {"phase", "ended"}, {"cause", "error"}, {"kept", false}};
    return {{"host", host},     {"address", "127.0.0.1:1"},
            {"build", "c8"},    {"hall", "a"},
            {"loaners", false}, {"tenure", 1},
            {"tick", 1},        {"baton", 0},
            {"reclaimS", 30.0}, {"steps", {running, ended}}};
}

std::vector<Json> odd_values() {
    using Limits = std::numeric_limits<double>;
    std::vector<Json> values = {nullptr,
                                true,
                                Json::array(),
                                Json::object(),
                                "",
                                0,
                                -1,
                                1e-308,
                                1e308,
                                Limits::quiet_NaN(),
                                Limits::infinity(),
                                1e9,
                                1e18,
                                100000,
                                std::uint64_t{1} << 32,
                                std::uint64_t{1} << 63,
                                std::numeric_limits<std::uint64_t>::max(),
                                std::numeric_limits<std::int64_t>::min()};
    const std::string texts[] = {"\xff",
                                 "cha\xeene",
                                 "\xc0\xaf",
                                 "\xed\xa0\x80",
                                 "\xf4\x90\x80\x80",
                                 "\xe2\x82",
                                 "\xe2\x82\xac",
                                 std::string("a\0b", 3),
                                 "a b",
                                 "a/b",
                                 "a/../b",
                                 "a?b=c&d#e%00+",
                                 "\n",
                                 "\"\\",
                                 "j-1/4294967296",
                                 "j-1/-1",
                                 std::string(150, 'x'),
                                 std::string(40000, 'x')};
    for (const std::string& text : texts) {
        values.push_back(text);
        values.push_back(Json::array({text, "c8"}));
    }
    return values;
}

// All messages that differ from the body in one field, or in one field of an entry of `list`.
std::vector<Json> variants(const Json& body, const char* list) {
    std::vector<Json> out;
    for (const Json& value : odd_values()) {
        for (const auto& [field, ordinary] : body.items()) {
            out.push_back(body);
            out.back()[field] = value;
        }
        if (!list) continue;
        for (const auto& [field, ordinary] : body[list][1].items()) {
            out.push_back(body);
            out.back()[list][1][field] = value;
        }
        out.push_back(body);
        out.back()[list].push_back(value);
    }
    return out;
}

class OddMessages : public ServiceFixture {
  protected:
    void SetUp() override {
        settings.heartbeatIntervalS = 0.3;
        store.put(state::keys::kCloudRole, {{"by", settings.member}, {"inc", core.incarnation()}});
        start_serving();
        start(rounds.run());
    }

    // Starts a request; its status is counted once it is answered.
    void ask(asio::awaitable<Response> request) {
        ++asked;
        asio::co_spawn(io, std::move(request), [this](const std::exception_ptr& error, const Response& response) {
            ++answers[error ? 0 : response.status];
        });
    }
    bool all_answered() {
        return run_until(
            io,
            [this] {
                std::size_t sum = 0;
                for (const auto& [status, count] : answers) sum += count;
                return sum == asked;
            },
            std::chrono::seconds(30));
    }
    // Whether an ordinary job is accepted, and placed on an ordinary host.
    bool serves() {
        ask(userApi.submit(wire::encode(urgent_job())));
        for (int tick = 1; tick < 40 && !store.writes_of(state::keys::chunk("j-ordinary", 0)); ++tick) {
            Json body = heartbeat_body("n-ordinary");
            body["tick"] = tick;
            body["baton"] = core.state().host("n-ordinary") ? core.state().host("n-ordinary")->fencingToken : 0;
            body["reclaimS"] = nullptr;
            body["steps"] = Json::array();
            ask(heartbeatApi.heartbeat(wire::encode(body)));
            run_for(std::chrono::milliseconds(150));
        }
        return store.writes_of(state::keys::chunk("j-ordinary", 0)) > 0;
    }
    static Json urgent_job() {
        Json body = job_body("j-ordinary");
        body["rank"] = "production";
        return body;
    }

    workers::CommandChannels channels{io, 4};
    service::CommandSender sender{context, channels};
    service::RoundLoop rounds{context, client, reader, readBarrier, committer, sender};
    service::HeartbeatApi heartbeatApi{context, availability};
    std::size_t asked = 0;
    std::map<int, std::size_t> answers;  // by status; 0: the handler threw
};

void expect_only(const std::map<int, std::size_t>& answers, const std::set<int>& allowed) {
    for (const auto& [status, count] : answers) EXPECT_TRUE(allowed.count(status)) << count << " answers of " << status;
}

// Job descriptions of every kind, with each kind of zone constraint.
std::vector<Json> job_bodies() {
    Json batch = job_body("j-odd"), gang = batch, service = batch;
    gang["shape"] = "gang";
    gang["together"] = true;
    service["shape"] = "service";
    service["scatter"] = true;
    service["hall"] = nullptr;
    return {batch, gang, service};
}

TEST_F(OddMessages, SubmissionsAreAnsweredAndLeaveTheControllerServing) {
    int number = 0;
    for (const Json& ordinary : job_bodies()) {
        for (Json& body : variants(ordinary, nullptr)) {
            if (body["ref"] == "j-odd") body["ref"] = "j-odd-" + std::to_string(++number);
            ask(userApi.submit(wire::encode(body)));
        }
        EXPECT_TRUE(all_answered());
    }
    expect_only(answers, {200, 201, 400, 422});
    EXPECT_GT(answers[201], 0u);
    EXPECT_GT(answers[400], 0u);
    ASSERT_TRUE(core.holds_cloud_role());
    EXPECT_NO_THROW(core.plan_scale_out(service::now()));
    EXPECT_FALSE(core.scale_out_requests(service::now()).empty());
    EXPECT_TRUE(serves());
}

TEST_F(OddMessages, HeartbeatsAreAnsweredAndLeaveTheControllerServing) {
    int number = 0;
    for (Json& body : variants(heartbeat_body("n-odd"), "steps")) {
        if (body["host"] == "n-odd") body["host"] = "n-odd" + std::to_string(++number);
        ask(heartbeatApi.heartbeat(wire::encode(body)));
        if (number % 50 == 0) {
            EXPECT_TRUE(all_answered());
        }
    }
    EXPECT_TRUE(all_answered());
    expect_only(answers, {200, 400, 503});
    EXPECT_GT(answers[200], 0u);
    EXPECT_GT(answers[400], 0u);
    EXPECT_TRUE(serves());
}

// A notice that cannot be read must not pass for no notice.
TEST_F(OddMessages, HeartbeatsWithANoticeThatIsNoFiniteNumberAreMalformed) {
    using Limits = std::numeric_limits<double>;
    const Json unusable[] = {Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity(), "30", true, Json::array()};
    for (const Json& notice : unusable) {
        Json body = heartbeat_body("n-odd");
        body["reclaimS"] = notice;
        ask(heartbeatApi.heartbeat(wire::encode(body)));
    }
    EXPECT_TRUE(all_answered());
    expect_only(answers, {400});
    EXPECT_TRUE(serves());
}

TEST_F(OddMessages, PathsAreAnswered) {
    for (const Json& value : odd_values()) {
        if (!value.is_string()) continue;
        ask(userApi.poll(value.get<std::string>()));
        ask(userApi.cancel(value.get<std::string>()));
    }
    EXPECT_TRUE(all_answered());
    expect_only(answers, {404});
    EXPECT_TRUE(serves());
}

// Bytes of a message are changed, added or removed at random.
TEST(OddBytes, AreDecodedOrRejected) {
    std::mt19937 random(1);
    const auto below = [&](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    };
    int decoded = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = wire::encode(i % 2 ? job_body("j-1") : heartbeat_body("n-1"));
        for (std::size_t changes = 1 + below(4); changes > 0; --changes) {
            const std::size_t at = below(bytes.size());
            const std::size_t kind = below(4);
            if (kind == 0)
                bytes.erase(at, 1 + below(3));
            else if (kind == 1)
                bytes.insert(at, 1, static_cast<char>(below(256)));
            else
                bytes[at] = static_cast<char>(below(256));
        }
        const auto body = wire::decode(bytes);
        if (!body) continue;
        ++decoded;
        auto job = wire::parse_job(*body);
        if (const auto* spec = std::get_if<wire::JobSpec>(&job)) {
            EXPECT_NO_THROW((void)to_json(*spec).dump());
        }
        (void)wire::parse_heartbeat(*body);
    }
    EXPECT_GT(decoded, 100);
}

}  // namespace
}  // namespace wellstair::test
