// The shares of users and workers in a controller's connections.
#include "api/connection_quota.hpp"

#include <gtest/gtest.h>

using namespace wellstair::api;

// Workers or users could take all connections when one controller is left for all machines, and the site has 50% more
// machines than the socket limit was planned for. Users must keep their share and workers the rest, and each may use
// what the other leaves free.
TEST(ConnectionQuota, WorkersAndUsersKeepTheirShares) {
    ConnectionQuota quota(1000);
    for (int i = 0; i < 1000; ++i) quota.acquire(Caller::worker);
    EXPECT_TRUE(quota.full());
    // Each new user connection replaces a worker's until users have their share.
    for (int i = 0; i < 100; ++i) {
        ASSERT_EQ(quota.over_quota(), Caller::worker);
        quota.release(Caller::worker);
        EXPECT_FALSE(quota.full());
        quota.acquire(Caller::user);
    }
    ASSERT_TRUE(quota.full());
    // Above their share, users replace users.
    quota.release(Caller::worker);
    quota.acquire(Caller::user);
    EXPECT_EQ(quota.over_quota(), Caller::user);
}
