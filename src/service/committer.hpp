// Commits this controller's transactions, logs them, and keeps to the limits of the state service.
// Owns nothing of its own. One io_context thread.
// Errors: every outcome is returned to the caller, who decides what to read back; a transaction that was refused as
// malformed is also told to the core, so that its keys are left alone for a while.
#pragma once

#include <cstdint>

#include "service/loop_context.hpp"
#include "state/transaction_builder.hpp"
#include "store/client.hpp"

namespace wellstair::service {

// Which loop a transaction is of, for the log.
enum class TransactionSource : std::uint8_t { round, users, cloud };

// The source's name in the log.
const char* to_string(TransactionSource source);

class Committer {
  public:
    Committer(LoopContext context, store::Client& store) : context_(context), store_(store) {}

    // Commits a transaction, which must live until the result is there.
    asio::awaitable<store::CommitResult> commit(TransactionSource source, const state::Transaction& transaction);

    // Sets the rate of writes by the limits that hold now; they may change while the controller runs.
    void update_write_rate();

  private:
    void handle_malformed(const state::Transaction& transaction);

    LoopContext context_;
    store::Client& store_;
};

}  // namespace wellstair::service
