// What the clocks of two machines may differ by.
#pragma once

namespace wellstair::config {

// A time that another machine counts is bounded by this factor of the same time by our own clock. PROTOCOL allows
// steady clocks to drift apart by 0.05%; four times that leaves room for a clock that is being corrected.
inline constexpr double kClockDriftFactor = 1.002;

}  // namespace wellstair::config
