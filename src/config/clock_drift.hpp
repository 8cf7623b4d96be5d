// Bound on the relative drift between the steady clocks of two machines.
#pragma once

namespace wellstair::config {

// A duration measured on another machine is at most this multiple of the same duration on the local steady clock.
// PROTOCOL allows a drift of 0.05%; four times that leaves a margin for a clock that is being adjusted.
inline constexpr double kClockDriftFactor = 1.002;

}  // namespace wellstair::config
