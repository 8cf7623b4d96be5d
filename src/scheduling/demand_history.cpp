#include "scheduling/demand_history.hpp"

#include <algorithm>

namespace wellstair::scheduling {

using placement::Resources;

namespace {

constexpr double kArrivalWindowLeases = 4;     // window in which arrivals are counted
constexpr double kNeedRetentionLeases = 10;    // for which a need is kept after it was last seen
constexpr std::size_t kMaxCountedJobs = 4096;  // above this, ids of finished jobs are removed

}  // namespace

double ClassArrivals::tasks() const {
    double sum = 0;
    for (const JobArrival& arrival : arrivals) sum += arrival.tasks;
    return sum;
}

double DemandHistory::window_s() const {
    return kArrivalWindowLeases * context_.settings().leaseS;
}

void DemandHistory::record_arrivals(Timestamp now) {
    for (const auto& [order, job] : context_.state().queue()) {
        if (!countedJobs_.insert(job->id).second) continue;
        ClassArrivals& jobClass = byClass_[job->spec->jobClass];
        jobClass.latestSpec = *job->spec;
        jobClass.arrivals.push_back(
            {now.steady - (now.wall - static_cast<double>(job->submittedAtS)), job->spec->taskCount});
    }
    if (countedJobs_.size() > kMaxCountedJobs)
        std::erase_if(countedJobs_, [&](const std::string& id) { return !context_.state().job(id); });
    for (auto& [name, jobClass] : byClass_)
        while (!jobClass.arrivals.empty() && now.steady - jobClass.arrivals.front().atS > window_s())
            jobClass.arrivals.pop_front();
}

void DemandHistory::record_needs(Timestamp now) {
    for (const auto& [order, job] : context_.state().queue()) {
        const wire::JobSpec& spec = *job->spec;
        const double tasks = job->gang() || job->service() ? spec.taskCount : 1;
        JobNeed& need = needs_[{spec.team, static_cast<int>(spec.priority)}];
        need.cores = std::max(need.cores, spec.cores * tasks);
        need.gpus = std::max(need.gpus, spec.gpus * tasks);
        need.lastSeenS = now.steady;
    }
    const double retentionS = kNeedRetentionLeases * context_.settings().leaseS;
    std::erase_if(needs_, [&](const auto& entry) { return now.steady - entry.second.lastSeenS > retentionS; });
}

Resources DemandHistory::need_of_higher_priorities(const std::string& team, int priority) const {
    Resources sum;
    for (const auto& [key, need] : needs_)
        if (key.first == team && key.second < priority) sum.cores += need.cores, sum.gpus += need.gpus;
    return sum;
}

}  // namespace wellstair::scheduling
