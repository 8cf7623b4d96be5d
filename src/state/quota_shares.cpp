#include "state/quota_shares.hpp"

#include <algorithm>

namespace wellstair::state {

namespace {

constexpr std::int64_t kNoLimit = std::int64_t{1} << 60;

bool grow(std::int64_t& share, std::int64_t needed, std::int64_t unassigned, std::int64_t members) {
    const std::int64_t lacking = std::max<std::int64_t>(0, needed - share);
    if (lacking > unassigned) return false;
    share += lacking + (unassigned - lacking) / members;
    return true;
}

}  // namespace

Use quota_limit(const config::Team& team) {
    return {team.cpusMax > 0 ? milli(team.cpusMax) : kNoLimit, team.gpusMax > 0 ? milli(team.gpusMax) : kNoLimit};
}

bool exceeds(const Use& amount, const Use& limit) {
    return amount.cores > limit.cores || amount.gpus > limit.gpus;
}

Use used_by(const TeamRecord& team, const std::string& member) {
    auto it = team.used.find(member);
    return it == team.used.end() ? Use{} : it->second;
}

bool grow_share(QuotaShares& shares, const QuotaNeed& need, const config::Settings& settings) {
    Use assigned;
    for (const auto& [name, share] : shares) assigned += share;
    const Use unassigned = need.limit - assigned;
    const std::int64_t members = settings.controller_count();
    Use grown = shares[need.member];
    if (!grow(grown.cores, need.needed.cores, unassigned.cores, members)) return false;
    if (!grow(grown.gpus, need.needed.gpus, unassigned.gpus, members)) return false;
    shares[need.member] = grown;
    return true;
}

QuotaShares redistribute_shares(const TeamRecord& team, const QuotaNeed& need, const config::Settings& settings) {
    const std::int64_t members = settings.controller_count();
    const Use unused = need.limit - need.total;
    const Use equalPart{unused.cores / members, unused.gpus / members};
    QuotaShares shares;
    for (const auto& [name, used] : team.used)
        if (used.cores > 0 || used.gpus > 0) shares[name] = used;
    for (const auto& member : settings.members) shares[member.name] += equalPart;
    shares[need.member] = need.needed + equalPart;
    return shares;
}

}  // namespace wellstair::state
