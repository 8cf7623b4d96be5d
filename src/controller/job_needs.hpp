// What a job's tasks need, and where they may run.
#pragma once

#include <algorithm>
#include <string>

#include "placement/lem.hpp"
#include "wire/messages.hpp"

namespace wellstair::controller {

inline placement::Need need_of(const wire::JobSpec& spec) {
    return {spec.cores, spec.gpus, spec.ramGb};
}

// Whether the job allows machines of this type and zone, spot or not.
inline bool allows(const wire::JobSpec& spec, const std::string& build, const std::string& hall, bool loaner) {
    if (spec.builds && std::find(spec.builds->begin(), spec.builds->end(), build) == spec.builds->end()) return false;
    if (spec.hall && *spec.hall != hall) return false;
    return !loaner || spec.loaners;
}

}  // namespace wellstair::controller
