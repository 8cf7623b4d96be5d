// What a controller makes of what it hears: its standing and its health.
#include "model/standing.hpp"

#include <gtest/gtest.h>

using namespace wellstair::model;

namespace {

constexpr StandingLimits kLimits{45, 20};

Heard heard(double storeAgeS, bool peerHeard, bool peerHasStore) {
    Heard h;
    h.registered = h.hasPeers = true;
    h.storeAgeS = storeAgeS, h.peerHeard = peerHeard, h.peerHasStore = peerHasStore;
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
