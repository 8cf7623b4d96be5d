// A small world on a virtual clock for kept traces: the state service's transactions, and controllers' cores on it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "controller/core.hpp"
#include "leadership/cancellation_read_barrier.hpp"

namespace wellstair::test {

// Stands in for the state service, by its protocol: conditions, revisions, one revision per transaction.
class Store {
  public:
    struct Change {
        std::string path;
        std::optional<wire::Json> data;
        std::uint64_t revision;
    };
    // "ok N", "conflict KEY ...", "malformed WHY" (400) or "busy" (429).
    std::string commit(const wire::Json& transaction);
    // Enforced from now on, as PROTOCOL says: values and transactions by size, writes by the time passed to `at`.
    std::optional<config::StateLimits> limits;
    void impose(const config::StateLimits& next);
    void at(double seconds);
    int refusedAsMalformed = 0;
    std::uint64_t revision_of(const std::string& path) const;
    const std::map<std::string, std::pair<wire::Json, std::uint64_t>>& keys() const { return keys_; }
    std::uint64_t revision = 0;
    std::vector<Change> log;

  private:
    std::string too_large(const wire::Json& transaction) const;

    std::map<std::string, std::pair<wire::Json, std::uint64_t>> keys_;
    std::optional<double> now_;
    double writesLeft_ = 0;
};

// Brings a view up to what the store holds, as reading the watch does.
void read_changes(const Store& store, state::StateCache& state, double wallS);
// The keys that a transaction writes or removes.
std::vector<std::string> written_keys(const wire::Json& transaction);

// What the test worlds have in common: the settings but for names and zones, and the types of machines.
config::Settings site_settings();
wire::Json machine_types();

// Runs one trace: a command per line, the expected answer on the lines after it that start with '>'.
class World {
  public:
    World();
    // What the command says in answer, one line.
    std::string run(const std::string& line);

  private:
    struct Controller {
        config::Settings settings;
        std::unique_ptr<controller::Core> core;
        wire::Json held;                                         // a transaction that has not reached the store yet
        std::map<std::string, std::vector<wire::Command>> sent;  // commands without an answer so far
        bool refused = false;  // the state service refuses it, alone or as it does everybody
        double lastReadS = 0;  // when it last read the state
        double servedS = 0;    // when the state service last answered it anything
        leadership::CancellationReadBarrier readBarrier{1};
    };
    Controller& at(const std::string& name);
    void sync(Controller& c);
    controller::Timestamp now() const { return {time_, 1'000'000 + time_}; }
    std::string commit(Controller& c, const state::TransactionBuilder& builder);
    std::string update_availability(Controller& c);

    double time_ = 100;
    config::Settings settings_;
    Store store_;
    std::map<std::string, Controller> controllers_;
    std::uint64_t incarnations_ = 0;
};

}  // namespace wellstair::test
