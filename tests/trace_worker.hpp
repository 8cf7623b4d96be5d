// A worker as PROTOCOL describes it, for tests that connect it to the controllers of a TraceRunner: its tasks, its
// agent epoch and the highest fencing token that it has seen. Messages are in the syntax of the traces.
//
// Owns the state of the worker. Single-threaded test support.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
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

// The response of 200 to a heartbeat.
struct TraceResponse {
    std::uint64_t token = 0;
    std::vector<TraceCommand> commands;
};

// Parses the result of a `heartbeat` command. Returns nothing if the heartbeat was not answered with 200.
std::optional<TraceResponse> parse_trace_response(const std::string& result);

// A direct request, as a `due` or `command` and a `target` command show it.
struct TraceRequest {
    std::uint64_t token = 0, epoch = 0;
    std::vector<TraceCommand> commands;
};

// One batch of a `due` command: the host, and its commands.
struct TraceBatch {
    std::string host;
    std::vector<TraceCommand> commands;
};

// Parses the result of a `due` command.
std::vector<TraceBatch> parse_trace_batches(const std::string& due);
// The request that delivers these commands now. `target` is the result of a `target` command.
TraceRequest make_trace_request(const std::string& target, std::vector<TraceCommand> commands);

class TraceWorker {
  public:
    using Attempt = std::pair<std::string, int>;  // job, attempt

    explicit TraceWorker(std::string host) : host_(std::move(host)) {}

    // The next heartbeat or command reply, with a new sequence number: "HOST EPOCH SEQUENCE TOKEN [TASK ...]".
    std::string status();
    // Whether a direct request is executed: its agent epoch is the present one, and no higher token has been seen.
    bool accepts(std::uint64_t epoch, std::uint64_t token) const { return epoch == epoch_ && token >= token_; }
    bool accepts(const TraceRequest& request) const { return accepts(request.epoch, request.token); }
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
