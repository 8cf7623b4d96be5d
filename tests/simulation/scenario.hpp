// What one simulated run is made of: its timetable, its limits, and the scenario that says which faults happen when.
//
// Owns nothing. Single-threaded test support; all times are seconds of the simulated clock.
#pragma once

#include "config/settings.hpp"

namespace wellstair::test {

class SimulatedCluster;

// The timetable of every run.
constexpr double kStepS = 0.25;               // the clock advances by this
constexpr double kFaultsStartS = 15;          // no fault before
constexpr double kFaultsEndS = 240;           // no fault and no submission after
constexpr double kRunTimeoutS = 2400;         // a run that is not over by then has failed
constexpr double kSubmissionsStartS = 5;      // no submission before
constexpr double kServicesStartS = 90;        // when the upgrade is over
constexpr double kUpgradeStartS = 40;         // the first controller is replaced
constexpr double kUpgradeIntervalS = 15;      // one more controller is replaced after each
constexpr double kStateLimitsLoweredS = 110;  // the state service enforces kLoweredStateLimits from here on

// The settings of the simulated site.
constexpr double kLeaseS = 20;
constexpr double kCancelS = 45;
constexpr double kMemberTtlS = 5;
constexpr double kTeamRedMaxCores = 20;
constexpr double kTeamBlueMaxCores = 24;
constexpr int kMaxServices = 1;  // a service keeps its room until the end: more might leave a gang none for ever

// The behaviour of workers.
constexpr double kHeartbeatTimeoutS = 4;            // a worker waits no longer for the answer to a heartbeat
constexpr double kMinChangeHeartbeatS = 0.5;        // heartbeats that report a change come no closer together
constexpr double kGangPeerTimeoutS = 8;             // a task of a gang exits when a peer has been missing for so long
constexpr double kMachineCores = 8;                 // of every machine type of the site
constexpr double kMaxWaitDespiteCapacityS = 90;     // after the faults, of a job that some machine has room for
constexpr std::size_t kMinWorkers = 6;              // lost machines are replaced below this number
constexpr std::size_t kInitialWorkers = 8;          // at the start of a run
constexpr std::size_t kInitialUpgradeWorkers = 24;  // at the start of a run with an upgrade

// What the state service takes once its limits have fallen: a shard of eight machines is too large for it.
constexpr config::StateLimits kLoweredStateLimits{0.45, 15, 5};

// Which faults a run has. Without `onStep`, faults come at random.
struct Scenario {
    const char* name;
    // Called at every step between kFaultsStartS and kFaultsEndS.
    void (*onStep)(SimulatedCluster&, double nowS) = nullptr;
    double lostTransactionReplyShare = 0.02;  // share of transactions without an answer; most of them are applied later
    double delayedHeartbeatCopyShare = 0.05;  // share of heartbeats of which a copy arrives later
    double urgentJobShare = 0.3;              // share of jobs of the priority class `urgent`
    double submissionChance = 0.06;           // chance that a job is submitted in one step
    double lostCommandReplyShare = 0.03;      // share of commands without a reply; half of these execute later
    bool upgrade = false;  // begins with old versions that are replaced one after the other; then the limits fall
    double slowMessageShare =
        0.1;  // share of heartbeats, commands, answers and replies that take up to two seconds each
};

}  // namespace wellstair::test
