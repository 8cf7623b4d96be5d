// Commits this controller's transactions, logs them, and applies the write limit of the state service.
// Stateless. One io_context thread.
// Errors: every outcome is returned to the caller, who decides whether to read the state back. A transaction that was
// rejected as malformed is also reported to the core, which does not write its keys for a while.
#pragma once

#include <cstdint>

#include "service/loop_context.hpp"
#include "state/transaction_builder.hpp"
#include "store/client.hpp"

namespace wellstair::service {

// The loop that a transaction comes from, for the log.
enum class TransactionSource : std::uint8_t { round, users, cloud };

// The name of the source in the log.
const char* to_string(TransactionSource source);

class Committer {
  public:
    Committer(LoopContext context, store::Client& store) : context_(context), store_(store) {}

    // Commits a transaction, which must outlive the call.
    asio::awaitable<store::CommitResult> commit(TransactionSource source, const state::Transaction& transaction);

    // Sets the write rate to the current limit, which may change while the controller runs.
    void update_write_rate();

  private:
    void handle_malformed(const state::Transaction& transaction);

    LoopContext context_;
    store::Client& store_;
};

}  // namespace wellstair::service
