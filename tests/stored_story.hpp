// A scripted scenario that makes controllers write every kind of record that they keep in the state service. It builds
// with several versions of the code; the records that the version in production wrote for it are stored in tests/data
// (see the README there).
//
// Owns two controllers and their state service. Single-threaded test support.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/core.hpp"
#include "in_memory_state_store.hpp"
#include "peers/packet.hpp"

namespace wellstair::test {

// Returns the member record that a process writes when it registers.
using MemberValue = std::function<wire::Json(const controller::Core&, const config::Settings&)>;

// tests/data/make_production_data.cpp depends on the names of this class.
class StoredStory {
  public:
    static constexpr int kMachines = 400;  // in one zone, so that each of its six shards exceeds 2 KiB

    StoredStory(config::Settings settings, MemberValue member);
    // Runs the scenario and returns all changes of the state service in order.
    const std::vector<InMemoryStateStore::Change>& tell();
    // The status packet between controllers that is stored next to the records.
    static peers::PeerStatus peerStatus();

  private:
    struct Controller {
        config::Settings settings;
        std::unique_ptr<controller::Core> core;
    };
    controller::Timestamp now() const { return {timeS_, 1'000'000 + timeS_}; }
    std::int64_t wall_seconds() const { return static_cast<std::int64_t>(now().wall); }

    void write_unconditionally(wire::Json operations);
    void sync(Controller& reader);
    bool commit(const state::TransactionBuilder& builder);
    void join(Controller& joining, std::uint64_t incarnation);
    void run_rounds(Controller& running);
    wire::Heartbeat heartbeat(int machine, std::uint64_t sequence);
    void register_machines();
    void submit(const std::string& id, const std::string& kind, int tasks, const std::string& team);
    void run_tasks_and_end_some();
    void report_tasks(int machine, std::uint64_t sequence);
    void cancel(const std::string& id);
    void stop_gang(const std::string& id);
    void return_machine(const std::string& name, bool gone);
    void take_cloud_role();

    MemberValue member_;
    double timeS_ = 100;
    InMemoryStateStore store_;
    Controller a_, b_;
};

}  // namespace wellstair::test
