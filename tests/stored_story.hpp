// A story that writes every kind of record that controllers keep in the state service. It is told by whichever version
// it is built with: the records that production wrote for it are kept in tests/data (see the README there).
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

// What a process writes about itself when it registers.
using MemberValue = std::function<wire::Json(const controller::Core&, const config::Settings&)>;

class StoredStory {
  public:
    static constexpr int kMachines = 400;  // of one zone: each of its six shards takes more than 2 KiB

    StoredStory(config::Settings settings, MemberValue member);
    // Plays the whole story; returns all changes of the state service in their order.
    const std::vector<InMemoryStateStore::Change>& tell();
    // The status packet between controllers that is kept beside the records.
    static peers::PeerStatus peerStatus();

  private:
    struct Controller {
        config::Settings settings;
        std::unique_ptr<controller::Core> core;
    };
    controller::Timestamp now() const { return {timeS_, 1'000'000 + timeS_}; }
    std::int64_t wall_seconds() const { return static_cast<std::int64_t>(now().wall); }

    void write_unconditionally(wire::Json operations);
    void sync(Controller& c);
    bool commit(const state::TransactionBuilder& builder);
    void join(Controller& c, std::uint64_t incarnation);
    void run_rounds(Controller& c);
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
