// Seeded mixes of the troubles that PROTOCOL and the operators name, and the meetings of two troubles as scenarios; the
// world that they are played in is mixed_world.hpp.
#include "mixed_world.hpp"

using namespace wellstair::test;

namespace {

class MixedTroubles : public testing::TestWithParam<unsigned> {};

TEST_P(MixedTroubles, KeepTheRulesAndEveryJobEnds) {
    Mix(GetParam()).run();
}

INSTANTIATE_TEST_SUITE_P(Seeds, MixedTroubles, testing::Range(1u, 13u));

// The meetings of two troubles that the operators have named, one scenario each.
const Scenario kMeetings[] = {
    {"LateTransactions",
     [](Mix& m, double) {
         if (m.once(60) || m.once(150)) m.crash(m.leader(), 4);
         if (m.once(80) || m.once(120)) m.cancel_running(2);
     },
     0.25},
    {"JobsBoundToAZoneLoseMachines",
     [](Mix& m, double) {
         if (m.once(60) || m.once(140)) m.lose_machines(4);
         if (m.once(100)) m.cut_zone("b", 30);
     }},
    {"TeamAtItsLimitWhenTheLeaderChanges",
     [](Mix& m, double) {
         if (m.once(70) || m.once(150)) m.mute(0.4, 30), m.make_unreachable(0.2, 40);
         if (m.once(72) || m.once(152)) m.crash(m.leader(), 5);
         if (m.once(74) || m.once(154)) m.cancel_running(3);
     },
     0.02, 0.05, 0.3, 0.08},
    {"CancelledAtTheEnd", [](Mix& m, double) { m.cancel_at_ends(0.6); }},
    {"HeldReports",
     [](Mix& m, double) {
         if (m.once(50) || m.once(90) || m.once(130) || m.once(170)) m.crash(m.leader(), 6);
         if (m.once(95)) m.cancel_running(2);
     },
     0.02, 0.4},
    {"SlowThenAloneThenOutage",
     [](Mix& m, double) {
         if (m.once(40)) m.slow_store(30);
         if (m.once(80) || m.once(165)) m.refuse(m.leader(), 14);
         if (m.once(81) || m.once(82) || m.once(83) || m.once(167)) m.cancel_running(2);
         if (m.once(84)) m.outage(66);
         if (m.once(168)) m.outage(60);
     }},
    {"AllAwayForLongerThanALease",
     [](Mix& m, double) {
         if (m.once(60) || m.once(150))
             for (std::size_t i = 0; i < m.size(); ++i) m.crash(i, 22.0 + static_cast<double>(i));
         if (m.once(59.5) || m.once(149)) m.cancel_running(2);
     }},
    {"HandedOverAndBackAndAllEnd",
     [](Mix& m, double) {
         if (m.once(50) || m.once(58) || m.once(66)) m.crash(m.leader(), 0.3);
         if (m.once(75) || m.once(130)) m.crash(0, 12), m.crash(1, 0.3), m.crash(2, 12);
         if (m.once(76)) m.cancel_running(2);
         if (m.once(78) || m.once(131)) m.crash(1, 0.3);
     }},
    {"ZoneCutOffWithAController",
     [](Mix& m, double) {
         if (m.once(60)) m.cut_zone("b", 32);
         if (m.once(62) || m.once(142)) m.cancel_running(3);
         if (m.once(70)) m.crash(m.leader(), 4);
         if (m.once(140)) m.cut_zone("a", 50);
     }},
    {"MoreWorkThanRoom",
     [](Mix& m, double) {
         if (m.once(100)) m.crash(m.leader(), 5);
     },
     0.02, 0.05, 0.5, 0.09},
    {"MuteMachines",
     [](Mix& m, double) {
         if (m.once(50) || m.once(130)) m.mute(0.6, 45);
         if (m.once(53) || m.once(133)) m.cancel_running(3);
         if (m.once(135)) m.crash(m.leader(), 5);
     }},
    {"HungMachinesGoOn",
     [](Mix& m, double) {
         if (m.once(50)) m.cancel_running(3, 12);
         if (m.once(90)) m.cancel_running(3, 18);
         if (m.once(91)) m.crash(m.leader(), 5);
         if (m.once(130)) m.hang_some(0.4, 19);
         if (m.once(170)) m.cancel_running(3, 60);
         if (m.once(171)) m.outage(20);
     }},
    {"LeaderEndsWhileMachinesAreDeaf",
     [](Mix& m, double) {
         if (m.once(60) || m.once(140)) m.make_unreachable(0.5, 50);
         if (m.once(61) || m.once(141)) m.crash(m.leader(), 5);
         if (m.once(70)) m.cancel_running(2);
     }},
    {"LeaderCutFromStoreAndPeers",
     [](Mix& m, double) {
         if (m.once(60) || m.once(150)) {
             auto i = m.leader();
             m.refuse(i, 50), m.cut_peers(i, 50);
         }
         if (m.once(62) || m.once(64) || m.once(70) || m.once(153)) m.cancel_running(2);
     }},
    {"CancelledAtTheMomentOfTheRefusal",
     [](Mix& m, double) {
         if (m.once(70) || m.once(160)) {
             m.refuse(m.leader(), 14);
             m.cancel_running(4);
         }
         if (m.once(71) || m.once(161.5)) m.outage(66);
     }},
    {"LeadersChangeTenTimes",
     [](Mix& m, double now) {
         for (int k = 0; k < 10; ++k)
             if (m.once(60 + 12 * k)) m.crash(m.leader(), k % 3 ? 5 : 0.3);
         if (m.once(100)) m.outage(25);
         if (now > 90 && now < 91) m.cancel_running(1);
     }},
    // A start without an answer executes up to 90 s later, when its job has long been called off.
    {"CancelledStartsHeldUp", [](Mix& m, double) { m.cancel_starting(); }, 0.02, 0.05, 0.3, 0.12, 0.3},
    // Commands end tasks and start others while the heartbeat of the first change is still on its way: the replies
    // overtake it. Then the machines reach nobody for longer than a lease.
    {"ReportsCrossRepliesThenMute",
     [](Mix& m, double) {
         for (double at : {40.0, 95.0, 150.0}) {
             if (m.once(at) || m.once(at + 1) || m.once(at + 2)) m.cancel_running(3);
             if (m.once(at + 3)) m.mute(0.7, 40);
         }
     },
     0.02, 0.05, 0.3, 0.12, 0.03, false, 0.5},
    {"Upgrade", [](Mix&, double) {}, 0.02, 0.05, 0.3, 0.06, 0.03, true},
    {"UpgradeWithCrashes",
     [](Mix& m, double) {
         // Before a turn: back old. During it, right after it, and when the limits fall.
         if (m.once(35) || m.once(56) || m.once(71) || m.once(111)) m.crash(m.leader(), 0.3);
         if (m.once(90) || m.once(150))
             for (std::size_t i = 0; i < m.size(); ++i) m.crash(i, 1.0 + static_cast<double>(i));
         if (m.once(120) || m.once(152)) m.cancel_running(2);
     },
     0.1, 0.05, 0.3, 0.06, 0.03, true},
    {"UpgradeMeetsAnOutage",
     [](Mix& m, double) {
         if (m.once(50)) m.outage(12);
         if (m.once(75)) m.refuse(2, 30);  // the last one is away when the switch is due
         if (m.once(108)) m.outage(10);
         if (m.once(112)) m.lose_machines(2);
         if (m.once(130)) m.cancel_running(2);
     },
     0.05, 0.05, 0.3, 0.06, 0.03, true},
    {"LimitsFallWhileAMemberIsAway",
     [](Mix& m, double) {
         if (m.once(66)) m.refuse(0, 110);
         if (m.once(115)) m.crash(m.leader(), 5);
         if (m.once(117)) m.lose_machines(2);
         if (m.once(125)) m.make_unreachable(0.3, 30);
     },
     0.02, 0.05, 0.3, 0.06, 0.03, true},
    {"UpgradeMeetsACutZone",
     [](Mix& m, double) {
         if (m.once(60) || m.once(140)) m.cut_zone("b", 32);
         if (m.once(90)) m.mute(0.3, 30);
         if (m.once(105)) m.hang_some(0.3, 25);
         if (m.once(113) || m.once(145)) m.cancel_running(2, 20);
     },
     0.02, 0.1, 0.3, 0.06, 0.03, true},
};

class Meetings : public testing::TestWithParam<std::tuple<std::size_t, unsigned>> {};

TEST_P(Meetings, KeepTheRules) {
    auto [scenario, seed] = GetParam();
    Mix(seed, &kMeetings[scenario]).run();
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, Meetings, testing::Combine(testing::Range(std::size_t{0}, std::size(kMeetings)), testing::Values(1u, 2u)),
    [](const auto& p) {
        return std::string(kMeetings[std::get<0>(p.param)].name) + std::to_string(std::get<1>(p.param));
    });

}  // namespace
