#include "reconciliation/task_failure_recorder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace wellstair::reconciliation {

using state::Job;
using wire::Cause;
using workers::HostTracker;
using workers::kNeverS;
using workers::ObservedTask;
using workers::TaskKey;

namespace {

// Leases for which a host that failed tasks, or a job that failed on several hosts, is held back at most. Neither is
// known to be at fault for ever: pauses that doubled without limit outlasted their causes by minutes, while the host
// was free and the job could have run anywhere.
constexpr double kLongestPauseLeases = 2;
// Ends of a service's replicas after which each is restarted at once.
constexpr int kEndsWithoutPause = 3;
// Hosts on which a job has failed from which on the job is at fault, not the hosts.
constexpr std::size_t kHostsUntilJobAtFault = 3;
// A job waits for this part of the heartbeat interval, as a divisor, after a host has refused one of its starts.
constexpr double kRefusalPauseDivisor = 3;

}  // namespace

void TaskFailureRecorder::record_task_end(HostTracker& tracker, const std::string& host, const TaskKey& key,
                                          const ObservedTask& observed, Timestamp now) {
    const Job* job = context_.state().job(key.first);
    const bool service = job && job->service();
    switch (observed.cause) {
        case Cause::done:
            if (service) record_replica_end(key.first, host, now);
            record_completion(tracker, key.first, service);
            break;
        case Cause::error:
            if (service) record_replica_end(key.first, host, now);
            record_error(tracker, host, key, service, now);
            break;
        case Cause::unknown:
        case Cause::busy:
        case Cause::full:
            record_refused_start(host, key, observed.cause, now);
            break;
        default:
            break;
    }
}

void TaskFailureRecorder::record_replica_end(const std::string& service, const std::string& host, Timestamp now) {
    const config::Settings& settings = context_.settings();
    const double longestPauseS = kLongestPauseLeases * settings.leaseS;
    JobHistory& history = histories_.get_or_create(service);
    if (now.steady - history.lastFailureS > longestPauseS) history = {};  // an earlier series of ends is forgotten
    history.lastFailureS = now.steady;
    history.failedOn.insert(host);
    if (++history.failures <= kEndsWithoutPause) return;
    const double pauseS = settings.heartbeatIntervalS * std::exp2(history.failures - kEndsWithoutPause - 1);
    history.notBeforeS = now.steady + std::min(pauseS, longestPauseS);
}

void TaskFailureRecorder::record_completion(HostTracker& tracker, const std::string& job, bool service) {
    tracker.failures = 0;
    tracker.failedJobs.clear();
    tracker.quarantineUntilS = kNeverS;
    if (!service) histories_.erase(job);
}

void TaskFailureRecorder::record_error(HostTracker& tracker, const std::string& host, const TaskKey& key, bool service,
                                       Timestamp now) {
    const config::Settings& settings = context_.settings();
    JobHistory& history = histories_.get_or_create(key.first);
    history.failedOn.insert(host);
    if (!service) ++history.failures;
    ++tracker.failures;
    tracker.failedJobs.insert(key.first);
    if (history.failedOn.size() < kHostsUntilJobAtFault) {
        const double leases = std::min(kLongestPauseLeases, std::exp2(tracker.failures - 1));
        tracker.quarantineUntilS = now.steady + settings.leaseS * leases;
    } else {
        tracker.failedJobs.erase(key.first);
        const bool cleared = tracker.failedJobs.empty();
        if (cleared) tracker.failures = 0;
        if (service) {
            tracker.quarantineUntilS = now.steady + settings.leaseS;  // avoided for a while all the same
        } else {
            const double pauseS = settings.heartbeatIntervalS * std::exp2(history.failures - 2);
            history.notBeforeS = now.steady + std::min(pauseS, kLongestPauseLeases * settings.leaseS);
            if (cleared) tracker.quarantineUntilS = kNeverS;
        }
    }
    spdlog::info("task {}/{} failed on {} ({} in a row there, job failed on {} machines)", key.first, key.second, host,
                 tracker.failures, history.failedOn.size());
}

void TaskFailureRecorder::record_refused_start(const std::string& host, const TaskKey& key, Cause cause,
                                               Timestamp now) {
    JobHistory& history = histories_.get_or_create(key.first);
    const double pauseS = context_.settings().heartbeatIntervalS / kRefusalPauseDivisor;
    history.notBeforeS = std::max(history.notBeforeS, now.steady + pauseS);
    spdlog::info("start of {}/{} refused by {}: {}", key.first, key.second, host, static_cast<int>(cause));
}

}  // namespace wellstair::reconciliation
