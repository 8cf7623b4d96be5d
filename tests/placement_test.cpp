// Placement of tasks (LEM), the image cache, the order of jobs under overload, and the choice of machines to rent.
#include <gtest/gtest.h>

#include "placement/lem.hpp"
#include "placement/overload.hpp"
#include "placement/room.hpp"
#include "placement/scale_out.hpp"

using namespace wellstair::placement;

namespace {

// Machines with 8 cores and an empty image cache each, alternating between two zones.
struct Cluster {
    std::vector<ImageCache> caches;
    std::vector<Machine> machines;
    explicit Cluster(int machineCount) {
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
    // Adds a task that has been running on machine `i` since time 0.
    void add_running_task(int i, double until, Resources need = {8, 0, 8}) {
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

// PAPER, algorithm 5: while a machine is idle, the earliest image-ready time decides.
TEST(Lem, IdleMachineWithEarliestImageReadyTimeIsChosen) {
    Cluster cluster(2);
    cluster.caches[1].mark_cached("img", 1, 0);
    Planner planner(100, cluster.machines, {});
    EXPECT_EQ(planner.place_batch(request(2), false)[0].machine, 1u);
}

// A fetch in progress is scored by its end, not by the duration of a whole fetch.
TEST(Lem, FetchInProgressIsScoredByItsEnd) {
    Cluster cluster(2);
    cluster.caches[1].begin_fetch("img", 1, 95, 103);
    Planner planner(100, cluster.machines, {});
    EXPECT_EQ(planner.place_batch(request(2), false)[0].machine, 1u);
}

// Once every machine runs a task, W decides between waiting for a machine with the image and fetching the image.
TEST(Lem, SaturatedWeightDecidesBetweenWaitingAndFetching) {
    for (auto [weight, machine] : {std::pair(1.0, 0u), std::pair(10.0, 1u)}) {
        Cluster cluster(2);
        cluster.caches[1].mark_cached("img", 1, 0);
        cluster.add_running_task(0, 200, {1, 0, 1});  // busy with free capacity, lacks the image: 10 s to fetch
        cluster.machines[0].total = {9, 0, 32};
        cluster.add_running_task(1, 130);  // has the image, free in 30 s
        Weights weights;
        weights.loadOverheadWeight = weight;
        Planner planner(100, cluster.machines, weights);
        auto slots = planner.place_batch(request(2), false);
        EXPECT_EQ(slots[0].machine, machine) << weight;
        EXPECT_EQ(slots[0].start, machine == 0 ? 100 : 130);
    }
}

// A later task must not delay a start that was promised to an earlier one: it is backfilled only if it ends in time.
TEST(Lem, BackfillingDoesNotDelayPromisedStarts) {
    Cluster cluster(1);
    cluster.add_running_task(0, 130, {4, 0, 4});
    Planner planner(100, cluster.machines, {});
    EXPECT_EQ(planner.place_batch(request(1), false)[0].start, 130);
    Request small = request(1);
    small.need = {4, 0, 4}, small.estimatedDurationS = 50;
    EXPECT_GT(planner.place_batch(small, false)[0].start, 100);
    small.estimatedDurationS = 20;
    EXPECT_EQ(planner.place_batch(small, false)[0].start, 100);
}

TEST(Lem, EvictionPenaltyBreaksTheTie) {
    Cluster cluster(2);
    cluster.caches[0].mark_cached("old", 8, 0);
    cluster.add_running_task(0, 200, {1, 0, 1});
    cluster.add_running_task(1, 200, {1, 0, 1});
    for (auto& machine : cluster.machines) machine.total = {9, 0, 32};
    Planner planner(100, cluster.machines, {});
    EXPECT_EQ(planner.place_batch(request(2), false)[0].machine, 1u);
}

TEST(Lem, GangStartsWithAllTasksOrNone) {
    Cluster cluster(3);
    cluster.add_running_task(2, 140);
    Planner planner(100, cluster.machines, {});
    auto slots = planner.place_gang(request(3, 3), false);
    ASSERT_EQ(slots.size(), 3u);
    for (const auto& slot : slots) EXPECT_EQ(slot.start, 140);  // promised for the time at which all fit
    EXPECT_TRUE(Planner(100, cluster.machines, {}).place_gang(request(3, 3), true).empty());
    EXPECT_TRUE(Planner(100, cluster.machines, {}).place_gang(request(3, 4), false).empty());
}

TEST(Lem, GangRespectsCoLocationAndSpread) {
    Cluster cluster(4);  // zones 0, 1, 0, 1
    Request coLocated = request(4, 2);
    coLocated.coLocated = true;
    auto slots = Planner(100, cluster.machines, {}).place_gang(coLocated, true);
    ASSERT_EQ(slots.size(), 2u);
    EXPECT_EQ(cluster.machines[slots[0].machine].zone, cluster.machines[slots[1].machine].zone);
    Request spread = request(4, 3);
    spread.spread = true, spread.maxTasksPerZone = 2;
    slots = Planner(100, cluster.machines, {}).place_gang(spread, true);
    ASSERT_EQ(slots.size(), 3u);
    int tasksInZone0 = 0;
    for (const auto& slot : slots) tasksInZone0 += cluster.machines[slot.machine].zone == 0;
    EXPECT_LE(tasksInZone0, 2);
    EXPECT_GE(tasksInZone0, 1);
}

TEST(Cache, EvictsLeastRecentlyUsedAndAbandonsUnfinishedFetches) {
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

TEST(Overload, AsManyJobsAsPossibleMeetTheirDueTimes) {
    // One job of 100 s would make the three short ones late; it is deferred.
    std::vector<DueJob> jobs = {{100, 10, {110, 300}}, {30, 10, {120}}, {30, 10, {130}}, {30, 10, {140}}};
    auto capacity = [](std::size_t, double due) { return due; };
    EXPECT_EQ(order_by_due(jobs, capacity), (std::vector<std::size_t>{1, 2, 3, 0}));
    // Jobs that are late at every level come last, in the given order.
    jobs = {{10, 10, {-5, -1}}, {10, 10, {-9}}, {10, 10, {50}}};
    EXPECT_EQ(order_by_due(jobs, capacity), (std::vector<std::size_t>{2, 0, 1}));
}

// On full machines, the order follows the capacity that becomes free in time: the large job that would make the small
// ones late is deferred, and still precedes jobs that are late anyway.
TEST(Overload, OrderFollowsCapacityThatBecomesFree) {
    std::vector<Machine> machines(4);
    for (std::size_t i = 0; i < machines.size(); ++i) {
        machines[i].total = {16, 0, 64};
        machines[i].allocations = {{0, 10.0 * (i + 1), {15, 0, 26}}};  // one becomes free every 10 s
    }
    Request request;
    request.need = {15, 0, 26}, request.allowed = {true};
    FreeCapacityCurve curve(machines, request, 0);
    EXPECT_EQ(curve.total_tasks(), 4u);
    EXPECT_EQ(curve.fraction_free_within(9), 0);
    EXPECT_EQ(curve.fraction_free_within(10), 0.25);
    EXPECT_EQ(curve.fraction_free_within(100), 1);
    EXPECT_EQ(curve.fraction_free_within(-1), 0);
    std::vector<DueJob> jobs = {{0.75, 0, {25, 200}}, {0.25, 0, {25, 200}}, {0.25, 0, {25, 200}}, {0.25, 0, {-5}}};
    auto capacity = [&](std::size_t, double due) { return curve.fraction_free_within(due); };
    EXPECT_EQ(order_by_due(jobs, capacity), (std::vector<std::size_t>{1, 2, 0, 3}));
    // Work of jobs that precede all of these reduces the capacity left for them.
    EXPECT_EQ(order_by_due(jobs, capacity, 0.25), (std::vector<std::size_t>{1, 2, 0, 3}));
}

TEST(ScaleOut, ChoosesCheapestPerTaskAndFillsPendingMachinesFirst) {
    std::vector<Offer> offers(2);
    offers[0].total = {8, 0, 32}, offers[0].rate = 1;
    offers[1].total = {64, 0, 256}, offers[1].rate = 4;
    TaskDemand demand{{8, 0, 8}, 9, {true, true}};
    auto chosen = choose_scale_out(offers, {demand}, {0, 0}, 20);
    ASSERT_EQ(chosen.size(), 2u);
    EXPECT_EQ(chosen[0].machineCount, 1u);
    EXPECT_EQ(chosen[1].machineCount, 1u);
    EXPECT_TRUE(choose_scale_out(offers, {demand}, {1, 1}, 20).empty());
    offers[0].refused = offers[1].refused = true;
    EXPECT_TRUE(choose_scale_out(offers, {demand}, {0, 0}, 20).empty());
}

// A gang starts when the last of its machines is ready: the zone where that is earliest is chosen, not the first zone
// with free capacity.
TEST(Lem, GangIsPlacedInTheZoneWhereItsLastMachineIsReadyFirst) {
    Cluster cluster(4);  // zone 0: machines 0 and 2, zone 1: machines 1 and 3
    cluster.caches[0].mark_cached("img", 1, 0);
    cluster.caches[1].mark_cached("img", 1, 0);
    cluster.caches[3].mark_cached("img", 1, 0);
    Planner planner(100, cluster.machines, {});
    Request gang = request(4, 2);
    gang.coLocated = true;
    auto slots = planner.place_gang(gang, false);
    ASSERT_EQ(slots.size(), 2u);
    for (const auto& slot : slots) EXPECT_EQ(cluster.machines[slot.machine].zone, 1u);
}

// Small tasks are packed on machines that are already in use, so that large tasks find whole machines, but not at the
// cost of fetching the image.
TEST(Lem, SmallTasksArePackedOnBusyMachinesThatHaveTheImage) {
    for (auto [idleHasImage, machine] : {std::pair(false, 1u), std::pair(true, 0u)}) {
        Cluster cluster(2);
        cluster.add_running_task(1, 200, {2, 0, 2});
        if (idleHasImage)
            cluster.caches[0].mark_cached("img", 1, 0);
        else
            for (auto& cache : cluster.caches) cache.mark_cached("img", 1, 0);
        Weights weights;
        weights.emptyHostPenaltyS = 2;
        Planner planner(100, cluster.machines, weights);
        Request small = request(2);
        small.need = {2, 0, 2};
        EXPECT_EQ(planner.place_batch(small, false)[0].machine, machine);
    }
}

// With a thousand full machines and a long queue, immediate starts must skip node pools without free capacity as a
// whole, and a single scan of the pool must serve all jobs that follow. Counted in examined machines, not in time.
TEST(Lem, LongQueueBehindFullMachinesExaminesNone) {
    Cluster cluster(1000);
    for (int i = 0; i < 1000; ++i) cluster.add_running_task(i, 200);
    cluster.machines[7].allocations.clear();
    Planner planner(100, cluster.machines, {});
    EXPECT_EQ(planner.place_batch(request(1), true).size(), 1u);
    auto firstScan = planner.machines_examined();
    EXPECT_LE(firstScan, 1100u);
    for (int job = 0; job < 500; ++job) EXPECT_TRUE(planner.place_batch(request(1), true).empty());
    EXPECT_LE(planner.machines_examined() - firstScan, 1100u);
}

}  // namespace
