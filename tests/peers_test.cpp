// Packets between controllers, and what a controller may conclude from their acknowledgements.
#include <gtest/gtest.h>

#include "leadership/cancellation_read_barrier.hpp"
#include "peers/packet.hpp"

using namespace wellstair::peers;

TEST(Peers, StatusSurvivesTheRoundTrip) {
    PeerStatus sent{"stairhost-1", 0x1234567890abcdefull, 1.25, true, {{"n-000001", false}, {"n-000017", true}}};
    sent.requestNumber = 0xfedcba9876543210ull;
    sent.acknowledged = 17;
    sent.cancelled = {"j-000412", "j-" + std::string(62, '7')};
    std::string bytes = pack(sent);
    EXPECT_EQ(packed_size(bytes), bytes.size());
    auto again = unpack(bytes);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->member, sent.member);
    EXPECT_EQ(again->incarnation, sent.incarnation);
    EXPECT_DOUBLE_EQ(again->storeContactAgeS, 1.25);
    EXPECT_TRUE(again->serving);
    EXPECT_EQ(again->unusable, sent.unusable);
    EXPECT_EQ(again->requestNumber, sent.requestNumber);
    EXPECT_EQ(again->acknowledged, sent.acknowledged);
    EXPECT_EQ(again->cancelled, sent.cancelled);
}

// What a controller learns from answers: as much as all of them have told, as of when it asked.
TEST(Peers, KnowsWhatAllHaveAnsweredSinceTheQuestion) {
    wellstair::leadership::CancellationReadBarrier readBarrier(100);
    const std::map<std::string, std::uint64_t> others = {{"b", 1}, {"c", 2}};
    auto first = readBarrier.next_request(10), second = readBarrier.next_request(20);
    EXPECT_LT(readBarrier.acknowledged_until(others), 0);
    readBarrier.acknowledge("b", 1, second);
    EXPECT_LT(readBarrier.acknowledged_until(others), 0);
    readBarrier.acknowledge("c", 2, first);
    EXPECT_EQ(readBarrier.acknowledged_until(others), 10);
    readBarrier.acknowledge("c", 2, second);
    EXPECT_EQ(readBarrier.acknowledged_until(others), 20);
    // Held back on the way, from an earlier process of ours, or of nobody's asking: nothing new.
    readBarrier.acknowledge("c", 2, first);
    readBarrier.acknowledge("c", 2, 99);
    readBarrier.acknowledge("c", 2, 102);
    readBarrier.acknowledge("c", 2, 0);
    EXPECT_EQ(readBarrier.acknowledged_until(others), 20);
    // Another process of that name knows nothing of what the one before has confirmed.
    readBarrier.acknowledge("c", 3, readBarrier.next_request(30));
    EXPECT_LT(readBarrier.acknowledged_until(others), 0);
    EXPECT_LT(readBarrier.acknowledged_until({}), 0);
}

// A zone that goes dark makes hundreds of machines unusable at once, all of a site's if need be: none is left out, or
// the others would go on planning for it.
TEST(Peers, EveryMachineOfALargeSiteHasRoom) {
    PeerStatus sent{"a", 1, 0, true, {}};
    for (int i = 3000; i > 0; --i) sent.unusable.push_back({"n-" + std::to_string(i), i % 2 == 0});
    auto again = unpack(pack(sent));
    ASSERT_TRUE(again);
    for (const auto& u : sent.unusable) {
        EXPECT_TRUE(again->is_unusable(u.name));
        EXPECT_EQ(again->unreachable(u.name), u.unreachable);
    }
    EXPECT_FALSE(again->is_unusable("n-0"));
}

TEST(Peers, ForeignBytesAreRefused) {
    std::string bytes = pack({"a", 1, 0, true, {}});
    EXPECT_FALSE(unpack(bytes.substr(0, 20)));
    EXPECT_FALSE(unpack(bytes + "x"));
    bytes[0] ^= 1;
    EXPECT_FALSE(packed_size(bytes));
}
