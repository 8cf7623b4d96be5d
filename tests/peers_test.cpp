#include <gtest/gtest.h>

#include "peers/packet.hpp"

using namespace wellstair::peers;

TEST(Peers, HintsSurviveTheRoundTrip) {
    Hint h{"stairhost-1", 0x1234567890abcdefull, 1.25, true, {{"n-000001", false}, {"n-000017", true}}};
    std::string bytes = pack(h);
    EXPECT_EQ(packed_size(bytes), bytes.size());
    auto again = unpack(bytes);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->member, h.member);
    EXPECT_EQ(again->incarnation, h.incarnation);
    EXPECT_DOUBLE_EQ(again->storeAgeS, 1.25);
    EXPECT_TRUE(again->live);
    EXPECT_EQ(again->unusable, h.unusable);
}

TEST(Peers, ForeignBytesAreRefused) {
    std::string bytes = pack({"a", 1, 0, true, {}});
    EXPECT_FALSE(unpack(bytes.substr(0, 20)));
    EXPECT_FALSE(unpack(bytes + "x"));
    bytes[0] ^= 1;
    EXPECT_FALSE(packed_size(bytes));
}
