// How a team's quota is divided among the controllers. Pure functions; the result is stored by TransactionBuilder.
//
// The shares never add up to more than the limit, and no controller uses more than its share.
#pragma once

#include <string>

#include "config/settings.hpp"
#include "state/entities.hpp"

namespace wellstair::state {

// What a controller that places tasks needs of a team's quota, in thousandths.
struct QuotaNeed {
    const std::string& member;
    QuotaAmount needed;  // by this controller, with what it is about to place
    QuotaAmount total;   // by all controllers, with what it is about to place
    QuotaAmount limit;   // of the team
};

// The team's limit; a very large amount where the settings have none.
QuotaAmount quota_limit(const config::Team& team);
bool exceeds(const QuotaAmount& amount, const QuotaAmount& limit);
QuotaAmount used_by(const TeamRecord& team, const std::string& member);

// Adds what is lacking, and an equal part of the rest, from what is assigned to nobody. False, changing nothing, if
// that does not suffice.
bool grow_share(QuotaShares& shares, const QuotaNeed& need, const config::Settings& settings);
// All shares anew: everybody keeps what is in use and gets an equal part of what is not.
QuotaShares redistribute_shares(const TeamRecord& team, const QuotaNeed& need, const config::Settings& settings);

}  // namespace wellstair::state
