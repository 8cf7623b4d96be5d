// The shares of users and workers in the sockets of a controller.
#include "api/connection_quota.hpp"

#include <gtest/gtest.h>

using namespace wellstair::api;

// One controller is left for all machines of a site half as large again as its sockets were dealt for: users keep a
// part, workers the rest, and each may use what the other leaves.
TEST(ConnectionQuota, NeitherWorkersNorUsersShutTheOthersOut) {
    ConnectionQuota quota(1000);
    for (int i = 0; i < 1000; ++i) quota.acquire(Caller::worker);
    EXPECT_TRUE(quota.full());
    // A user comes: a worker's connection goes, and so on until users have their part.
    for (int i = 0; i < 100; ++i) {
        ASSERT_EQ(quota.over_quota(), Caller::worker);
        quota.release(Caller::worker);
        EXPECT_FALSE(quota.full());
        quota.acquire(Caller::user);
    }
    ASSERT_TRUE(quota.full());
    // More users than that displace users.
    quota.release(Caller::worker);
    quota.acquire(Caller::user);
    EXPECT_EQ(quota.over_quota(), Caller::user);
}
