// Tests users' requests from the request body to the response, against a fake of the state service.
#include "service_fixture.hpp"

namespace wellstair::test {
namespace {

using api::Response;
using wire::Json;

constexpr const char* kJob = "j-000412";

Json job_body(double cores = 1) {
    return {{"ref", kJob},      {"lane", "train"},   {"crew", "red"},    {"shape", "batch"}, {"rank", "standard"},
            {"steps", 2},       {"cores", cores},    {"gpus", 0.0},      {"ramGb", 4.0},     {"bundle", "img-07"},
            {"imageGb", 1.5},   {"together", false}, {"scatter", false}, {"loaners", true},  {"expectS", 60.0},
            {"snapshotS", 0.0}, {"flushS", 0.0}};
}

class UserRequests : public ServiceFixture {
  protected:
    Response submit(const Json& body) { return complete(userApi.submit(wire::encode(body))); }
    Response poll(const char* id) { return complete(userApi.poll(id)); }
    Response cancel(const char* id) { return complete(userApi.cancel(id)); }
    // Runs a request to completion and returns its response.
    Response complete(asio::awaitable<Response> request) {
        auto response = run_to_end(io, std::move(request));
        EXPECT_TRUE(response);
        return response.value_or(Response{0, {}, 0, ""});
    }
};

TEST_F(UserRequests, SubmitsOnceAndConfirmsTheRepeat) {
    start_serving();
    EXPECT_EQ(submit(job_body()).status, 201);
    const Response repeat = submit(job_body());
    EXPECT_EQ(repeat.status, 200);
    EXPECT_EQ(repeat.body["phase"], "queued");
    EXPECT_EQ(store.writes_of(state::keys::job(kJob)), 1);
}

TEST_F(UserRequests, ConfirmsARepeatInTheSameBatchWithOneWrite) {
    start_serving();
    std::vector<int> statuses;
    for (int i = 0; i < 3; ++i)
        asio::co_spawn(io, userApi.submit(wire::encode(job_body())),
                       [&](const std::exception_ptr&, const Response& r) { statuses.push_back(r.status); });
    ASSERT_TRUE(run_until(io, [&] { return statuses.size() == 3; }));
    EXPECT_EQ(statuses, std::vector<int>(3, 201));
    EXPECT_EQ(store.writes_of(state::keys::job(kJob)), 1);
}

TEST_F(UserRequests, MalformedRepeatOfAnAcceptedJobIsNotRejected) {
    start_serving();
    EXPECT_EQ(submit(job_body()).status, 201);
    Json repeat = job_body();
    repeat["steps"] = "two";
    EXPECT_EQ(submit(repeat).status, 200);
    EXPECT_EQ(submit(job_body(1000)).status, 200);
    repeat["ref"] = "j-000999";
    EXPECT_EQ(submit(repeat).status, 400);
}

// Guards against texts that cannot be stored and made the request end without an answer.
TEST_F(UserRequests, TextThatIsNotUtf8IsMalformed) {
    start_serving();
    const std::string latin1 = "cha\xeene";
    for (const char* field : {"ref", "lane", "crew", "bundle", "hall", "shape", "rank"}) {
        Json body = job_body();
        body[field] = latin1;
        const Response response = submit(body);
        EXPECT_EQ(response.status, 400) << field;
        EXPECT_TRUE(response.body["error"].get<std::string>().starts_with(field)) << response.body["error"];
    }
    Json body = job_body();
    body["builds"] = {"c8", latin1};
    EXPECT_EQ(submit(body).status, 400);
    body = job_body();
    body["note"] = latin1;  // an unknown field is ignored
    EXPECT_EQ(submit(body).status, 201);
    body["lane"] = latin1;  // as is any malformed field in the repeat of an accepted job
    EXPECT_EQ(submit(body).status, 200);
    EXPECT_EQ(poll(latin1.c_str()).status, 404);
    EXPECT_EQ(cancel(latin1.c_str()).status, 404);
}

TEST_F(UserRequests, RefusesAJobThatCanNeverRun) {
    start_serving();
    EXPECT_EQ(submit(job_body(1000)).status, 422);
    EXPECT_EQ(store.writes_of(state::keys::job(kJob)), 0);
}

// Guards against a submission that is larger than a transaction: it would keep its place in the queue for ever, and the
// loop of the queue busy.
TEST_F(UserRequests, RefusesAJobThatFitsNoTransaction) {
    constexpr std::size_t kLargestTypeName = 60000;
    settings.valueKb = 64;
    start_serving();
    for (std::size_t size = 10000; size <= kLargestTypeName; size += 1000) {
        Json body = job_body();
        body["ref"] = "j-" + std::to_string(size);
        body["builds"] = {"c8", std::string(size, 'x')};
        const int status = submit(body).status;
        EXPECT_TRUE(status == 201 || status == 422) << status << " for a type name of " << size << " bytes";
        if (size == kLargestTypeName) {
            EXPECT_EQ(status, 422);
        }
    }
    EXPECT_EQ(submit(job_body()).status, 201);
}

TEST_F(UserRequests, CancelsAndConfirmsTheRepeat) {
    start_serving();
    EXPECT_EQ(submit(job_body()).status, 201);
    const Response first = cancel(kJob);
    EXPECT_EQ(first.status, 200);
    EXPECT_EQ(first.body["phase"], "aborted");
    const Response repeat = cancel(kJob);
    EXPECT_EQ(repeat.status, 200);
    EXPECT_EQ(repeat.body["phase"], "aborted");
    EXPECT_EQ(cancel("j-000999").status, 404);
}

TEST_F(UserRequests, PollOfAFinalJobNeedsNoRead) {
    store.put(state::keys::job(kJob), {{"f", "done"}});
    start_serving();
    store.silent = true;
    const std::size_t reads = store.barrier_reads();
    const Response response = poll(kJob);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body["phase"], "done");
    EXPECT_EQ(store.barrier_reads(), reads);
}

TEST_F(UserRequests, PollOfAnOpenJobReadsTheStateFirst) {
    start_serving();
    EXPECT_EQ(submit(job_body()).status, 201);
    const std::size_t reads = store.barrier_reads();
    EXPECT_EQ(poll(kJob).status, 200);
    EXPECT_GT(store.barrier_reads(), reads);
    EXPECT_EQ(poll("j-000999").status, 404);
}

TEST_F(UserRequests, PollIs503WithRetryAfterIfTheStateServiceDoesNotRespond) {
    start_serving();
    store.silent = true;
    const Response response = poll(kJob);
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.retryAfterS, 1);
    EXPECT_EQ(response.body["error"], "the state service is not responding; retry later");
}

TEST_F(UserRequests, SubmissionIs503BeforeTheControllerServes) {
    store.put(state::keys::kMachineTypes, machine_types());
    start_reading();
    start(userRequests.run());
    const Response response = submit(job_body());
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.retryAfterS, 1);
}

}  // namespace
}  // namespace wellstair::test
