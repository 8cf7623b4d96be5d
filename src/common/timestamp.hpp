// One reading of the steady clock and the wall clock. Functions that depend on the time take it as an argument, so that
// tests can run them on a virtual clock.
#pragma once

namespace wellstair {

// A steady time, in seconds, before every event.
inline constexpr double kNeverS = -1e9;

struct Timestamp {
    double steady = 0;  // seconds on the steady clock, for durations, leases and timeouts
    double wall = 0;    // seconds since the Unix epoch, for times that other processes read
};

}  // namespace wellstair
