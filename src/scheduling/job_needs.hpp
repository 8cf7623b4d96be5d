// Resource needs and placement constraints of a job's tasks: pure functions of the job specification.
#pragma once

#include <algorithm>
#include <string>

#include "placement/lem.hpp"
#include "wire/messages.hpp"

namespace wellstair::scheduling {

// Resources that one task needs.
inline placement::Resources need_of(const wire::JobSpec& spec) {
    return {spec.cores, spec.gpus, spec.ramGb};
}

// Share of its team's limit that one task uses; limits count cores and GPUs only.
inline placement::Resources quota_need_of(const wire::JobSpec& spec) {
    return {spec.cores, spec.gpus, 0};
}

// Whether the job allows machines of this type and zone, spot or not.
inline bool allows(const wire::JobSpec& spec, const std::string& machineType, const std::string& zone, bool spot) {
    if (spec.machineTypes &&
        std::find(spec.machineTypes->begin(), spec.machineTypes->end(), machineType) == spec.machineTypes->end())
        return false;
    if (spec.zone && *spec.zone != zone) return false;
    return !spot || spec.spotAllowed;
}

}  // namespace wellstair::scheduling
