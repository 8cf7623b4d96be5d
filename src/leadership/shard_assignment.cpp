#include "leadership/shard_assignment.hpp"

#include <algorithm>
#include <vector>

#include "common/stable_hash.hpp"

namespace wellstair::leadership {

const std::string& ShardAssignment::preferred_leader(const state::HostShard& shard) const {
    static const std::string kNone;
    const config::Settings& settings = context_.settings();
    std::vector<const std::string*> sameZone, all;
    auto consider = [&](const std::string& name, const std::string& zone) {
        all.push_back(&name);
        if (zone == shard.zone) sameZone.push_back(&name);
    };
    consider(settings.member, settings.location);
    for (const auto& member : settings.members) consider(member.name, member.zone);

    auto& candidates = sameZone.empty() ? all : sameZone;
    std::sort(candidates.begin(), candidates.end(), [](auto* a, auto* b) { return *a < *b; });
    const std::string& primary = *candidates[shard.number % candidates.size()];
    if (context_.state().member_live(primary)) return primary;

    // Rendezvous hashing over the live members, those of the shard's zone first.
    for (auto* group : {&sameZone, &all}) {
        const std::string* chosen = nullptr;
        for (const std::string* name : *group) {
            if (!context_.state().member_live(*name)) continue;
            if (!chosen || stable_hash(*name, shard.key) > stable_hash(*chosen, shard.key)) chosen = name;
        }
        if (chosen) return *chosen;
    }
    return kNone;
}

bool ShardAssignment::assigned_to_self(const state::HostShard& shard) const {
    return preferred_leader(shard) == context_.member();
}

}  // namespace wellstair::leadership
