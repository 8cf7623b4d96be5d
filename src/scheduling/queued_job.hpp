// A job of the queue with what decides its place in the order.
#pragma once

#include "state/state_cache.hpp"

namespace wellstair::scheduling {

struct QueuedJob {
    state::Job* job = nullptr;
    int priority = 0;          // a lower number goes first
    bool overQuota = false;    // does not fit into its team's guarantee
    bool aged = false;         // has waited for so long that it goes before all others
    double capacityShare = 0;  // of all machines that it may use: what its open tasks take
};

}  // namespace wellstair::scheduling
