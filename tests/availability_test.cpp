// A controller's availability and its answer to health checks, derived from its contact with the state service and with
// its peers.
#include "leadership/availability.hpp"

#include <gtest/gtest.h>

using namespace wellstair::leadership;
using wellstair::state::Availability;

namespace {

constexpr AvailabilityLimits kLimits{45, 20};

AvailabilitySignals make_signals(double storeContactAgeS, bool peerHeard, bool peerReachesStore) {
    AvailabilitySignals signals;
    signals.registered = signals.hasPeers = true;
    signals.storeContactAgeS = signals.cancellationsReadAgeS = storeContactAgeS, signals.peerHeard = peerHeard,
    signals.peerReachesStore = peerReachesStore;
    return signals;
}

TEST(Availability, OutageOfAllControllersKeepsItHealthy) {
    AvailabilitySignals signals = make_signals(5, true, false);
    EXPECT_EQ(next_availability(Availability::serving, signals, kLimits), Availability::disconnected);
    signals.disconnectedS = 20;
    EXPECT_TRUE(healthy(Availability::disconnected, true, signals, kLimits));
}

TEST(Availability, IsolatedWhenOnlyThisControllerLosesTheStateService) {
    EXPECT_EQ(next_availability(Availability::serving, make_signals(2, true, true), kLimits), Availability::isolated);
    EXPECT_FALSE(healthy(Availability::isolated, true, make_signals(2, true, true), kLimits));
}

// Without the state service and peers, an outage and a network partition look the same. The controller keeps answering
// its workers, but soon reports itself unhealthy, and it becomes isolated while a cancellation confirmed elsewhere can
// still take effect in time.
TEST(Availability, WithoutStoreAndPeersItIsUnhealthySoonAndIsolatedInTime) {
    AvailabilitySignals signals = make_signals(3, false, false);
    EXPECT_EQ(next_availability(Availability::serving, signals, kLimits), Availability::disconnected);
    signals.disconnectedS = 1.5;
    EXPECT_FALSE(healthy(Availability::disconnected, true, signals, kLimits));
    EXPECT_EQ(next_availability(Availability::disconnected, make_signals(23.5, false, false), kLimits),
              Availability::disconnected);
    // The workers' leases of 20 s, with clock drift, then end before cancel_s has passed.
    EXPECT_EQ(next_availability(Availability::disconnected, make_signals(24, false, false), kLimits),
              Availability::isolated);
    // The same if an outage of all controllers begins meanwhile: the last contact counts.
    EXPECT_EQ(next_availability(Availability::disconnected, make_signals(24, true, false), kLimits),
              Availability::isolated);
    EXPECT_EQ(next_availability(Availability::isolated, make_signals(0.1, true, true), kLimits), Availability::serving);
}

// Whatever the other signals and the previous state: a controller answers no worker once its last read of cancellations
// is too old for an unknown cancellation to take effect within cancel_s.
TEST(Availability, AgeOfCancellationReadOverridesAllOtherSignals) {
    // cancel_s 45, lease 20, clock drift, and 1 s for late timers.
    EXPECT_NEAR(answer_window(kLimits), 23.870, 0.001);
    struct Row {
        Availability before;
        bool registered;
        double storeContactAgeS;
        bool peerReachesStore;
        Availability inside, outside;
    };
    using enum Availability;
    const Row rows[] = {
        {serving, true, 0.1, true, serving, isolated},  // renewals succeed, reads fail
        {serving, true, 0.1, false, serving, isolated},
        {serving, false, 0.1, true, disconnected, isolated},  // the member key is gone, too
        {serving, true, 5, false, disconnected, isolated},
        {disconnected, true, 5, false, disconnected, isolated},
        {disconnected, false, 5, false, disconnected, isolated},
        {isolated, true, 5, false, disconnected, isolated},  // first cut off alone, then an outage of all controllers
        {isolated, false, 0.1, false, isolated, isolated},
        {isolated, true, 5, true, isolated, isolated},
        {joining, true, 5, false, joining, joining},  // does not answer workers either
    };
    for (const Row& row : rows) {
        AvailabilitySignals signals = make_signals(row.storeContactAgeS, true, row.peerReachesStore);
        signals.registered = row.registered;
        signals.cancellationsReadAgeS = answer_window(kLimits) - 0.01;
        EXPECT_EQ(next_availability(row.before, signals, kLimits), row.inside) << &row - rows;
        signals.cancellationsReadAgeS = answer_window(kLimits) + 0.01;
        EXPECT_EQ(next_availability(row.before, signals, kLimits), row.outside) << &row - rows;
    }
}

// Without configured peers, silence of peers is no sign of a partition.
TEST(Availability, OnlyControllerStaysHealthyInAnOutage) {
    AvailabilitySignals signals = make_signals(5, false, false);
    signals.hasPeers = false, signals.disconnectedS = 10;
    EXPECT_TRUE(healthy(Availability::disconnected, true, signals, kLimits));
}

// The member lease is renewed, but reads of the state fail: every user request would fail, and a job that no controller
// answers for is given up.
TEST(Availability, UnhealthyWhenReadsFail) {
    AvailabilitySignals signals = make_signals(0.1, true, true);
    EXPECT_TRUE(healthy(Availability::serving, true, signals, kLimits));
    signals.readFailedS = 5;
    EXPECT_FALSE(healthy(Availability::serving, true, signals, kLimits));
    EXPECT_FALSE(healthy(Availability::serving, false, make_signals(0.1, true, true), kLimits));
}

}  // namespace
