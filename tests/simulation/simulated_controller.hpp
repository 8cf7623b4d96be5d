// One controller of a simulated run: its process, if it runs, and the connections it has lost.
//
// Owns the process's controller::Core. What happens to it is decided by SimulatedCluster. Single-threaded test support;
// all times are seconds of the simulated clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "controller/core.hpp"
#include "leadership/cancellation_read_barrier.hpp"

namespace wellstair::test {

struct SimulatedController {
    config::Settings settings;
    bool runsOldVersion = false;  // the version in production: it knows neither divided shards nor announced limits
    bool upgraded = false;        // its turn in the upgrade has come: from then on it starts as the new version

    std::unique_ptr<controller::Core> core;  // null while the process does not run
    std::uint64_t incarnation = 0;           // of the last process
    double restartAtS = 0;

    double storeUnreachableUntilS = 0;    // the state service refuses it
    double peersUnreachableUntilS = 0;    // neither hears other controllers nor is heard
    double workersUnreachableUntilS = 0;  // no worker reaches it, and it reaches none
    double slowReadsUntilS = 0;           // the state service answers, but its reads take seconds

    double lastStoreAnswerS = 0;
    double lastReadS = 0;
    double memberLeaseUntilS = 0;  // end of the lease of its member key
    wire::Json planned;            // the transaction of its round, to be sent in this step
    leadership::CancellationReadBarrier readBarrier{1};

    // Whether the process runs and has the availability `serving`.
    bool serving() const { return core && core->availability() == state::Availability::serving; }
    // The key of its member record.
    std::string member_key() const { return "ws/members/" + settings.member; }
    // What the process writes into its member record; the version in production writes no layout.
    wire::Json member_data() const {
        if (runsOldVersion) return wire::Json{{"inc", incarnation}};
        return core->member_data().encode();
    }
    // Ends the process; it is back at `restartAtS`.
    void crash(double untilS) {
        core.reset();
        restartAtS = untilS;
    }
};

}  // namespace wellstair::test
