// Parameters of a simulated run: its timeline, settings and limits, and the scenario that defines its faults.
//
// Owns nothing. Single-threaded test support; all times are seconds of the simulated clock.
#pragma once

#include "config/settings.hpp"

namespace wellstair::test {

class SimulatedCluster;

// The timeline, common to all runs.
constexpr double kStepS = 0.25;               // one step of the clock
constexpr double kFaultsStartS = 15;          // no faults before this time
constexpr double kFaultsEndS = 240;           // no faults and no submissions after this time
constexpr double kRunTimeoutS = 2400;         // a run with unsettled jobs at this time fails
constexpr double kSubmissionsStartS = 5;      // no submissions before this time
constexpr double kServicesStartS = 90;        // no services before this time, at which an upgrade has finished
constexpr double kUpgradeStartS = 40;         // restart of the first controller with the new version
constexpr double kUpgradeIntervalS = 15;      // interval between the restarts of two controllers
constexpr double kStateLimitsLoweredS = 110;  // the state service then enforces kLoweredStateLimits

// The settings of the simulated site.
constexpr double kLeaseS = 20;
constexpr double kCancelS = 45;
constexpr double kMemberTtlS = 5;
constexpr double kTeamRedMaxCores = 20;
constexpr double kTeamBlueMaxCores = 24;
constexpr int kMaxServices = 1;  // services run until the end: several could block a gang for good

// The workers.
constexpr double kHeartbeatTimeoutS = 4;            // a worker then gives up on the response
constexpr double kMinChangeHeartbeatS = 0.5;        // minimum interval of heartbeats that report a change
constexpr double kGangPeerTimeoutS = 8;             // a gang task exits when a peer is missing for longer
constexpr double kMachineCores = 8;                 // of every machine type of the site
constexpr double kMaxCopyDelayS = 120;              // from the execution of a request to the arrival of a copy
constexpr double kMaxWaitDespiteCapacityS = 90;     // after the faults, for a job that some machine has capacity for
constexpr std::size_t kMinWorkers = 6;              // lost machines are replaced below this number
constexpr std::size_t kInitialWorkers = 8;          // at the start of a run
constexpr std::size_t kInitialUpgradeWorkers = 24;  // at the start of a run with an upgrade

// The limits of the state service once they are lowered. A shard of eight machines exceeds them.
constexpr config::StateLimits kLoweredStateLimits{0.45, 15, 5};

// The faults and load of a run. Without `onStep`, faults are drawn at random.
struct Scenario {
    const char* name;
    // Injects the faults; called at every step between kFaultsStartS and kFaultsEndS.
    void (*onStep)(SimulatedCluster&, double nowS) = nullptr;
    double lostTransactionReplyShare = 0.02;  // transactions without a reply; most are applied later
    double delayedHeartbeatCopyShare = 0.05;  // heartbeats of which a delayed copy arrives
    double urgentJobShare = 0.3;              // jobs of the priority class `urgent`
    double submissionChance = 0.06;           // probability of a submission in one step
    double lostCommandReplyShare = 0.03;      // command batches without a reply; half of them execute later
    double executedCommandCopyShare = 0;      // command batches that arrive again after they were executed
    double appliedTransactionCopyShare = 0;   // transactions that arrive again after they were applied
    // Whether the run starts with the old version, upgrades the controllers one by one, and then lowers the limits.
    bool upgrade = false;
    double slowMessageShare = 0.1;  // messages between workers and controllers delayed by up to two seconds
};

}  // namespace wellstair::test
