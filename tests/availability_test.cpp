// The availability of a controller and its answer to health checks, by what it hears of the state service and its
// peers.
#include "leadership/availability.hpp"

#include <gtest/gtest.h>

using namespace wellstair::leadership;
using wellstair::state::Availability;

namespace {

constexpr AvailabilityLimits kLimits{45, 20};

AvailabilitySignals signals(double storeContactAgeS, bool peerHeard, bool peerReachesStore) {
    AvailabilitySignals heard;
    heard.registered = heard.hasPeers = true;
    heard.storeContactAgeS = heard.cancellationsReadAgeS = storeContactAgeS, heard.peerHeard = peerHeard,
    heard.peerReachesStore = peerReachesStore;
    return heard;
}

TEST(Availability, AnOutageThatEverybodyHasIsSatOut) {
    AvailabilitySignals heard = signals(5, true, false);
    EXPECT_EQ(next_availability(Availability::serving, heard, kLimits), Availability::disconnected);
    heard.disconnectedS = 20;
    EXPECT_TRUE(healthy(Availability::disconnected, true, heard, kLimits));
}

TEST(Availability, OneThatAloneIsRefusedLetsGo) {
    EXPECT_EQ(next_availability(Availability::serving, signals(2, true, true), kLimits), Availability::isolated);
    EXPECT_FALSE(healthy(Availability::isolated, true, signals(2, true, true), kLimits));
}

// Without store and peers it cannot tell an outage from a cut: it goes on answering its machines, but users are sent
// elsewhere soon, and it lets go while a cancellation told elsewhere can still end in time.
TEST(Availability, WithoutStoreAndPeersUsersAreSentElsewhereSoonAndItLetsGoInTime) {
    AvailabilitySignals heard = signals(3, false, false);
    EXPECT_EQ(next_availability(Availability::serving, heard, kLimits), Availability::disconnected);
    heard.disconnectedS = 1.5;
    EXPECT_FALSE(healthy(Availability::disconnected, true, heard, kLimits));
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
        double storeContactAgeS;
        bool peerReachesStore;
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
    for (const Row& row : rows) {
        AvailabilitySignals heard = signals(row.storeContactAgeS, true, row.peerReachesStore);
        heard.registered = row.registered;
        heard.cancellationsReadAgeS = answer_window(kLimits) - 0.01;
        EXPECT_EQ(next_availability(row.before, heard, kLimits), row.inside) << &row - rows;
        heard.cancellationsReadAgeS = answer_window(kLimits) + 0.01;
        EXPECT_EQ(next_availability(row.before, heard, kLimits), row.outside) << &row - rows;
    }
}

// A controller by itself cannot be apart from others.
TEST(Availability, TheOnlyControllerStaysHealthyInAnOutage) {
    AvailabilitySignals heard = signals(5, false, false);
    heard.hasPeers = false, heard.disconnectedS = 10;
    EXPECT_TRUE(healthy(Availability::disconnected, true, heard, kLimits));
}

// Its lease is renewed, but no read succeeds: every question would fail, and a job that nobody answers for is
// forgotten.
TEST(Availability, OneThatCanAnswerNothingDoesNotStayHealthy) {
    AvailabilitySignals heard = signals(0.1, true, true);
    EXPECT_TRUE(healthy(Availability::serving, true, heard, kLimits));
    heard.readFailedS = 5;
    EXPECT_FALSE(healthy(Availability::serving, true, heard, kLimits));
    EXPECT_FALSE(healthy(Availability::serving, false, signals(0.1, true, true), kLimits));
}

}  // namespace
