#include "common/stable_hash.hpp"

namespace wellstair {

std::uint64_t stable_hash(std::string_view candidate, std::string_view key) {
    constexpr std::uint64_t kOffsetBasis = 1469598103934665603ull;
    constexpr std::uint64_t kPrime = 1099511628211ull;
    constexpr std::uint64_t kMixer = 0xff51afd7ed558ccdull;
    std::uint64_t hash = kOffsetBasis;
    for (std::string_view part : {candidate, std::string_view("|"), key})
        for (unsigned char c : part) hash = (hash ^ c) * kPrime;
    hash ^= hash >> 33;
    hash *= kMixer;
    return hash ^ (hash >> 33);
}

}  // namespace wellstair
