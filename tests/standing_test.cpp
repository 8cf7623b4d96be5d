// What a controller makes of what it hears: its standing and its health.
#include "model/standing.hpp"

#include <gtest/gtest.h>

using namespace wellstair::model;

namespace {

constexpr StandingLimits kLimits{45, 20};

Heard heard(double storeAgeS, bool peerHeard, bool peerHasStore) {
    Heard h;
    h.registered = h.hasPeers = true;
    h.storeAgeS = h.contactAgeS = storeAgeS, h.peerHeard = peerHeard, h.peerHasStore = peerHasStore;
    return h;
}

TEST(Standing, AnOutageThatEverybodyHasIsSatOut) {
    Heard h = heard(5, true, false);
    EXPECT_EQ(judge(MemberState::live, h, kLimits), MemberState::adrift);
    h.adriftS = 20;
    EXPECT_TRUE(healthy(MemberState::adrift, true, h, kLimits));
}

TEST(Standing, OneThatAloneIsRefusedLetsGo) {
    EXPECT_EQ(judge(MemberState::live, heard(2, true, true), kLimits), MemberState::alone);
    EXPECT_FALSE(healthy(MemberState::alone, true, heard(2, true, true), kLimits));
}

// Without store and peers it cannot tell an outage from a cut: it goes on answering its machines, but users are sent
// elsewhere soon, and it lets go while a withdrawal told elsewhere can still end in time.
TEST(Standing, WithoutStoreAndPeersUsersAreSentElsewhereSoonAndItLetsGoInTime) {
    Heard h = heard(3, false, false);
    EXPECT_EQ(judge(MemberState::live, h, kLimits), MemberState::adrift);
    h.adriftS = 1.5;
    EXPECT_FALSE(healthy(MemberState::adrift, true, h, kLimits));
    EXPECT_EQ(judge(MemberState::adrift, heard(23.5, false, false), kLimits), MemberState::adrift);
    // Its machines' leases of 20 s, and their drift, then end before cancel_s is over.
    EXPECT_EQ(judge(MemberState::adrift, heard(24, false, false), kLimits), MemberState::alone);
    // The same when a real outage begins meanwhile: what counts is the last contact.
    EXPECT_EQ(judge(MemberState::adrift, heard(24, true, false), kLimits), MemberState::alone);
    EXPECT_EQ(judge(MemberState::alone, heard(0.1, true, true), kLimits), MemberState::live);
}

// Whatever else it hears, and whatever it was before: once its last read of the state is too old for a cancellation
// that it cannot know of to end in time, it answers no machine.
TEST(Standing, TheContactBoundsEveryStanding) {
    // cancel_s 45, lease 20, drift and a second for what is late.
    EXPECT_NEAR(answers_for(kLimits), 23.870, 0.001);
    struct Row {
        MemberState before;
        bool registered;
        double storeAgeS;
        bool peerHasStore;
        MemberState inside, outside;
    };
    using enum MemberState;
    const Row rows[] = {
        {live, true, 0.1, true, live, alone},  // renewals are served, reads are not
        {live, true, 0.1, false, live, alone},
        {live, false, 0.1, true, adrift, alone},  // the member key is gone, too
        {live, true, 5, false, adrift, alone},
        {adrift, true, 5, false, adrift, alone},
        {adrift, false, 5, false, adrift, alone},
        {alone, true, 5, false, adrift, alone},  // refused alone, then an outage that everybody has
        {alone, false, 0.1, false, alone, alone},
        {alone, true, 5, true, alone, alone},
        {joining, true, 5, false, joining, joining},  // answers nobody either
    };
    for (const Row& r : rows) {
        Heard h = heard(r.storeAgeS, true, r.peerHasStore);
        h.registered = r.registered;
        h.contactAgeS = answers_for(kLimits) - 0.01;
        EXPECT_EQ(judge(r.before, h, kLimits), r.inside) << &r - rows;
        h.contactAgeS = answers_for(kLimits) + 0.01;
        EXPECT_EQ(judge(r.before, h, kLimits), r.outside) << &r - rows;
    }
}

// A controller by itself cannot be apart from others.
TEST(Standing, TheOnlyControllerStaysHealthyInAnOutage) {
    Heard h = heard(5, false, false);
    h.hasPeers = false, h.adriftS = 10;
    EXPECT_TRUE(healthy(MemberState::adrift, true, h, kLimits));
}

// Its lease is renewed, but no read succeeds: every question would fail, and a job that nobody answers for is
// forgotten.
TEST(Standing, OneThatCanAnswerNothingDoesNotStayHealthy) {
    Heard h = heard(0.1, true, true);
    EXPECT_TRUE(healthy(MemberState::live, true, h, kLimits));
    h.readFailedS = 5;
    EXPECT_FALSE(healthy(MemberState::live, true, h, kLimits));
    EXPECT_FALSE(healthy(MemberState::live, false, heard(0.1, true, true), kLimits));
}

}  // namespace
