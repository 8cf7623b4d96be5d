#include "common/stable_hash.hpp"

namespace wellstair {

std::uint64_t stable_hash(std::string_view candidate, std::string_view key) {
    // Not the standard offset basis, which is 14695981039346656037. All controllers must compute the same hash, so the
    // value cannot change while versions are mixed.
    constexpr std::uint64_t kOffsetBasis = 1469598103934665603ull;
    constexpr std::uint64_t kPrime = 1099511628211ull;
    constexpr std::uint64_t kFinalizer = 0xff51afd7ed558ccdull;
    std::uint64_t hash = kOffsetBasis;
    for (std::string_view part : {candidate, std::string_view("|"), key})
        for (unsigned char byte : part) hash = (hash ^ byte) * kPrime;
    hash ^= hash >> 33;
    hash *= kFinalizer;
    return hash ^ (hash >> 33);
}

}  // namespace wellstair
