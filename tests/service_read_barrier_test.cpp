// Reads of the state up to the present moment, against a stand-in of the state service.
#include "service_fixture.hpp"

namespace wellstair::test {
namespace {

class ReadBarrierTest : public ServiceFixture {
  protected:
    // Asks for a read; the result is added to `results` when it is there.
    void ask() {
        asio::co_spawn(io, readBarrier.wait(service::kStoreTimeoutS),
                       [this](const std::exception_ptr&, bool succeeded) { results.push_back(succeeded); });
    }
    bool run_until_answered(std::size_t number) {
        return run_until(io, [&] { return results.size() == number; });
    }

    std::vector<bool> results;
};

TEST_F(ReadBarrierTest, ServesAllWhoAskedWithOneRead) {
    start_reading();
    start(readBarrier.run());
    const std::size_t before = store.barrier_reads();
    store.put("ws/placers/ctl-b", 1);
    const std::uint64_t written = store.revision_of("ws/placers/ctl-b");
    for (int i = 0; i < 5; ++i) ask();
    ASSERT_TRUE(run_until_answered(5));
    EXPECT_EQ(results, std::vector<bool>(5, true));
    EXPECT_EQ(store.barrier_reads() - before, 1u);
    EXPECT_GE(core.state().revision(), written);
}

TEST_F(ReadBarrierTest, WhoAsksDuringAReadWaitsForTheNext) {
    start_reading();
    start(readBarrier.run());
    const std::size_t before = store.barrier_reads();
    store.onRequest = [&, asked = false](const ReceivedRequest& request) mutable {
        if (asked || !request.target.ends_with("&waitMs=0")) return;
        asked = true;
        ask();
    };
    ask();
    ASSERT_TRUE(run_until_answered(2));
    EXPECT_EQ(results, std::vector<bool>(2, true));
    EXPECT_EQ(store.barrier_reads() - before, 2u);
}

TEST_F(ReadBarrierTest, FailsWhenTheReadFailsAndRecovers) {
    start_reading();
    start(readBarrier.run());
    store.failsReads = true;
    ask();
    ask();
    ASSERT_TRUE(run_until_answered(2));
    EXPECT_EQ(results, std::vector<bool>(2, false));
    EXPECT_GT(readBarrier.failed_since_s(), 0);
    store.failsReads = false;
    ask();
    ASSERT_TRUE(run_until_answered(3));
    EXPECT_TRUE(results.back());
    EXPECT_EQ(readBarrier.failed_since_s(), 0);
}

TEST_F(ReadBarrierTest, FailsWhenItsTimeIsOver) {
    start_reading();
    start(readBarrier.run());
    store.silent = true;
    auto succeeded = run_to_end(io, readBarrier.wait(0.1));
    ASSERT_TRUE(succeeded);
    EXPECT_FALSE(*succeeded);
}

TEST_F(ReadBarrierTest, FailsBeforeTheStateHasBeenRead) {
    start(readBarrier.run());
    ask();
    ASSERT_TRUE(run_until_answered(1));
    EXPECT_FALSE(results.front());
    EXPECT_EQ(store.barrier_reads(), 0u);
}

// While the state is read anew, the answer to an older read would pass its revision off as that of the pages.
TEST_F(ReadBarrierTest, DropsAReadFromBeforeTheStateWasReadAnew) {
    start_reading();
    start(readBarrier.run());
    store.onRequest = [&, reloading = false](const ReceivedRequest& request) mutable {
        if (reloading || !request.target.ends_with("&waitMs=0")) return;
        reloading = true;
        core.set_state_ready(false);
        start(reader.run());
    };
    const std::uint64_t loads = reader.load_count();
    ask();
    ASSERT_TRUE(run_until_answered(1));
    EXPECT_GT(reader.load_count(), loads);
    EXPECT_FALSE(results.front());
}

}  // namespace
}  // namespace wellstair::test
