// Sound submissions in generated spellings: unknown fields, any order, any encoding of the same values, optional fields
// left out or null. Guards against a job that is refused, or stored twice, because its user's program encodes it
// otherwise.
#include <gtest/gtest.h>

#include <random>

#include "message_pack_spelling.hpp"
#include "service_fixture.hpp"
#include "wire/messages.hpp"

namespace wellstair::test {
namespace {

using api::Response;
using wire::Json;

constexpr unsigned kSeed = 50;

Json job_body(const std::string& id) {
    return {{"ref", id},         {"lane", "train"},   {"crew", "red"},    {"shape", "batch"}, {"rank", "standard"},
            {"steps", 2},        {"cores", 1.0},      {"gpus", 0.0},      {"ramGb", 4.5},     {"bundle", "img-07"},
            {"imageGb", 6.2},    {"together", false}, {"scatter", false}, {"loaners", true},  {"expectS", 240.0},
            {"snapshotS", 30.0}, {"flushS", 4.0}};
}

// Optional fields in all their forms that say nothing, and fields that no receiver knows.
class BodyVariants {
  public:
    explicit BodyVariants(unsigned seed) : random_(seed) {}

    Json draw(Json body) {
        for (const char* field : {"builds", "hall", "dueS"})
            if (chance() && !body.contains(field)) body[field] = nullptr;
        const Json unknown = unknown_fields();
        for (const auto& [field, value] : unknown.items())
            if (chance()) body[field] = value;
        return body;
    }

  private:
    bool chance() { return random_() % 2 == 0; }
    static Json unknown_fields() {
        return {{"note", "x"},     {"Ref", "j-2"},    {"cores ", -1},   {"", 1}, {"labels", {{"a", {1}}}},
                {"steps2", 1e300}, {"done", nullptr}, {"phase", "done"}};
    }
    std::mt19937 random_;
};

class SubmissionSpelling : public ServiceFixture {
  protected:
    Response submit(std::string bytes) {
        auto response = run_to_end(io, userApi.submit(std::move(bytes)));
        EXPECT_TRUE(response);
        return response.value_or(Response{0, {}, 0, ""});
    }
    // Submits a new job and repeats it, each time in a spelling of its own.
    void expect_one_job(const std::string& id, MessagePackSpelling& spelling, BodyVariants& variants) {
        constexpr int kRepeats = 3;
        EXPECT_EQ(submit(spelling.encode(variants.draw(job_body(id)))).status, 201) << id;
        for (int i = 0; i < kRepeats; ++i) {
            const Response repeat = submit(spelling.encode(variants.draw(job_body(id))));
            EXPECT_EQ(repeat.status, 200) << id;
            EXPECT_EQ(wire::get_string(repeat.body, "ref"), id);
        }
        EXPECT_EQ(store.writes_of(state::keys::job(id)), 1) << id;
    }
    void expect_one_job_each(NumberKinds kinds) {
        constexpr int kJobs = 60;
        start_serving();
        MessagePackSpelling spelling(kSeed, kinds);
        BodyVariants variants(kSeed);
        for (int i = 0; i < kJobs; ++i) expect_one_job("j-" + std::to_string(100 + i), spelling, variants);
    }
};

// The description that a body is parsed to; null if it is refused.
Json parsed(const std::string& bytes) {
    const auto body = wire::decode(bytes);
    if (!body) return nullptr;
    const auto job = wire::parse_job(*body);
    const auto* spec = std::get_if<wire::JobSpec>(&job);
    return spec ? to_json(*spec) : Json();
}

TEST(Spelling, EverySpellingOfAJobIsParsedToTheSameDescription) {
    constexpr int kSpellings = 5000;
    MessagePackSpelling spelling(kSeed, NumberKinds::decimals_as_integers);
    BodyVariants variants(kSeed);
    const Json expected = parsed(wire::encode(job_body("j-1")));
    ASSERT_FALSE(expected.is_null());
    for (int i = 0; i < kSpellings; ++i)
        ASSERT_EQ(parsed(spelling.encode(variants.draw(job_body("j-1")))), expected) << "spelling " << i;
}

TEST(Spelling, EveryWidthOfIntegerIsRead) {
    MessagePackSpelling spelling(kSeed, NumberKinds::as_given);
    for (std::int64_t steps : {1, 127, 128, 255, 256, 32767, 32768, 65535, 65536, 100000}) {
        for (int i = 0; i < 50; ++i) {
            Json body = job_body("j-1");
            body["steps"] = steps;
            EXPECT_EQ(parsed(spelling.encode(body))["steps"], steps);
        }
    }
}

// The property above is not empty: a value that differs in meaning is parsed to another description.
TEST(Spelling, AValueThatDiffersIsAnotherDescription) {
    MessagePackSpelling spelling(kSeed, NumberKinds::decimals_as_integers);
    BodyVariants variants(kSeed);
    const Json expected = parsed(wire::encode(job_body("j-1")));
    const std::pair<const char*, Json> others[] = {{"steps", 3},       {"cores", 2.0},      {"ramGb", 4.25},
                                                   {"hall", "a"},      {"builds", {"c8"}},  {"dueS", 0.0},
                                                   {"together", true}, {"imageGb", 6.2001}, {"builds", Json::array()}};
    for (const auto& [field, value] : others) {
        Json body = job_body("j-1");
        body[field] = value;
        const Json other = parsed(spelling.encode(variants.draw(body)));
        EXPECT_FALSE(other.is_null()) << field;
        EXPECT_NE(other, expected) << field;
    }
}

TEST_F(SubmissionSpelling, ARepetitionInAnotherSpellingIsTheSameJob) {
    expect_one_job_each(NumberKinds::decimals_as_integers);
}

TEST_F(SubmissionSpelling, CountsSpelledAsDecimalsAreTheSameJob) {
    expect_one_job_each(NumberKinds::any);
}

// A repetition that differs in meaning is still the accepted job, whose description stays as it was.
TEST_F(SubmissionSpelling, ARepetitionThatDiffersInMeaningDoesNotChangeTheJob) {
    start_serving();
    MessagePackSpelling spelling(kSeed, NumberKinds::decimals_as_integers);
    ASSERT_EQ(submit(spelling.encode(job_body("j-1"))).status, 201);
    Json other = job_body("j-1");
    other["steps"] = 3;
    other["crew"] = "blue";
    EXPECT_EQ(submit(spelling.encode(other)).status, 200);
    EXPECT_EQ(core.state().job("j-1")->spec->taskCount, 2u);
    EXPECT_EQ(core.state().job("j-1")->spec->team, "red");
    EXPECT_EQ(store.writes_of(state::keys::job("j-1")), 1);
}

}  // namespace
}  // namespace wellstair::test
