// Tests the member lease and the registration against a fake of the state service.
#include "service_fixture.hpp"

namespace wellstair::test {
namespace {

class Membership : public ServiceFixture {};

TEST_F(Membership, RegistersUnderItsLeaseAndRenewsIt) {
    start_reading();
    start(readBarrier.run());
    start(membership.run());
    ASSERT_TRUE(run_until(io, [this] { return core.member_revision() != 0; }));
    EXPECT_EQ(membership.lease_id(), store.newest_lease());
    ASSERT_TRUE(run_until(io, [this] { return core.availability() == state::Availability::serving; }));
    ASSERT_TRUE(run_until(io, [this] { return store.server().count("POST", "/grants/1/renew") >= 2; }));
    EXPECT_EQ(store.server().count("POST", "/grants"), 1 + store.server().count("POST", "/grants/1/renew"));
    EXPECT_EQ(store.writes_of(state::keys::member("ctl-a")), 1);
}

TEST_F(Membership, RegistersAgainWhenTheLeaseEnds) {
    start_reading();
    start(readBarrier.run());
    start(membership.run());
    ASSERT_TRUE(run_until(io, [this] { return core.member_revision() != 0; }));
    const std::uint64_t first = core.member_revision();
    store.expire_lease(membership.lease_id());
    ASSERT_TRUE(run_until(io, [&] { return core.member_revision() > first; }));
    EXPECT_EQ(store.newest_lease(), 2u);
    EXPECT_EQ(membership.lease_id(), 2u);
    EXPECT_EQ(store.writes_of(state::keys::member("ctl-a")), 2);
}

TEST_F(Membership, TakesANewLeaseWhenTheStateServiceDoesNotKnowItsOwn) {
    start_reading();
    start(readBarrier.run());
    start(membership.run());
    ASSERT_TRUE(run_until(io, [this] { return membership.lease_id() == 1; }));
    store.expire_lease(1);  // before the registration arrives, which is therefore rejected
    ASSERT_TRUE(run_until(io, [this] { return core.member_revision() != 0; }));
    EXPECT_EQ(membership.lease_id(), 2u);
    EXPECT_EQ(store.writes_of(state::keys::member("ctl-a")), 1);
}

}  // namespace
}  // namespace wellstair::test
