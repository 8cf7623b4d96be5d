// A small world on a virtual clock for kept traces: the state service's transactions, and controllers' cores on it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "controller/core.hpp"
#include "model/inquiry.hpp"

namespace wellstair::test {

// Stands in for the state service, by its protocol: conditions, stamps, one revision per transaction.
class Store {
  public:
    struct Change {
        std::string path;
        std::optional<wire::Json> data;
        std::uint64_t stamp;
    };
    // "ok N", "conflict KEY ...", "malformed WHY" (400) or "busy" (429).
    std::string commit(const wire::Json& txn);
    // Enforced from now on, as PROTOCOL says: values and transactions by size, writes by the time passed to `at`.
    std::optional<app::StateLimits> limits;
    void impose(const app::StateLimits& next);
    void at(double seconds);
    int refusedAsMalformed = 0;
    std::uint64_t stamp(const std::string& path) const;
    const std::map<std::string, std::pair<wire::Json, std::uint64_t>>& keys() const { return keys_; }
    std::uint64_t epoch = 0;
    std::vector<Change> log;

  private:
    std::string too_large(const wire::Json& txn) const;

    std::map<std::string, std::pair<wire::Json, std::uint64_t>> keys_;
    std::optional<double> now_;
    double writesLeft_ = 0;
};

// Brings a view up to what the store holds, as reading the watch does.
void read_changes(const Store& store, model::View& view, double wallS);
// The keys that a transaction writes or removes.
std::vector<std::string> written_keys(const wire::Json& txn);

// What the test worlds have in common: the settings but for names and zones, and the types of machines.
app::Settings site_settings();
wire::Json machine_types();

// Runs one trace: a command per line, the expected answer on the lines after it that start with '>'.
class World {
  public:
    World();
    // What the command says in answer, one line.
    std::string run(const std::string& line);

  private:
    struct Controller {
        app::Settings settings;
        std::unique_ptr<controller::Core> core;
        wire::Json held;                                       // a transaction that has not reached the store yet
        std::map<std::string, std::vector<wire::Order>> sent;  // commands without an answer so far
        bool refused = false;  // the state service refuses it, alone or as it does everybody
        double contactS = 0;   // when it last read the state
        double servedS = 0;    // when the state service last answered it anything
        model::Inquiry inquiry{1};
    };
    Controller& at(const std::string& name);
    void sync(Controller& c);
    controller::Moment now() const { return {time_, 1'000'000 + time_}; }
    std::string commit(Controller& c, const controller::Draft& draft);
    std::string judge(Controller& c);

    double time_ = 100;
    app::Settings settings_;
    Store store_;
    std::map<std::string, Controller> controllers_;
    std::uint64_t incarnations_ = 0;
};

}  // namespace wellstair::test
