#include "scheduling/job_ageing.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "scheduling/duration_estimates.hpp"

namespace wellstair::scheduling {

using state::Job;

namespace {

// Leases after which a waiting job has aged; kGangAgeingLeases for a gang of several tasks.
constexpr double kBatchAgeingLeases = 7;
constexpr double kStartedBatchAgeingLeases = 15;  // the remaining tasks of a batch that has started
constexpr double kOverdueLeases = 8;              // wait after which a job counts as too late already
constexpr std::int64_t kOverdueTurnPeriod = 4;    // jobs that are too late compete equally in one lease of so many
// Fraction of the capacity that becomes free which aged jobs may take.
constexpr double kGangShare = 0.7;
constexpr double kBatchShare = 0.25;
constexpr double kTolerance = 1e-9;  // for rounding errors in sums of resources

}  // namespace

std::vector<QueuedJob*> JobAgeing::aged_jobs(std::vector<QueuedJob>& queue, Timestamp now) const {
    std::vector<QueuedJob*> aged;
    for (QueuedJob& queued : queue) {
        const Job& job = *queued.job;
        const bool started = job.placed + job.done > 0;
        if (started && (job.gang() || job.service())) continue;
        const double leases = started                 ? kStartedBatchAgeingLeases
                              : job.multi_task_gang() ? kGangAgeingLeases
                                                      : kBatchAgeingLeases;
        if (now.wall - job.submittedAtS < leases * context_.settings().leaseS) continue;
        if (fits_team_limit(*job.spec)) aged.push_back(&queued);
    }
    return aged;
}

void JobAgeing::put_aged_first(std::vector<QueuedJob>& queue, Timestamp now) const {
    std::vector<QueuedJob*> aged = aged_jobs(queue, now);
    if (aged.empty()) return;
    const double leaseS = context_.settings().leaseS;
    const bool overdueTurn = static_cast<std::int64_t>(now.wall / leaseS) % kOverdueTurnPeriod == 0;
    const auto key = [&](const QueuedJob* queued) {
        const bool overdue = now.wall - queued->job->submittedAtS > kOverdueLeases * leaseS;
        return std::pair(overdue && !overdueTurn, queued->job->submissionRevision);
    };
    std::sort(aged.begin(), aged.end(), [&](const QueuedJob* a, const QueuedJob* b) { return key(a) < key(b); });
    NextStart next = nextStart_;
    for (QueuedJob* queued : aged) {
        if (next.clusterS > now.steady) break;
        if (next.byTeamS[queued->job->spec->team] > now.steady) continue;
        queued->aged = true;
        charge_share(next, *queued, queued->job->open(), now);
    }
    std::stable_partition(queue.begin(), queue.end(), [](const QueuedJob& queued) { return queued.aged; });
}

bool JobAgeing::fits_team_limit(const wire::JobSpec& spec) const {
    const config::Team* team = context_.settings().team(spec.team);
    auto record = context_.state().teams().find(spec.team);
    if (!team || record == context_.state().teams().end()) return true;
    const double tasks = spec.kind == wire::JobKind::gang ? spec.taskCount : 1;
    const auto fits = [&](double limit, std::int64_t usedMilli, double perTask) {
        return limit <= 0 || static_cast<double>(usedMilli) / 1000 + perTask * tasks <= limit + kTolerance;
    };
    const state::QuotaAmount& used = record->second.total;
    return fits(team->cpusMax, used.cores, spec.cores) && fits(team->gpusMax, used.gpus, spec.gpus);
}

void JobAgeing::charge_share(NextStart& next, const QueuedJob& queued, std::uint32_t tasks, Timestamp now) const {
    const wire::JobSpec& spec = *queued.job->spec;
    const double turnoverS =
        turnover_s(spec, context_.settings()) / (queued.job->multi_task_gang() ? kGangShare : kBatchShare);
    const auto charge = [&](double& nextS, double share) { nextS = std::max(nextS, now.steady) + share * turnoverS; };
    charge(next.clusterS, queued.capacityShare * tasks / queued.job->open());
    const config::Team* team = context_.settings().team(spec.team);
    double teamShare = 0;
    if (team && team->cpusMax > 0) teamShare = std::max(teamShare, spec.cores * tasks / team->cpusMax);
    if (team && team->gpusMax > 0) teamShare = std::max(teamShare, spec.gpus * tasks / team->gpusMax);
    charge(next.byTeamS[spec.team], teamShare);
}

}  // namespace wellstair::scheduling
