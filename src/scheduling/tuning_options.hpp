// Scheduler options that an operator may set on the command line. The defaults are those for production.
#pragma once

#include "placement/lem.hpp"

namespace wellstair::scheduling {

struct TuningOptions {
    // W of LEA (PAPER section IV, algorithm 5): weight of the load overhead. 0: the number of machines.
    double leaWeight = 1;
    // Assumed image fetch rate of machines, in GB/s. 0: the rate that the cloud publishes for the machine type.
    double fetchGbPerS = 0;
    // Capacity that is rented ahead of demand, as a multiple of the demand that usually arrives while a machine boots.
    double headroom = 1;
    // LEM by default; EFT or LEA alone serve for comparison.
    placement::Weights::Mode mode = placement::Weights::Mode::mixed;
};

}  // namespace wellstair::scheduling
