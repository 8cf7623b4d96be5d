// The seeded random numbers of one simulated run. A seed reproduces a run exactly, so a change to the order or number
// of draws changes the run of every seed.
//
// Owns its engine. Single-threaded test support.
#pragma once

#include <cstddef>
#include <random>

namespace wellstair::test {

class RandomSource {
  public:
    explicit RandomSource(unsigned seed) : engine_(seed) {}

    // True with the given probability. One draw.
    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(engine_) < probability; }
    // Uniform in [low, high). One draw.
    double between(double low, double high) { return std::uniform_real_distribution<double>(low, high)(engine_); }
    // Uniform in [0, count). One draw.
    std::size_t pick(std::size_t count) { return engine_() % count; }

  private:
    std::mt19937 engine_;
};

}  // namespace wellstair::test
