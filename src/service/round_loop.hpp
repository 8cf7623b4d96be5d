// Runs the rounds of the controller: in each, the core proposes one transaction, which is committed, and the commands
// that are due are sent. Stateless. One io_context thread.
// Errors: after a transaction that was not applied, or whose outcome is unknown, the state is read again through the
// read barrier and everything is proposed anew.
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

    // Runs rounds. Never returns.
    asio::awaitable<void> run();

  private:
    // Waits until writes are possible, lets the core propose a transaction, and commits it. Returns the time that the
    // core took, in seconds.
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
