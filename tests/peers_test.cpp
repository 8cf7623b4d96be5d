// Status packets between controllers, and the read barrier over their acknowledgements.
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
    auto decoded = unpack(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->member, sent.member);
    EXPECT_EQ(decoded->incarnation, sent.incarnation);
    EXPECT_DOUBLE_EQ(decoded->storeContactAgeS, 1.25);
    EXPECT_TRUE(decoded->serving);
    EXPECT_EQ(decoded->unusable, sent.unusable);
    EXPECT_EQ(decoded->requestNumber, sent.requestNumber);
    EXPECT_EQ(decoded->acknowledged, sent.acknowledged);
    EXPECT_EQ(decoded->cancelled, sent.cancelled);
}

// A name that fills its field without the final zero, which no sender writes, must not be accepted as it is.
TEST(Peers, WhatIsUnpackedCanBePackedAgain) {
    constexpr std::size_t kMemberOffset = sizeof(PacketHeader) - sizeof(PacketHeader::member);
    std::string bytes = pack({"b", 1, 0, true, {}});
    bytes.replace(kMemberOffset, sizeof(PacketHeader::member), std::string(sizeof(PacketHeader::member), 'x'));
    const auto decoded = unpack(bytes);
    EXPECT_TRUE(!decoded || unpack(pack(*decoded))->member == decoded->member);
}

// The barrier advances to the time of the newest request that all other controllers have acknowledged.
TEST(Peers, ReadBarrierFollowsTheSlowestAcknowledgement) {
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
    // A delayed acknowledgement, one of a request of an earlier process, and ones that were never requested: no effect.
    readBarrier.acknowledge("c", 2, first);
    readBarrier.acknowledge("c", 2, 99);
    readBarrier.acknowledge("c", 2, 102);
    readBarrier.acknowledge("c", 2, 0);
    EXPECT_EQ(readBarrier.acknowledged_until(others), 20);
    // A new process of that name does not know the cancellations that its predecessor confirmed.
    readBarrier.acknowledge("c", 3, readBarrier.next_request(30));
    EXPECT_LT(readBarrier.acknowledged_until(others), 0);
    EXPECT_LT(readBarrier.acknowledged_until({}), 0);
}

// When a zone fails, hundreds of machines become unusable at once, up to all machines of a site. The packet must list
// every one of them, or the other controllers would keep planning tasks for it.
TEST(Peers, ListsEveryMachineOfALargeSite) {
    PeerStatus sent{"a", 1, 0, true, {}};
    for (int i = 3000; i > 0; --i) sent.unusable.push_back({"n-" + std::to_string(i), i % 2 == 0});
    auto decoded = unpack(pack(sent));
    ASSERT_TRUE(decoded);
    for (const auto& host : sent.unusable) {
        EXPECT_TRUE(decoded->is_unusable(host.name));
        EXPECT_EQ(decoded->unreachable(host.name), host.unreachable);
    }
    EXPECT_FALSE(decoded->is_unusable("n-0"));
}

TEST(Peers, InvalidBytesAreRejected) {
    std::string bytes = pack({"a", 1, 0, true, {}});
    EXPECT_FALSE(unpack(bytes.substr(0, 20)));
    EXPECT_FALSE(unpack(bytes + "x"));
    bytes[0] ^= 1;
    EXPECT_FALSE(packed_size(bytes));
}
