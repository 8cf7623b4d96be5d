// How long tasks are expected to run. A service has no estimate (`estimatedDurationS` is 0): it runs until it is
// cancelled, and must never be taken for a task that ends at once.
#pragma once

#include "config/settings.hpp"
#include "placement/lem.hpp"
#include "wire/messages.hpp"

namespace wellstair::scheduling {

// For placement: seconds for which a task holds its resources.
inline double occupied_s(const wire::JobSpec& spec) {
    return spec.service() ? placement::kUnboundedDurationS : spec.estimatedDurationS;
}

// For the order under overload: leases for which the resources of a service's replica count as used. Other work waits
// about as long at most before it is put first for its age; without a bound, a single service would outweigh all else.
inline constexpr double kServiceTurnoverLeases = 7;
// The same in seconds, for any task.
inline double turnover_s(const wire::JobSpec& spec, const config::Settings& settings) {
    return spec.service() ? kServiceTurnoverLeases * settings.leaseS : spec.estimatedDurationS;
}

}  // namespace wellstair::scheduling
