// Fault-injection tests on the simulated cluster of simulation/simulated_cluster.hpp: seeded runs with random faults of
// the kinds that PROTOCOL and operators name, and scenarios that combine several of them.
#include <gtest/gtest.h>

#include "simulation/simulated_cluster.hpp"

using namespace wellstair::test;

namespace {

class RandomFaults : public testing::TestWithParam<unsigned> {};

TEST_P(RandomFaults, InvariantsHoldAndEveryJobEnds) {
    SimulatedCluster(GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, testing::Range(1u, 13u));

class RandomFaultsWithCopies : public testing::TestWithParam<unsigned> {};

TEST_P(RandomFaultsWithCopies, InvariantsHoldAndEveryJobEnds) {
    SimulatedCluster(GetParam(),
                     {.name = "random_faults", .executedCommandCopyShare = 0.3, .appliedTransactionCopyShare = 0.1})
        .run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaultsWithCopies, testing::Range(1u, 13u));

// Combinations of faults named by operators.
const Scenario kScenarios[] = {
    {.name = "LateTransactions",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(150)) cluster.crash(cluster.leader_of_most_machines(), 4);
             if (cluster.at(80) || cluster.at(120)) cluster.cancel_running_jobs(2);
         },
     .lostTransactionReplyShare = 0.25},
    {.name = "ZoneBoundJobsLoseMachines",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(140)) cluster.remove_machines(4);
             if (cluster.at(100)) cluster.isolate_zone("b", 30);
         }},
    {.name = "LeaderChangesWhileTeamIsAtItsQuota",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(70) || cluster.at(150))
                 cluster.drop_heartbeats(0.4, 30), cluster.make_workers_unreachable(0.2, 40);
             if (cluster.at(72) || cluster.at(152)) cluster.crash(cluster.leader_of_most_machines(), 5);
             if (cluster.at(74) || cluster.at(154)) cluster.cancel_running_jobs(3);
         },
     .submissionChance = 0.08},
    {.name = "CancelledAtCompletion",
     .onStep = [](SimulatedCluster& cluster, double) { cluster.set_cancel_at_completion_chance(0.6); }},
    {.name = "DelayedHeartbeatCopies",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50) || cluster.at(90) || cluster.at(130) || cluster.at(170))
                 cluster.crash(cluster.leader_of_most_machines(), 6);
             if (cluster.at(95)) cluster.cancel_running_jobs(2);
         },
     .delayedHeartbeatCopyShare = 0.4},
    {.name = "SlowStoreThenLeaderDisconnectedThenOutage",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(40)) cluster.slow_store_reads(30);
             if (cluster.at(80) || cluster.at(165)) cluster.disconnect_store(cluster.leader_of_most_machines(), 14);
             if (cluster.at(81) || cluster.at(82) || cluster.at(83) || cluster.at(167)) cluster.cancel_running_jobs(2);
             if (cluster.at(84)) cluster.store_outage(66);
             if (cluster.at(168)) cluster.store_outage(60);
         }},
    {.name = "AllControllersDownForLongerThanALease",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(150))
                 for (std::size_t i = 0; i < cluster.controller_count(); ++i)
                     cluster.crash(i, 22.0 + static_cast<double>(i));
             if (cluster.at(59.5) || cluster.at(149)) cluster.cancel_running_jobs(2);
         }},
    {.name = "LeadershipMovesAndReturnsAndAllCrash",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50) || cluster.at(58) || cluster.at(66))
                 cluster.crash(cluster.leader_of_most_machines(), 0.3);
             if (cluster.at(75) || cluster.at(130)) cluster.crash(0, 12), cluster.crash(1, 0.3), cluster.crash(2, 12);
             if (cluster.at(76)) cluster.cancel_running_jobs(2);
             if (cluster.at(78) || cluster.at(131)) cluster.crash(1, 0.3);
         }},
    {.name = "ZoneIsolatedWithAController",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60)) cluster.isolate_zone("b", 32);
             if (cluster.at(62) || cluster.at(142)) cluster.cancel_running_jobs(3);
             if (cluster.at(70)) cluster.crash(cluster.leader_of_most_machines(), 4);
             if (cluster.at(140)) cluster.isolate_zone("a", 50);
         }},
    {.name = "DemandExceedsCapacity",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(100)) cluster.crash(cluster.leader_of_most_machines(), 5);
         },
     .urgentJobShare = 0.5,
     .submissionChance = 0.09},
    {.name = "HeartbeatsLost",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50) || cluster.at(130)) cluster.drop_heartbeats(0.6, 45);
             if (cluster.at(53) || cluster.at(133)) cluster.cancel_running_jobs(3);
             if (cluster.at(135)) cluster.crash(cluster.leader_of_most_machines(), 5);
         }},
    {.name = "HungMachinesResume",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50)) cluster.cancel_running_jobs(3, 12);
             if (cluster.at(90)) cluster.cancel_running_jobs(3, 18);
             if (cluster.at(91)) cluster.crash(cluster.leader_of_most_machines(), 5);
             if (cluster.at(130)) cluster.hang_workers(0.4, 19);
             if (cluster.at(170)) cluster.cancel_running_jobs(3, 60);
             if (cluster.at(171)) cluster.store_outage(20);
         }},
    {.name = "LeaderCrashesWhileMachinesAreUnreachable",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(140)) cluster.make_workers_unreachable(0.5, 50);
             if (cluster.at(61) || cluster.at(141)) cluster.crash(cluster.leader_of_most_machines(), 5);
             if (cluster.at(70)) cluster.cancel_running_jobs(2);
         }},
    {.name = "LeaderDisconnectedFromStoreAndPeers",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(150)) {
                 auto leader = cluster.leader_of_most_machines();
                 cluster.disconnect_store(leader, 50), cluster.disconnect_peers(leader, 50);
             }
             if (cluster.at(62) || cluster.at(64) || cluster.at(70) || cluster.at(153)) cluster.cancel_running_jobs(2);
         }},
    {.name = "CancelledWhenLeaderIsDisconnectedFromStore",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(70) || cluster.at(160)) {
                 cluster.disconnect_store(cluster.leader_of_most_machines(), 14);
                 cluster.cancel_running_jobs(4);
             }
             if (cluster.at(71) || cluster.at(161.5)) cluster.store_outage(66);
         }},
    {.name = "LeadersChangeTenTimes",
     .onStep =
         [](SimulatedCluster& cluster, double nowS) {
             for (int i = 0; i < 10; ++i)
                 if (cluster.at(60 + 12 * i)) cluster.crash(cluster.leader_of_most_machines(), i % 3 ? 5 : 0.3);
             if (cluster.at(100)) cluster.store_outage(25);
             if (nowS > 90 && nowS < 91) cluster.cancel_running_jobs(1);
         }},
    // A start command without a reply executes up to 90 s later, long after the cancellation of its job.
    {.name = "CancelledStartsDelayed",
     .onStep = [](SimulatedCluster& cluster, double) { cluster.cancel_jobs_with_delayed_start(); },
     .submissionChance = 0.12,
     .lostCommandReplyShare = 0.3},
    // Commands end and start tasks while the heartbeat of the first change is in flight, so that command replies
    // overtake it. Then the heartbeats of most machines are lost for longer than a lease.
    {.name = "CommandRepliesOvertakeHeartbeatsThenHeartbeatsLost",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             for (double startS : {40.0, 95.0, 150.0}) {
                 if (cluster.at(startS) || cluster.at(startS + 1) || cluster.at(startS + 2))
                     cluster.cancel_running_jobs(3);
                 if (cluster.at(startS + 3)) cluster.drop_heartbeats(0.7, 40);
             }
         },
     .submissionChance = 0.12,
     .slowMessageShare = 0.5},
    {.name = "WorkersRestartWhileTheirHeartbeatsAreLost",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             for (double startS : {40.0, 90.0, 140.0, 190.0}) {
                 if (cluster.at(startS)) cluster.restart_workers_unheard(0.6, 35);
                 if (cluster.at(startS + 1) || cluster.at(startS + 4)) cluster.cancel_running_jobs(1);
             }
             if (cluster.at(92)) cluster.crash(cluster.leader_of_most_machines(), 0.3);
             if (cluster.at(143)) cluster.crash(cluster.leader_of_most_machines(), 5);
         },
     .submissionChance = 0.12},
    {.name = "Upgrade", .onStep = [](SimulatedCluster&, double) {}, .upgrade = true},
    {.name = "UpgradeWithCrashes",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             // Before the leader's turn in the upgrade, when it restarts as the old version; during and right after a
             // turn; and when the limits are lowered.
             if (cluster.at(35) || cluster.at(56) || cluster.at(71) || cluster.at(111))
                 cluster.crash(cluster.leader_of_most_machines(), 0.3);
             if (cluster.at(90) || cluster.at(150))
                 for (std::size_t i = 0; i < cluster.controller_count(); ++i)
                     cluster.crash(i, 1.0 + static_cast<double>(i));
             if (cluster.at(120) || cluster.at(152)) cluster.cancel_running_jobs(2);
         },
     .lostTransactionReplyShare = 0.1,
     .upgrade = true},
    {.name = "UpgradeDuringOutage",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50)) cluster.store_outage(12);
             if (cluster.at(75)) cluster.disconnect_store(2, 30);  // disconnected when the layout switch is due
             if (cluster.at(108)) cluster.store_outage(10);
             if (cluster.at(112)) cluster.remove_machines(2);
             if (cluster.at(130)) cluster.cancel_running_jobs(2);
         },
     .lostTransactionReplyShare = 0.05,
     .upgrade = true},
    {.name = "LimitsLoweredWhileAMemberIsDisconnected",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(66)) cluster.disconnect_store(0, 110);
             if (cluster.at(115)) cluster.crash(cluster.leader_of_most_machines(), 5);
             if (cluster.at(117)) cluster.remove_machines(2);
             if (cluster.at(125)) cluster.make_workers_unreachable(0.3, 30);
         },
     .upgrade = true},
    {.name = "UpgradeDuringZoneIsolation",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(140)) cluster.isolate_zone("b", 32);
             if (cluster.at(90)) cluster.drop_heartbeats(0.3, 30);
             if (cluster.at(105)) cluster.hang_workers(0.3, 25);
             if (cluster.at(113) || cluster.at(145)) cluster.cancel_running_jobs(2, 20);
         },
     .delayedHeartbeatCopyShare = 0.1,
     .upgrade = true},
    {.name = "CommandCopiesWhileLeadersReturnAtOnce",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             for (double startS : {40.0, 70.0, 100.0, 130.0, 160.0, 190.0}) {
                 if (cluster.at(startS)) cluster.cancel_running_jobs(1);
                 if (cluster.at(startS + 5)) cluster.crash(cluster.leader_of_most_machines(), 0.3);
             }
         },
     .submissionChance = 0.09,
     .executedCommandCopyShare = 0.5},
    {.name = "CommandCopiesDuringAnUpgrade",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(75) || cluster.at(120)) cluster.cancel_running_jobs(2);
         },
     .executedCommandCopyShare = 0.5,
     .upgrade = true},
};

class CombinedFaults : public testing::TestWithParam<std::tuple<std::size_t, unsigned>> {};

TEST_P(CombinedFaults, InvariantsHoldAndEveryJobEnds) {
    auto [scenario, seed] = GetParam();
    SimulatedCluster(seed, kScenarios[scenario]).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, CombinedFaults,
                         testing::Combine(testing::Range(std::size_t{0}, std::size(kScenarios)),
                                          testing::Values(1u, 2u)),
                         [](const auto& info) {
                             return std::string(kScenarios[std::get<0>(info.param)].name) +
                                    std::to_string(std::get<1>(info.param));
                         });

}  // namespace
