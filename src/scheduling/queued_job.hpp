// A queued job with the attributes that decide its position in the queue.
#pragma once

#include "state/state_cache.hpp"

namespace wellstair::scheduling {

struct QueuedJob {
    state::Job* job = nullptr;
    int priority = 0;          // a lower number is a higher priority
    bool overQuota = false;    // exceeds its team's guarantee
    bool aged = false;         // goes before all others because of its long wait
    double capacityShare = 0;  // of all machines that it may use: what its open tasks take
};

}  // namespace wellstair::scheduling
