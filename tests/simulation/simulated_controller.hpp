// One controller of a simulated run: its process, if it runs, and its present connection faults.
//
// Owns the controller::Core of the process; SimulatedCluster drives it. Single-threaded test support; all times are
// seconds of the simulated clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "controller/core.hpp"
#include "leadership/cancellation_read_barrier.hpp"

namespace wellstair::test {

struct SimulatedController {
    config::Settings settings;
    bool runsOldVersion = false;  // the version in production, without shard splitting and announced limits
    bool upgraded = false;        // further starts are of the new version

    std::unique_ptr<controller::Core> core;  // null while the process does not run
    std::uint64_t incarnation = 0;           // of the last process started
    double restartAtS = 0;

    double storeUnreachableUntilS = 0;    // the state service rejects its requests
    double peersUnreachableUntilS = 0;    // no packets to or from other controllers
    double workersUnreachableUntilS = 0;  // no messages to or from workers
    double slowReadsUntilS = 0;           // the state service responds, but reads take seconds

    double lastStoreAnswerS = 0;
    double lastReadS = 0;
    double memberLeaseUntilS = 0;  // expiry of the lease of its member key
    wire::Json planned;            // transaction planned in this step, not yet sent; null: none
    leadership::CancellationReadBarrier readBarrier{1};

    // Whether the process runs and has the availability `serving`.
    bool serving() const { return core && core->availability() == state::Availability::serving; }
    // The key of its member record.
    std::string member_key() const { return "ws/members/" + settings.member; }
    // The value that the process writes to its member record. The version in production writes no layout version.
    wire::Json member_data() const {
        if (runsOldVersion) return wire::Json{{"inc", incarnation}};
        return core->member_data().encode();
    }
    // Ends the process; it may start again from `untilS` on.
    void crash(double untilS) {
        core.reset();
        restartAtS = untilS;
    }
};

}  // namespace wellstair::test
