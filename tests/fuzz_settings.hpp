// How long the fuzz tests run and which seed they draw from: a few seconds unless the environment says otherwise.
//
// Stateless. Test support.
#pragma once

#include <cstdlib>

namespace wellstair::test {

inline double fuzz_setting(const char* variable, double otherwise) {
    const char* text = std::getenv(variable);
    return text ? std::atof(text) : otherwise;
}
inline double fuzz_seconds() {
    return fuzz_setting("WELLSTAIR_FUZZ_SECONDS", 4);
}
inline unsigned fuzz_seed() {
    return static_cast<unsigned>(fuzz_setting("WELLSTAIR_FUZZ_SEED", 50));
}

}  // namespace wellstair::test
