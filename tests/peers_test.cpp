#include <gtest/gtest.h>

#include "model/inquiry.hpp"
#include "peers/packet.hpp"

using namespace wellstair::peers;

TEST(Peers, HintsSurviveTheRoundTrip) {
    Hint h{"stairhost-1", 0x1234567890abcdefull, 1.25, true, {{"n-000001", false}, {"n-000017", true}}};
    h.question = 0xfedcba9876543210ull, h.answered = 17, h.cancelled = {"j-000412", "j-" + std::string(62, '7')};
    std::string bytes = pack(h);
    EXPECT_EQ(packed_size(bytes), bytes.size());
    auto again = unpack(bytes);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->member, h.member);
    EXPECT_EQ(again->incarnation, h.incarnation);
    EXPECT_DOUBLE_EQ(again->storeAgeS, 1.25);
    EXPECT_TRUE(again->live);
    EXPECT_EQ(again->unusable, h.unusable);
    EXPECT_EQ(again->question, h.question);
    EXPECT_EQ(again->answered, h.answered);
    EXPECT_EQ(again->cancelled, h.cancelled);
}

// What a controller learns from answers: as much as all of them have told, as of when it asked.
TEST(Peers, KnowsWhatAllHaveAnsweredSinceTheQuestion) {
    wellstair::model::Inquiry inquiry(100);
    const std::map<std::string, std::uint64_t> others = {{"b", 1}, {"c", 2}};
    auto first = inquiry.ask(10), second = inquiry.ask(20);
    EXPECT_LT(inquiry.known_until(others), 0);
    inquiry.answered("b", 1, second);
    EXPECT_LT(inquiry.known_until(others), 0);
    inquiry.answered("c", 2, first);
    EXPECT_EQ(inquiry.known_until(others), 10);
    inquiry.answered("c", 2, second);
    EXPECT_EQ(inquiry.known_until(others), 20);
    // Held back on the way, from an earlier process of ours, or of nobody's asking: nothing new.
    inquiry.answered("c", 2, first);
    inquiry.answered("c", 2, 99);
    inquiry.answered("c", 2, 102);
    inquiry.answered("c", 2, 0);
    EXPECT_EQ(inquiry.known_until(others), 20);
    // Another process of that name knows nothing of what the one before has confirmed.
    inquiry.answered("c", 3, inquiry.ask(30));
    EXPECT_LT(inquiry.known_until(others), 0);
    EXPECT_LT(inquiry.known_until({}), 0);
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
