// Expected durations of tasks. A service runs until it is cancelled and has no estimate (`estimatedDurationS` is 0),
// which must not be read as a task that ends at once.
#pragma once

#include "config/settings.hpp"
#include "placement/lem.hpp"
#include "wire/messages.hpp"

namespace wellstair::scheduling {

// Seconds for which a task is expected to hold its resources; used for placement.
inline double occupied_s(const wire::JobSpec& spec) {
    return spec.service() ? placement::kUnboundedDurationS : spec.estimatedDurationS;
}

// Duration, in leases, that a service's replica counts for when jobs are ordered under overload. It is about the
// longest wait of other jobs before ageing moves them to the front; without a bound, one service would outweigh all
// other work.
inline constexpr double kServiceTurnoverLeases = 7;
// Seconds of resource use that a task counts for in the queue order and in the share of aged jobs.
inline double turnover_s(const wire::JobSpec& spec, const config::Settings& settings) {
    return spec.service() ? kServiceTurnoverLeases * settings.leaseS : spec.estimatedDurationS;
}

}  // namespace wellstair::scheduling
