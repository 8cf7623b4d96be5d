// Linearizable reads of the cached state: a caller that has waited for the barrier sees every write that was confirmed
// to anyone before its call. One read of the state service serves all callers that arrived before it was sent.
// Owns the numbers of the reads, and the time since which reads have failed. One io_context thread.
// Errors: `wait` returns false if the read fails or the time-out passes; the caller reports that or retries.
#pragma once

#include <algorithm>
#include <cstdint>

#include "service/loop_context.hpp"
#include "service/state_reader.hpp"

namespace wellstair::service {

class ReadBarrier {
  public:
    ReadBarrier(LoopContext context, store::Client& store, StateReader& reader)
        : context_(context), store_(store), reader_(reader), readRequested_(context.io), readFinished_(context.io) {}

    // Sends the reads, also at intervals without a caller, so that an outage of the state service is noticed. Never
    // returns.
    asio::awaitable<void> run();

    // Returns true once the cached state includes every write confirmed before this call, false on failure or after
    // `timeoutS` seconds.
    asio::awaitable<bool> wait(double timeoutS);

    // Returns true once the cached state has reached the revision, false after `timeoutS` seconds.
    asio::awaitable<bool> wait_for_revision(std::uint64_t revision, double timeoutS);

    // When the first of the current series of failed reads was sent, in seconds on the steady clock; 0 if the last read
    // succeeded.
    double failed_since_s() const { return failedSinceS_; }

  private:
    bool read_pending() const { return requested_ > std::max(succeeded_, failed_); }
    asio::awaitable<void> read(std::uint64_t number, double startS);

    LoopContext context_;
    store::Client& store_;
    StateReader& reader_;
    net::Signal readRequested_, readFinished_;
    // By number: the newest read that was requested, that was sent, that succeeded and that failed.
    std::uint64_t requested_ = 0, started_ = 0, succeeded_ = 0, failed_ = 0;
    double failedSinceS_ = 0;
};

}  // namespace wellstair::service
