#include "reconciliation/task_failure_recorder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "common/timestamp.hpp"

namespace wellstair::reconciliation {

using state::Job;
using wire::Cause;
using workers::HostTracker;
using workers::ObservedTask;
using workers::TaskKey;

namespace {

// Upper bound of host quarantine and job back-off, in leases. Unbounded doubling outlasted the cause of the failures by
// minutes, while the host was free and the job could have run anywhere.
constexpr double kMaxPauseLeases = 2;
// Number of replica ends in a row after which a service's replica is still restarted immediately.
constexpr int kEndsWithoutPause = 3;
// Number of hosts on which a job has failed, from which on the job rather than the hosts is taken to be the cause.
constexpr std::size_t kHostsUntilJobAtFault = 3;
// After a refused start, a job waits for the heartbeat interval divided by this.
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
    const double maxPauseS = kMaxPauseLeases * settings.leaseS;
    JobHistory& history = histories_.get_or_create(service);
    if (now.steady - history.lastFailureS > maxPauseS) history = {};  // the previous series of ends is over
    history.lastFailureS = now.steady;
    history.failedOn.insert(host);
    if (++history.failures <= kEndsWithoutPause) return;
    const double pauseS = settings.heartbeatIntervalS * std::exp2(history.failures - kEndsWithoutPause - 1);
    history.notBeforeS = now.steady + std::min(pauseS, maxPauseS);
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
        const double leases = std::min(kMaxPauseLeases, std::exp2(tracker.failures - 1));
        tracker.quarantineUntilS = now.steady + settings.leaseS * leases;
    } else {
        tracker.failedJobs.erase(key.first);
        const bool cleared = tracker.failedJobs.empty();
        if (cleared) tracker.failures = 0;
        if (service) {
            tracker.quarantineUntilS = now.steady + settings.leaseS;  // the host is still avoided for one lease
        } else {
            const double pauseS = settings.heartbeatIntervalS * std::exp2(history.failures - 2);
            history.notBeforeS = now.steady + std::min(pauseS, kMaxPauseLeases * settings.leaseS);
            if (cleared) tracker.quarantineUntilS = kNeverS;
        }
    }
    spdlog::info("task {}/{} failed on host {}: {} consecutive failures on the host, job has failed on {} hosts",
                 key.first, key.second, host, tracker.failures, history.failedOn.size());
}

void TaskFailureRecorder::record_refused_start(const std::string& host, const TaskKey& key, Cause cause,
                                               Timestamp now) {
    JobHistory& history = histories_.get_or_create(key.first);
    const double pauseS = context_.settings().heartbeatIntervalS / kRefusalPauseDivisor;
    history.notBeforeS = std::max(history.notBeforeS, now.steady + pauseS);
    spdlog::info("host {} refused the start of task {}/{}: cause {}; retrying in {:.1f} s at the earliest", host,
                 key.first, key.second, static_cast<int>(cause), pauseS);
}

}  // namespace wellstair::reconciliation
