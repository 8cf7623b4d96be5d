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

// A zone that goes dark makes hundreds of machines unusable at once, all of a site's if need be: none is left out, or
// the others would go on planning for it.
TEST(Peers, EveryMachineOfALargeSiteHasRoom) {
    Hint h{"a", 1, 0, true, {}};
    for (int i = 3000; i > 0; --i) h.unusable.push_back({"n-" + std::to_string(i), i % 2 == 0});
    auto again = unpack(pack(h));
    ASSERT_TRUE(again);
    for (const auto& u : h.unusable) {
        EXPECT_TRUE(again->lists(u.name));
        EXPECT_EQ(again->deaf(u.name), u.deaf);
    }
    EXPECT_FALSE(again->lists("n-0"));
}

TEST(Peers, ForeignBytesAreRefused) {
    std::string bytes = pack({"a", 1, 0, true, {}});
    EXPECT_FALSE(unpack(bytes.substr(0, 20)));
    EXPECT_FALSE(unpack(bytes + "x"));
    bytes[0] ^= 1;
    EXPECT_FALSE(packed_size(bytes));
}
