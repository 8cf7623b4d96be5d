// Options of the scheduler that an operator may set on the command line; the defaults are those of production.
#pragma once

#include "placement/lem.hpp"

namespace wellstair::scheduling {

struct TuningOptions {
    // W of LEA (PAPER section IV, algorithm 5): the weight of the load term. 0: the number of machines.
    double leaWeight = 1;
    // Assumed rate at which machines fetch images, in GB/s. 0: what the cloud publishes for the machine type.
    double fetchGbPerS = 0;
    // Capacity that is rented ahead of demand, as a multiple of what arrives while a machine boots.
    double headroom = 1;
    // LEM, or EFT or LEA alone for comparisons.
    placement::Weights::Mode mode = placement::Weights::Mode::mixed;
};

}  // namespace wellstair::scheduling
