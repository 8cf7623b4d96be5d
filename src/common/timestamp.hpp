// One reading of both clocks. Decisions take it as an argument, so that tests replay them on a virtual clock.
#pragma once

namespace wellstair {

struct Timestamp {
    double steady = 0;  // seconds on the steady clock: for durations, leases and time-outs
    double wall = 0;    // time of day, seconds since 1970: for what is stored and read by other processes
};

}  // namespace wellstair
