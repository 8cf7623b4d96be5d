// Reads of the state up to the present moment: whoever waits for one sees every write that was confirmed to anybody
// before it asked. One read serves all who asked before it was sent.
// Owns the numbering of reads, and since when reads have failed. One io_context thread.
// Errors: a barrier fails (false) when its read does, or when its time is over; who asked answers or tries again.
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

    // Sends the reads, for ever; one also when nobody asks, so that a state service that is gone is noticed.
    asio::awaitable<void> run();

    // True once the cached state holds everything confirmed up to this call; false on failure or after `timeoutS`.
    asio::awaitable<bool> wait(double timeoutS);

    // True once the cached state has reached the revision; false after `timeoutS` seconds.
    asio::awaitable<bool> wait_for_revision(std::uint64_t revision, double timeoutS);

    // When the first of the reads that have failed in a row was begun, seconds on the steady clock; 0: the last
    // succeeded.
    double failed_since_s() const { return failedSinceS_; }

  private:
    bool read_pending() const { return requested_ > std::max(succeeded_, failed_); }
    asio::awaitable<void> read(std::uint64_t number, double startS);

    LoopContext context_;
    store::Client& store_;
    StateReader& reader_;
    net::Signal readRequested_, readFinished_;
    // Numbers of reads: the newest that somebody waits for, that was sent, that succeeded, that failed.
    std::uint64_t requested_ = 0, started_ = 0, succeeded_ = 0, failed_ = 0;
    double failedSinceS_ = 0;
};

}  // namespace wellstair::service
