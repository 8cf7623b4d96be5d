// How long tasks are expected to run. A service has no estimate (`expectS` 0): it runs until it is cancelled, and must
// never be taken for a task that ends at once.
#pragma once

#include "config/settings.hpp"
#include "placement/lem.hpp"
#include "wire/messages.hpp"

namespace wellstair::controller {

// For holds and promises: for how long a task keeps its room.
inline double occupied_s(const wire::JobSpec& spec) {
    return spec.service() ? placement::kEndlessS : spec.estimatedDurationS;
}

// For the order under overload: how long a task's room counts as used. Of a service, as long as other work waits at
// most before it goes first; without a bound, a single service would outweigh everything else.
inline constexpr double kServiceTurnoverLeases = 7;
inline double turnover_s(const wire::JobSpec& spec, const config::Settings& settings) {
    return spec.service() ? kServiceTurnoverLeases * settings.leaseS : spec.estimatedDurationS;
}

}  // namespace wellstair::controller
