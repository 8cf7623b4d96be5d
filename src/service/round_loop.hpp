// The rounds of the controller: each lets the core propose one transaction, commits it, and sends the commands that are
// due. Owns nothing of its own. One io_context thread.
// Errors: when a transaction does not apply, or it is not known whether it did, the state is read up to the present
// moment and everything is proposed anew.
#pragma once

#include "service/command_sender.hpp"
#include "service/committer.hpp"
#include "service/loop_context.hpp"
#include "service/read_barrier.hpp"
#include "service/state_reader.hpp"

namespace wellstair::service {

class RoundLoop {
  public:
    RoundLoop(LoopContext context, store::Client& store, StateReader& reader, ReadBarrier& readBarrier,
              Committer& committer, CommandSender& commands)
        : context_(context),
          store_(store),
          reader_(reader),
          readBarrier_(readBarrier),
          committer_(committer),
          commands_(commands) {}

    // Runs rounds, for ever.
    asio::awaitable<void> run();

  private:
    asio::awaitable<double> decide(double startS);
    asio::awaitable<void> commit(state::Transaction transaction);

    LoopContext context_;
    store::Client& store_;
    StateReader& reader_;
    ReadBarrier& readBarrier_;
    Committer& committer_;
    CommandSender& commands_;
};

}  // namespace wellstair::service
