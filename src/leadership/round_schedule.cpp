#include "leadership/round_schedule.hpp"

namespace wellstair::leadership {

void RoundSchedule::mark_job_due(const state::Job& job) {
    roundDue_ = true;
    for (const state::Chunk& chunk : job.chunks) {
        if (!chunk.placed) continue;
        for (const state::Task& task : chunk.tasks)
            if (task.host) mark_due(*task.host);
    }
}

}  // namespace wellstair::leadership
