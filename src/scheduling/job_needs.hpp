// What a job's tasks need, and where they may run: pure functions of the job's description.
#pragma once

#include <algorithm>
#include <string>

#include "placement/lem.hpp"
#include "wire/messages.hpp"

namespace wellstair::scheduling {

// What one task takes.
inline placement::Resources need_of(const wire::JobSpec& spec) {
    return {spec.cores, spec.gpus, spec.ramGb};
}

// What one task takes of its team's limit, which counts cores and GPUs alone.
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
