// Division of a team's quota among the controllers. Pure functions; TransactionBuilder stores the result.
//
// Invariants: the shares never add up to more than the team's limit, and no controller uses more than its share.
#pragma once

#include <string>

#include "config/settings.hpp"
#include "state/entities.hpp"

namespace wellstair::state {

// A controller's demand on a team's quota, including the tasks that it is about to place.
struct QuotaNeed {
    const std::string& member;
    QuotaAmount needed;  // by this controller
    QuotaAmount total;   // by all controllers
    QuotaAmount limit;   // of the team
};

// The team's limit; practically unlimited for a resource without a configured limit.
QuotaAmount quota_limit(const config::Team& team);
// Whether `amount` exceeds `limit` in any resource.
bool exceeds(const QuotaAmount& amount, const QuotaAmount& limit);
// The part of the team's usage that is charged to the share of `member`.
QuotaAmount used_by(const TeamRecord& team, const std::string& member);

// Grows the member's share from the unassigned quota: by the missing amount and an equal part of the remainder. Returns
// false and leaves the shares unchanged if the unassigned quota does not suffice.
bool grow_share(QuotaShares& shares, const QuotaNeed& need, const config::Settings& settings);
// Recomputes all shares: each controller keeps the quota that it uses and gets an equal part of the unused quota.
QuotaShares redistribute_shares(const TeamRecord& team, const QuotaNeed& need, const config::Settings& settings);

}  // namespace wellstair::state
