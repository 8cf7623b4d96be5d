// A hash that is the same in every process: controllers that have to agree without talking rank one another by it.
#pragma once

#include <cstdint>
#include <string_view>

namespace wellstair {

// FNV-1a over both texts, finished by a multiplicative mix so that similar names spread evenly.
std::uint64_t stable_hash(std::string_view candidate, std::string_view key);

}  // namespace wellstair
