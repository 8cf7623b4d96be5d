#include <gtest/gtest.h>

#include "front/lots.hpp"

using namespace wellstair::front;

// One controller is left for all machines of a site half as large again as its sockets were dealt for: users keep a
// part, workers the rest, and each may use what the other leaves.
TEST(Front, NeitherWorkersNorUsersShutTheOthersOut) {
    Lots lots(1000);
    for (int i = 0; i < 1000; ++i) lots.take(Caller::worker);
    EXPECT_TRUE(lots.full());
    // A user comes: a worker's connection goes, and so on until users have their part.
    for (int i = 0; i < 100; ++i) {
        ASSERT_EQ(lots.over(), Caller::worker);
        lots.give(Caller::worker);
        EXPECT_FALSE(lots.full());
        lots.take(Caller::user);
    }
    ASSERT_TRUE(lots.full());
    // More users than that displace users.
    lots.give(Caller::worker);
    lots.take(Caller::user);
    EXPECT_EQ(lots.over(), Caller::user);
}
