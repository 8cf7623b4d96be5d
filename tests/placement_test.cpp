// Where tasks go: placement (LEM), the image cache, the order under overload, and which machines to rent.
#include <gtest/gtest.h>

#include "placement/lem.hpp"
#include "placement/overload.hpp"
#include "placement/room.hpp"
#include "placement/scale_out.hpp"

using namespace wellstair::placement;

namespace {

// Machines of 8 cores in two zones, in turn, with an empty image cache each.
struct Site {
    std::vector<ImageCache> caches;
    std::vector<Machine> machines;
    explicit Site(int machineCount) {
        for (int i = 0; i < machineCount; ++i) caches.emplace_back(10.0);
        for (int i = 0; i < machineCount; ++i) {
            Machine machine;
            machine.zone = i % 2;
            machine.total = {8, 0, 32};
            machine.cacheGb = 10;
            machine.fetchGbPerS = 0.1;
            machine.cache = &caches[i];
            machines.push_back(machine);
        }
    }
    // A task on machine `i` from the start on.
    void run(int i, double until, Resources need = {8, 0, 8}) {
        machines[i].busy = true;
        machines[i].allocations.push_back({0, until, need});
    }
};

Request request(std::size_t machines, std::uint32_t count = 1) {
    Request request;
    request.need = {8, 0, 8};
    request.image = "img";
    request.imageGb = 1;
    request.estimatedDurationS = 50;
    request.count = count;
    request.allowed.assign(machines, true);
    return request;
}

// PAPER, algorithm 5: with an idle machine left, the earliest image-ready time decides.
TEST(Lem, WithAnIdleMachineTheImageReadyFirstWins) {
    Site site(2);
    site.caches[1].mark_cached("img", 1, 0);
    Planner planner(100, site.machines, {});
    EXPECT_EQ(planner.place_batch(request(2), false)[0].machine, 1u);
}

// A fetch under way counts with its end, not as a whole fetch.
TEST(Lem, AFetchUnderWayCountsWithItsEnd) {
    Site site(2);
    site.caches[1].begin_fetch("img", 1, 95, 103);
    Planner planner(100, site.machines, {});
    EXPECT_EQ(planner.place_batch(request(2), false)[0].machine, 1u);
}

// Once every machine runs something, W decides between a wait for a warm slot and a fetch.
TEST(Lem, SaturatedWeightDecidesBetweenWaitingAndFetching) {
    for (auto [w, machine] : {std::pair(1.0, 0u), std::pair(10.0, 1u)}) {
        Site site(2);
        site.caches[1].mark_cached("img", 1, 0);
        site.run(0, 200, {1, 0, 1});  // runs something, has room, lacks the image: 10 s to fetch
        site.machines[0].total = {9, 0, 32};
        site.run(1, 130);  // warm, free in 30 s
        Weights weights;
        weights.loadOverheadWeight = w;
        Planner planner(100, site.machines, weights);
        auto slots = planner.place_batch(request(2), false);
        EXPECT_EQ(slots[0].machine, machine) << w;
        EXPECT_EQ(slots[0].start, machine == 0 ? 100 : 130);
    }
}

// What was promised to an earlier task is held: a later one may slip in only if it is over in time.
TEST(Lem, PromisesAreKept) {
    Site site(1);
    site.run(0, 130, {4, 0, 4});
    Planner planner(100, site.machines, {});
    EXPECT_EQ(planner.place_batch(request(1), false)[0].start, 130);
    Request small = request(1);
    small.need = {4, 0, 4}, small.estimatedDurationS = 50;
    EXPECT_GT(planner.place_batch(small, false)[0].start, 100);
    small.estimatedDurationS = 20;
    EXPECT_EQ(planner.place_batch(small, false)[0].start, 100);
}

TEST(Lem, EvictionPenaltyBreaksTheTie) {
    Site site(2);
    site.caches[0].mark_cached("old", 8, 0);
    site.run(0, 200, {1, 0, 1});
    site.run(1, 200, {1, 0, 1});
    for (auto& machine : site.machines) machine.total = {9, 0, 32};
    Planner planner(100, site.machines, {});
    EXPECT_EQ(planner.place_batch(request(2), false)[0].machine, 1u);
}

TEST(Lem, GangsStartWholeOrNotAtAll) {
    Site site(3);
    site.run(2, 140);
    Planner planner(100, site.machines, {});
    auto slots = planner.place_gang(request(3, 3), false);
    ASSERT_EQ(slots.size(), 3u);
    for (const auto& slot : slots) EXPECT_EQ(slot.start, 140);  // held for the moment at which all fit
    EXPECT_TRUE(Planner(100, site.machines, {}).place_gang(request(3, 3), true).empty());
    EXPECT_TRUE(Planner(100, site.machines, {}).place_gang(request(3, 4), false).empty());
}

TEST(Lem, ZonesOfAGang) {
    Site site(4);  // zones a, b, a, b
    Request coLocated = request(4, 2);
    coLocated.coLocated = true;
    auto slots = Planner(100, site.machines, {}).place_gang(coLocated, true);
    ASSERT_EQ(slots.size(), 2u);
    EXPECT_EQ(site.machines[slots[0].machine].zone, site.machines[slots[1].machine].zone);
    Request spread = request(4, 3);
    spread.spread = true, spread.maxTasksPerZone = 2;
    slots = Planner(100, site.machines, {}).place_gang(spread, true);
    ASSERT_EQ(slots.size(), 3u);
    int inA = 0;
    for (const auto& slot : slots) inA += site.machines[slot.machine].zone == 0;
    EXPECT_LE(inA, 2);
    EXPECT_GE(inA, 1);
}

TEST(Cache, LeastRecentlyUsedGoesFirstAndUnfinishedFetchesAreGivenUp) {
    ImageCache cache(10);
    cache.mark_cached("a", 4, 1);
    cache.mark_cached("b", 4, 2);
    cache.mark_cached("a", 4, 3);
    cache.mark_cached("d", 4, 4);
    EXPECT_LT(cache.ready_at("b", 5), 0);
    EXPECT_EQ(cache.ready_at("a", 5), 5);
    cache.begin_fetch("e", 1, 5, 20);
    EXPECT_EQ(cache.ready_at("e", 6), 20);
    cache.release("e", 7);
    EXPECT_LT(cache.ready_at("e", 8), 0);
}

TEST(Overload, AsManyAsPossibleAreInTime) {
    // One job of 100 s would make the three short ones late; it steps back.
    std::vector<DueJob> jobs = {{100, 10, {110, 300}}, {30, 10, {120}}, {30, 10, {130}}, {30, 10, {140}}};
    auto rate = [](std::size_t, double due) { return due; };
    EXPECT_EQ(order_by_due(jobs, rate), (std::vector<std::size_t>{1, 2, 3, 0}));
    // What is late at every level keeps the given order behind the rest.
    jobs = {{10, 10, {-5, -1}}, {10, 10, {-9}}, {10, 10, {50}}};
    EXPECT_EQ(order_by_due(jobs, rate), (std::vector<std::size_t>{2, 0, 1}));
}

// On full machines, what counts is what gets free in time: the wide job that would make the small ones late steps back,
// and is still before those that are late anyway.
TEST(Overload, OrderFollowsTheRoomThatGetsFree) {
    std::vector<Machine> machines(4);
    for (std::size_t i = 0; i < machines.size(); ++i) {
        machines[i].total = {16, 0, 64};
        machines[i].allocations = {{0, 10.0 * (i + 1), {15, 0, 26}}};  // one gets free every 10 s
    }
    Request kind;
    kind.need = {15, 0, 26}, kind.allowed = {true};
    FreeCapacityCurve room(machines, kind, 0);
    EXPECT_EQ(room.total_tasks(), 4u);
    EXPECT_EQ(room.fraction_free_within(9), 0);
    EXPECT_EQ(room.fraction_free_within(10), 0.25);
    EXPECT_EQ(room.fraction_free_within(100), 1);
    EXPECT_EQ(room.fraction_free_within(-1), 0);
    std::vector<DueJob> jobs = {{0.75, 0, {25, 200}}, {0.25, 0, {25, 200}}, {0.25, 0, {25, 200}}, {0.25, 0, {-5}}};
    auto by = [&](std::size_t, double due) { return room.fraction_free_within(due); };
    EXPECT_EQ(order_by_due(jobs, by), (std::vector<std::size_t>{1, 2, 0, 3}));
    // Others that go before all of these leave them less.
    EXPECT_EQ(order_by_due(jobs, by, 0.25), (std::vector<std::size_t>{1, 2, 0, 3}));
}

TEST(ScaleOut, CheapestPerTaskAndWhatIsComingIsFilledFirst) {
    std::vector<Offer> offers(2);
    offers[0].total = {8, 0, 32}, offers[0].rate = 1;
    offers[1].total = {64, 0, 256}, offers[1].rate = 4;
    TaskDemand want{{8, 0, 8}, 9, {true, true}};
    auto chosen = choose_scale_out(offers, {want}, {0, 0}, 20);
    ASSERT_EQ(chosen.size(), 2u);
    EXPECT_EQ(chosen[0].machineCount, 1u);
    EXPECT_EQ(chosen[1].machineCount, 1u);
    EXPECT_TRUE(choose_scale_out(offers, {want}, {1, 1}, 20).empty());
    offers[0].refused = offers[1].refused = true;
    EXPECT_TRUE(choose_scale_out(offers, {want}, {0, 0}, 20).empty());
}

// A gang starts when the last of its machines is ready: the zone where that is soonest is taken, not the first that has
// room.
TEST(Lem, AGangGoesToTheZoneWhereItsLastMachineIsReadyFirst) {
    Site site(4);  // zone 0: machines 0 and 2, zone 1: machines 1 and 3
    site.caches[0].mark_cached("img", 1, 0);
    site.caches[1].mark_cached("img", 1, 0);
    site.caches[3].mark_cached("img", 1, 0);
    Planner planner(100, site.machines, {});
    Request gang = request(4, 2);
    gang.coLocated = true;
    auto slots = planner.place_gang(gang, false);
    ASSERT_EQ(slots.size(), 2u);
    for (const auto& slot : slots) EXPECT_EQ(site.machines[slot.machine].zone, 1u);
}

// Small tasks fill up machines that are in use already, so that wide ones find whole machines; not at the price of a
// fetch.
TEST(Lem, SmallTasksArePackedWhereTheImageIs) {
    for (auto [warmEmpty, machine] : {std::pair(false, 1u), std::pair(true, 0u)}) {
        Site site(2);
        site.run(1, 200, {2, 0, 2});
        if (warmEmpty)
            site.caches[0].mark_cached("img", 1, 0);
        else
            for (auto& cache : site.caches) cache.mark_cached("img", 1, 0);
        Weights weights;
        weights.emptyHostPenaltyS = 2;
        Planner planner(100, site.machines, weights);
        Request small = request(2);
        small.need = {2, 0, 2};
        EXPECT_EQ(planner.place_batch(small, false)[0].machine, machine);
    }
}

// A thousand full machines and a long queue: starts pass over whole kinds of machines instead of looking at each, and
// one look serves all that follow. Counted in machines looked at, not in time.
TEST(Lem, ALongQueueBehindFullMachinesLooksAtNone) {
    Site site(1000);
    for (int i = 0; i < 1000; ++i) site.run(i, 200);
    site.machines[7].allocations.clear();
    Planner planner(100, site.machines, {});
    EXPECT_EQ(planner.place_batch(request(1), true).size(), 1u);
    auto first = planner.machines_examined();
    EXPECT_LE(first, 1100u);
    for (int job = 0; job < 500; ++job) EXPECT_TRUE(planner.place_batch(request(1), true).empty());
    EXPECT_LE(planner.machines_examined() - first, 1100u);
}

}  // namespace
