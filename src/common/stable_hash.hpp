// Hash for rendezvous hashing: controllers choose the same owner of a key without exchanging messages.
#pragma once

#include <cstdint>
#include <string_view>

namespace wellstair {

// The weight of a candidate for a key, equal in every process. An FNV-1a hash of both strings, followed by a
// multiplicative finalizer that spreads similar names evenly.
std::uint64_t stable_hash(std::string_view candidate, std::string_view key);

}  // namespace wellstair
