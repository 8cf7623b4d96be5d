#include "state/quota_shares.hpp"

#include <algorithm>

namespace wellstair::state {

namespace {

constexpr std::int64_t kNoLimit = std::int64_t{1} << 60;  // thousandths

// Grows the share of one resource; false, without effect, if the unassigned amount does not cover `needed`.
bool grow(std::int64_t& share, std::int64_t needed, std::int64_t unassigned, std::int64_t members) {
    const std::int64_t missing = std::max<std::int64_t>(0, needed - share);
    if (missing > unassigned) return false;
    share += missing + (unassigned - missing) / members;
    return true;
}

}  // namespace

QuotaAmount quota_limit(const config::Team& team) {
    return {team.cpusMax > 0 ? to_thousandths(team.cpusMax) : kNoLimit,
            team.gpusMax > 0 ? to_thousandths(team.gpusMax) : kNoLimit};
}

bool exceeds(const QuotaAmount& amount, const QuotaAmount& limit) {
    return amount.cores > limit.cores || amount.gpus > limit.gpus;
}

QuotaAmount used_by(const TeamRecord& team, const std::string& member) {
    auto it = team.used.find(member);
    return it == team.used.end() ? QuotaAmount{} : it->second;
}

bool grow_share(QuotaShares& shares, const QuotaNeed& need, const config::Settings& settings) {
    QuotaAmount assigned;
    for (const auto& [name, share] : shares) assigned += share;
    const QuotaAmount unassigned = need.limit - assigned;
    const std::int64_t members = settings.controller_count();
    QuotaAmount grown = shares[need.member];
    if (!grow(grown.cores, need.needed.cores, unassigned.cores, members)) return false;
    if (!grow(grown.gpus, need.needed.gpus, unassigned.gpus, members)) return false;
    shares[need.member] = grown;
    return true;
}

QuotaShares redistribute_shares(const TeamRecord& team, const QuotaNeed& need, const config::Settings& settings) {
    const std::int64_t members = settings.controller_count();
    const QuotaAmount unused = need.limit - need.total;
    const QuotaAmount equalPart{unused.cores / members, unused.gpus / members};
    QuotaShares shares;
    for (const auto& [name, used] : team.used)
        if (used.cores > 0 || used.gpus > 0) shares[name] = used;
    for (const auto& member : settings.members) shares[member.name] += equalPart;
    shares[need.member] = need.needed + equalPart;
    return shares;
}

}  // namespace wellstair::state
