// Seeded runs with the faults that PROTOCOL and the operators name, and scenarios that combine two or more of them. The
// cluster that they run on is simulation/simulated_cluster.hpp.
#include <gtest/gtest.h>

#include "simulation/simulated_cluster.hpp"

using namespace wellstair::test;

namespace {

class RandomFaults : public testing::TestWithParam<unsigned> {};

TEST_P(RandomFaults, KeepTheRulesAndEveryJobEnds) {
    SimulatedCluster(GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, testing::Range(1u, 13u));

// The combinations of faults that the operators have named, one scenario each.
const Scenario kScenarios[] = {
    {.name = "LateTransactions",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(150)) cluster.crash(cluster.leader_of_most_machines(), 4);
             if (cluster.at(80) || cluster.at(120)) cluster.cancel_running_jobs(2);
         },
     .lostTransactionReplyShare = 0.25},
    {.name = "JobsBoundToAZoneLoseMachines",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(140)) cluster.remove_machines(4);
             if (cluster.at(100)) cluster.isolate_zone("b", 30);
         }},
    {.name = "TeamAtItsLimitWhenTheLeaderChanges",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(70) || cluster.at(150))
                 cluster.drop_heartbeats(0.4, 30), cluster.make_workers_unreachable(0.2, 40);
             if (cluster.at(72) || cluster.at(152)) cluster.crash(cluster.leader_of_most_machines(), 5);
             if (cluster.at(74) || cluster.at(154)) cluster.cancel_running_jobs(3);
         },
     .submissionChance = 0.08},
    {.name = "CancelledAtTheEnd",
     .onStep = [](SimulatedCluster& cluster, double) { cluster.set_cancel_at_completion_chance(0.6); }},
    {.name = "DelayedHeartbeatCopies",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50) || cluster.at(90) || cluster.at(130) || cluster.at(170))
                 cluster.crash(cluster.leader_of_most_machines(), 6);
             if (cluster.at(95)) cluster.cancel_running_jobs(2);
         },
     .delayedHeartbeatCopyShare = 0.4},
    {.name = "SlowStoreThenLeaderRefusedThenOutage",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(40)) cluster.slow_store_reads(30);
             if (cluster.at(80) || cluster.at(165)) cluster.disconnect_store(cluster.leader_of_most_machines(), 14);
             if (cluster.at(81) || cluster.at(82) || cluster.at(83) || cluster.at(167)) cluster.cancel_running_jobs(2);
             if (cluster.at(84)) cluster.store_outage(66);
             if (cluster.at(168)) cluster.store_outage(60);
         }},
    {.name = "AllAwayForLongerThanALease",
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
    {.name = "ZoneCutOffWithAController",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60)) cluster.isolate_zone("b", 32);
             if (cluster.at(62) || cluster.at(142)) cluster.cancel_running_jobs(3);
             if (cluster.at(70)) cluster.crash(cluster.leader_of_most_machines(), 4);
             if (cluster.at(140)) cluster.isolate_zone("a", 50);
         }},
    {.name = "MoreWorkThanRoom",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(100)) cluster.crash(cluster.leader_of_most_machines(), 5);
         },
     .urgentJobShare = 0.5,
     .submissionChance = 0.09},
    {.name = "SilentMachines",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50) || cluster.at(130)) cluster.drop_heartbeats(0.6, 45);
             if (cluster.at(53) || cluster.at(133)) cluster.cancel_running_jobs(3);
             if (cluster.at(135)) cluster.crash(cluster.leader_of_most_machines(), 5);
         }},
    {.name = "HungMachinesGoOn",
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
    {.name = "LeaderCutFromStoreAndPeers",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(150)) {
                 auto i = cluster.leader_of_most_machines();
                 cluster.disconnect_store(i, 50), cluster.disconnect_peers(i, 50);
             }
             if (cluster.at(62) || cluster.at(64) || cluster.at(70) || cluster.at(153)) cluster.cancel_running_jobs(2);
         }},
    {.name = "CancelledAtTheMomentOfTheRefusal",
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
         [](SimulatedCluster& cluster, double now) {
             for (int k = 0; k < 10; ++k)
                 if (cluster.at(60 + 12 * k)) cluster.crash(cluster.leader_of_most_machines(), k % 3 ? 5 : 0.3);
             if (cluster.at(100)) cluster.store_outage(25);
             if (now > 90 && now < 91) cluster.cancel_running_jobs(1);
         }},
    // A start without an answer executes up to 90 s later, when its job has long been cancelled.
    {.name = "CancelledStartsDelayed",
     .onStep = [](SimulatedCluster& cluster, double) { cluster.cancel_jobs_with_delayed_start(); },
     .submissionChance = 0.12,
     .lostCommandReplyShare = 0.3},
    // Commands end tasks and start others while the heartbeat of the first change is still on its way: the replies
    // overtake it. Then the machines reach nobody for longer than a lease.
    {.name = "HeartbeatsCrossCommandRepliesThenSilence",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             for (double at : {40.0, 95.0, 150.0}) {
                 if (cluster.at(at) || cluster.at(at + 1) || cluster.at(at + 2)) cluster.cancel_running_jobs(3);
                 if (cluster.at(at + 3)) cluster.drop_heartbeats(0.7, 40);
             }
         },
     .submissionChance = 0.12,
     .slowMessageShare = 0.5},
    {.name = "Upgrade", .onStep = [](SimulatedCluster&, double) {}, .upgrade = true},
    {.name = "UpgradeWithCrashes",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             // Before a turn: back old. During it, right after it, and when the limits fall.
             if (cluster.at(35) || cluster.at(56) || cluster.at(71) || cluster.at(111))
                 cluster.crash(cluster.leader_of_most_machines(), 0.3);
             if (cluster.at(90) || cluster.at(150))
                 for (std::size_t i = 0; i < cluster.controller_count(); ++i)
                     cluster.crash(i, 1.0 + static_cast<double>(i));
             if (cluster.at(120) || cluster.at(152)) cluster.cancel_running_jobs(2);
         },
     .lostTransactionReplyShare = 0.1,
     .upgrade = true},
    {.name = "UpgradeMeetsAnOutage",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(50)) cluster.store_outage(12);
             if (cluster.at(75)) cluster.disconnect_store(2, 30);  // the last one is away when the switch is due
             if (cluster.at(108)) cluster.store_outage(10);
             if (cluster.at(112)) cluster.remove_machines(2);
             if (cluster.at(130)) cluster.cancel_running_jobs(2);
         },
     .lostTransactionReplyShare = 0.05,
     .upgrade = true},
    {.name = "LimitsFallWhileAMemberIsAway",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(66)) cluster.disconnect_store(0, 110);
             if (cluster.at(115)) cluster.crash(cluster.leader_of_most_machines(), 5);
             if (cluster.at(117)) cluster.remove_machines(2);
             if (cluster.at(125)) cluster.make_workers_unreachable(0.3, 30);
         },
     .upgrade = true},
    {.name = "UpgradeMeetsACutZone",
     .onStep =
         [](SimulatedCluster& cluster, double) {
             if (cluster.at(60) || cluster.at(140)) cluster.isolate_zone("b", 32);
             if (cluster.at(90)) cluster.drop_heartbeats(0.3, 30);
             if (cluster.at(105)) cluster.hang_workers(0.3, 25);
             if (cluster.at(113) || cluster.at(145)) cluster.cancel_running_jobs(2, 20);
         },
     .delayedHeartbeatCopyShare = 0.1,
     .upgrade = true},
};

class CombinedFaults : public testing::TestWithParam<std::tuple<std::size_t, unsigned>> {};

TEST_P(CombinedFaults, KeepTheRules) {
    auto [scenario, seed] = GetParam();
    SimulatedCluster(seed, kScenarios[scenario]).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, CombinedFaults,
                         testing::Combine(testing::Range(std::size_t{0}, std::size(kScenarios)),
                                          testing::Values(1u, 2u)),
                         [](const auto& p) {
                             return std::string(kScenarios[std::get<0>(p.param)].name) +
                                    std::to_string(std::get<1>(p.param));
                         });

}  // namespace
