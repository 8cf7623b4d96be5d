// Tests the read barrier against a fake of the state service.
#include "service_fixture.hpp"

namespace wellstair::test {
namespace {

class ReadBarrierTest : public ServiceFixture {
  protected:
    // Waits for the barrier in a coroutine of its own, which appends the result to `results`.
    void start_wait() {
        asio::co_spawn(io, readBarrier.wait(service::kStoreTimeoutS),
                       [this](const std::exception_ptr&, bool succeeded) { results.push_back(succeeded); });
    }
    // Runs until this many waits have completed.
    bool run_until_completed(std::size_t number) {
        return run_until(io, [&] { return results.size() == number; });
    }

    std::vector<bool> results;
};

TEST_F(ReadBarrierTest, ServesAllWaitersWithOneRead) {
    start_reading();
    start(readBarrier.run());
    const std::size_t before = store.barrier_reads();
    store.put("ws/placers/ctl-b", 1);
    const std::uint64_t written = store.revision_of("ws/placers/ctl-b");
    for (int i = 0; i < 5; ++i) start_wait();
    ASSERT_TRUE(run_until_completed(5));
    EXPECT_EQ(results, std::vector<bool>(5, true));
    EXPECT_EQ(store.barrier_reads() - before, 1u);
    EXPECT_GE(core.state().revision(), written);
}

TEST_F(ReadBarrierTest, WaitDuringAReadTakesTheNextRead) {
    start_reading();
    start(readBarrier.run());
    const std::size_t before = store.barrier_reads();
    store.onRequest = [&, started = false](const ReceivedRequest& request) mutable {
        if (started || !request.target.ends_with("&waitMs=0")) return;
        started = true;
        start_wait();
    };
    start_wait();
    ASSERT_TRUE(run_until_completed(2));
    EXPECT_EQ(results, std::vector<bool>(2, true));
    EXPECT_EQ(store.barrier_reads() - before, 2u);
}

TEST_F(ReadBarrierTest, FailsWhenTheReadFailsAndRecovers) {
    start_reading();
    start(readBarrier.run());
    store.failsReads = true;
    start_wait();
    start_wait();
    ASSERT_TRUE(run_until_completed(2));
    EXPECT_EQ(results, std::vector<bool>(2, false));
    EXPECT_GT(readBarrier.failed_since_s(), 0);
    store.failsReads = false;
    start_wait();
    ASSERT_TRUE(run_until_completed(3));
    EXPECT_TRUE(results.back());
    EXPECT_EQ(readBarrier.failed_since_s(), 0);
}

TEST_F(ReadBarrierTest, FailsAfterItsTimeout) {
    start_reading();
    start(readBarrier.run());
    store.silent = true;
    auto succeeded = run_to_end(io, readBarrier.wait(0.1));
    ASSERT_TRUE(succeeded);
    EXPECT_FALSE(*succeeded);
}

TEST_F(ReadBarrierTest, FailsBeforeTheStateIsLoaded) {
    start(readBarrier.run());
    start_wait();
    ASSERT_TRUE(run_until_completed(1));
    EXPECT_FALSE(results.front());
    EXPECT_EQ(store.barrier_reads(), 0u);
}

// A read that was sent before the state is loaded again must be dropped: it would advance the cached state to a
// revision whose pages are still being read.
TEST_F(ReadBarrierTest, DropsAReadSentBeforeAReload) {
    start_reading();
    start(readBarrier.run());
    store.onRequest = [&, reloading = false](const ReceivedRequest& request) mutable {
        if (reloading || !request.target.ends_with("&waitMs=0")) return;
        reloading = true;
        core.set_state_ready(false);
        start(reader.run());
    };
    const std::uint64_t loads = reader.load_count();
    start_wait();
    ASSERT_TRUE(run_until_completed(1));
    EXPECT_GT(reader.load_count(), loads);
    EXPECT_FALSE(results.front());
}

}  // namespace
}  // namespace wellstair::test
