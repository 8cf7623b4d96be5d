#include "state/entities.hpp"

#include <algorithm>

namespace wellstair::state {

Task Job::task(std::uint32_t index, std::uint32_t chunkSize) const {
    const Chunk& chunk = chunks[index / chunkSize];
    return chunk.tasks.empty() ? Task{} : chunk.tasks[index % chunkSize];
}

bool Job::lost_replica() const {
    if (!service() || open() == 0) return false;
    return std::any_of(chunks.begin(), chunks.end(), [](const Chunk& chunk) {
        return std::any_of(chunk.tasks.begin(), chunk.tasks.end(),
                           [](const Task& task) { return task.state == TaskState::open && task.attempt > 0; });
    });
}

GangState Job::gang_state() const {
    if (done == spec->taskCount) return GangState::done;
    if (placed + done == spec->taskCount) return GangState::placed;
    if (placed == 0 && done == 0) return GangState::open;
    return GangState::partial;
}

}  // namespace wellstair::state
