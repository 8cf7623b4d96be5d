// A worker as PROTOCOL describes it, for tests that connect it to the controllers of a TraceRunner: its tasks, its
// agent epoch and the highest fencing token that it has seen. Messages are in the syntax of the traces.
//
// Owns the state of the worker. Single-threaded test support.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wellstair::test {

// A command in the form in which traces show it, such as "stop j-1/0#2 saving". The job has one task.
struct TraceCommand {
    std::string verb, job;
    int attempt = 0;
};

// Parses the commands of a heartbeat response or a direct request.
std::vector<TraceCommand> parse_trace_commands(const std::string& text);

class TraceWorker {
  public:
    using Attempt = std::pair<std::string, int>;  // job, attempt

    explicit TraceWorker(std::string host) : host_(std::move(host)) {}

    // The next heartbeat or command reply, with a new sequence number: "HOST EPOCH SEQUENCE TOKEN [TASK ...]".
    std::string status();
    // Whether a direct request is executed: its agent epoch is the present one, and no higher token has been seen.
    bool accepts(std::uint64_t epoch, std::uint64_t token) const { return epoch == epoch_ && token >= token_; }
    // Executes the commands of an accepted message and returns the attempts that it has started.
    std::vector<Attempt> execute(std::uint64_t token, const std::vector<TraceCommand>& commands);
    // Begins the next agent epoch without tasks, as when the lease expires.
    void end_epoch();

    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t sequence() const { return sequence_; }
    std::uint64_t token() const { return token_; }
    bool runs(const Attempt& attempt) const;
    // Phases of the tasks that it knows, running or ended.
    std::map<Attempt, std::string>& tasks() { return tasks_; }

  private:
    std::string host_;
    std::uint64_t epoch_ = 1, sequence_ = 0, token_ = 0;
    std::map<Attempt, std::string> tasks_;
};

}  // namespace wellstair::test
