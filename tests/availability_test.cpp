// What a controller makes of what it hears: its standing and its health.
#include "leadership/availability.hpp"

#include <gtest/gtest.h>

using namespace wellstair::leadership;
using wellstair::state::Availability;

namespace {

constexpr AvailabilityLimits kLimits{45, 20};

AvailabilitySignals signals(double storeAgeS, bool peerHeard, bool peerHasStore) {
    AvailabilitySignals h;
    h.registered = h.hasPeers = true;
    h.storeAgeS = h.stateReadAgeS = storeAgeS, h.peerHeard = peerHeard, h.peerHasStore = peerHasStore;
    return h;
}

TEST(Availability, AnOutageThatEverybodyHasIsSatOut) {
    AvailabilitySignals h = signals(5, true, false);
    EXPECT_EQ(next_availability(Availability::serving, h, kLimits), Availability::disconnected);
    h.disconnectedS = 20;
    EXPECT_TRUE(healthy(Availability::disconnected, true, h, kLimits));
}

TEST(Availability, OneThatAloneIsRefusedLetsGo) {
    EXPECT_EQ(next_availability(Availability::serving, signals(2, true, true), kLimits), Availability::isolated);
    EXPECT_FALSE(healthy(Availability::isolated, true, signals(2, true, true), kLimits));
}

// Without store and peers it cannot tell an outage from a cut: it goes on answering its machines, but users are sent
// elsewhere soon, and it lets go while a cancellation told elsewhere can still end in time.
TEST(Availability, WithoutStoreAndPeersUsersAreSentElsewhereSoonAndItLetsGoInTime) {
    AvailabilitySignals h = signals(3, false, false);
    EXPECT_EQ(next_availability(Availability::serving, h, kLimits), Availability::disconnected);
    h.disconnectedS = 1.5;
    EXPECT_FALSE(healthy(Availability::disconnected, true, h, kLimits));
    EXPECT_EQ(next_availability(Availability::disconnected, signals(23.5, false, false), kLimits),
              Availability::disconnected);
    // Its machines' leases of 20 s, and their drift, then end before cancel_s is over.
    EXPECT_EQ(next_availability(Availability::disconnected, signals(24, false, false), kLimits),
              Availability::isolated);
    // The same when a real outage begins meanwhile: what counts is the last contact.
    EXPECT_EQ(next_availability(Availability::disconnected, signals(24, true, false), kLimits), Availability::isolated);
    EXPECT_EQ(next_availability(Availability::isolated, signals(0.1, true, true), kLimits), Availability::serving);
}

// Whatever else it hears, and whatever it was before: once its last read of the state is too old for a cancellation
// that it cannot know of to end in time, it answers no machine.
TEST(Availability, TheContactBoundsEveryStanding) {
    // cancel_s 45, lease 20, drift and a second for what is late.
    EXPECT_NEAR(answer_window(kLimits), 23.870, 0.001);
    struct Row {
        Availability before;
        bool registered;
        double storeAgeS;
        bool peerHasStore;
        Availability inside, outside;
    };
    using enum Availability;
    const Row rows[] = {
        {serving, true, 0.1, true, serving, isolated},  // renewals are served, reads are not
        {serving, true, 0.1, false, serving, isolated},
        {serving, false, 0.1, true, disconnected, isolated},  // the member key is gone, too
        {serving, true, 5, false, disconnected, isolated},
        {disconnected, true, 5, false, disconnected, isolated},
        {disconnected, false, 5, false, disconnected, isolated},
        {isolated, true, 5, false, disconnected, isolated},  // refused alone, then an outage that everybody has
        {isolated, false, 0.1, false, isolated, isolated},
        {isolated, true, 5, true, isolated, isolated},
        {joining, true, 5, false, joining, joining},  // answers nobody either
    };
    for (const Row& r : rows) {
        AvailabilitySignals h = signals(r.storeAgeS, true, r.peerHasStore);
        h.registered = r.registered;
        h.stateReadAgeS = answer_window(kLimits) - 0.01;
        EXPECT_EQ(next_availability(r.before, h, kLimits), r.inside) << &r - rows;
        h.stateReadAgeS = answer_window(kLimits) + 0.01;
        EXPECT_EQ(next_availability(r.before, h, kLimits), r.outside) << &r - rows;
    }
}

// A controller by itself cannot be apart from others.
TEST(Availability, TheOnlyControllerStaysHealthyInAnOutage) {
    AvailabilitySignals h = signals(5, false, false);
    h.hasPeers = false, h.disconnectedS = 10;
    EXPECT_TRUE(healthy(Availability::disconnected, true, h, kLimits));
}

// Its lease is renewed, but no read succeeds: every question would fail, and a job that nobody answers for is
// forgotten.
TEST(Availability, OneThatCanAnswerNothingDoesNotStayHealthy) {
    AvailabilitySignals h = signals(0.1, true, true);
    EXPECT_TRUE(healthy(Availability::serving, true, h, kLimits));
    h.readFailedS = 5;
    EXPECT_FALSE(healthy(Availability::serving, true, h, kLimits));
    EXPECT_FALSE(healthy(Availability::serving, false, signals(0.1, true, true), kLimits));
}

}  // namespace
