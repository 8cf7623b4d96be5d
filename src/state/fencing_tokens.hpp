// The fencing tokens of a host's registrations.
//
// A registration grants its leader a range of tokens; the stored token is the last one. The leader sends its messages
// under the first and changes to the next by itself, without a write, when copies of its earlier messages must no
// longer be executed. The ranges of a host's registrations rise and do not overlap, so every token of an earlier leader
// is lower.
//
// Pure functions, free of I/O.
#pragma once

#include <cstdint>

namespace wellstair::state {

// Tokens granted by one registration.
inline constexpr std::uint64_t kTokensPerRegistration = 100'000;

// The tokens that a leader may use, both ends inclusive.
struct FencingTokenRange {
    std::uint64_t first = 0, last = 0;

    bool contains(std::uint64_t token) const { return token >= first && token <= last; }
};

// The token to be stored for a new registration. `highest`: the highest token known of the host, or the revision of the
// cached state if that is higher.
std::uint64_t next_registration_token(std::uint64_t highest);

// The tokens granted by a registration with this stored token, which was observed at this revision of its shard. One
// written by the version in production grants only the stored token.
FencingTokenRange granted_tokens(std::uint64_t stored, std::uint64_t revision);

}  // namespace wellstair::state
