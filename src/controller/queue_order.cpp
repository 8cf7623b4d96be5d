// The order in which the queue asks for room: by rank and guarantee, and under overload by what can still be in time.
#include <algorithm>

#include "controller/core.hpp"
#include "controller/estimates.hpp"

namespace wellstair::controller {

using state::Job;
using state::JobState;
using state::Task;
using state::TaskState;

namespace {

// Jobs that have waited for so many leases go first, if they can, before they have waited for `kLateLeases`, and take
// at most such a part of the room that gets free. Wide gangs are sooner in need of that: an array begins with any room
// there is, a gang with that for all of its tasks only. Every `kLateTurn`th lease is for those that are later still.
constexpr double kGangAgeingLeases = 5, kGangAgeingShare = 0.7;
constexpr double kAgeingLeases = 7, kAgeingShare = 0.25;
constexpr double kBegunLeases = 15;  // an array that has begun, for what is left of it
constexpr double kLateLeases = 8;
constexpr std::int64_t kLateTurn = 4;

// What stands at these places of the queue, in this order.
template <typename T>
void rearrange(std::vector<T>& queue, const std::vector<std::size_t>& places, const std::vector<std::size_t>& order) {
    std::vector<T> sorted;
    sorted.reserve(order.size());
    for (std::size_t k : order) sorted.push_back(queue[places[k]]);
    for (std::size_t k = 0; k < places.size(); ++k) queue[places[k]] = sorted[k];
}

}  // namespace

// A job is within its team's guarantee if it fits into it together with the team's earlier unfinished jobs.
std::set<const Job*> Core::jobs_over_quota() const {
    std::set<const Job*> out;
    std::map<std::string, std::pair<double, double>> used;
    for (const auto& [order, job] : context_.state().queue()) {
        if (job->state != JobState::active || job->done == job->spec->taskCount) continue;
        const wire::JobSpec& s = *job->spec;
        auto& [cores, gpus] = used[s.team];
        double left = s.taskCount - job->done;
        cores += s.cores * left;
        gpus += s.gpus * left;
        const config::Team* t = settings_.team(s.team);
        if (!t || cores > t->cpus + 1e-9 || gpus > t->gpus + 1e-9) out.insert(job);
    }
    return out;
}

std::vector<Core::QueuedJob> Core::ordered_queue(const std::vector<placement::Machine>& machines, Timestamp now) const {
    std::vector<QueuedJob> out;
    auto overQuota = jobs_over_quota();
    for (const auto& [order, job] : context_.state().queue())
        if (job->state == JobState::active && job->open() > 0)
            out.push_back({job, static_cast<int>(job->spec->priority), overQuota.count(job) > 0});
    std::stable_sort(out.begin(), out.end(), [](const QueuedJob& a, const QueuedJob& b) {
        return std::pair(a.priority, a.overQuota) < std::pair(b.priority, b.overQuota);
    });
    order_for_machines(out, machines, now);
    order_within_limits(out, now);
    put_lost_replicas_first(out);
    put_aged_first(out, now);
    return out;
}

// A service that has lost a replica goes before new work of its rank: its users notice at once.
void Core::put_lost_replicas_first(std::vector<QueuedJob>& queue) const {
    // The queue is in the order of ranks by now.
    for (auto first = queue.begin(); first != queue.end();) {
        auto last = std::find_if(first, queue.end(), [&](const QueuedJob& q) { return q.priority != first->priority; });
        std::stable_partition(first, last, [](const QueuedJob& q) { return q.job->lost_replica(); });
        first = last;
    }
}

// No order by rank, due time or size may keep a job waiting without end: who has waited for many leases goes first, the
// longest wait before the others, and is promised the next room wide enough for it. They get a part of the room that
// gets free, no more: under lasting overload many have waited for long, and nothing else would be in time. By age alone
// they would then all be late in turn: those that are too late already stand back, but for a turn of their own.
void Core::put_aged_first(std::vector<QueuedJob>& queue, Timestamp now) const {
    std::vector<QueuedJob*> waiting;
    for (QueuedJob& q : queue) {
        const Job& job = *q.job;
        bool begun = job.placed + job.done > 0;
        if (begun && (job.gang() || job.service())) continue;
        double leases = begun ? kBegunLeases : job.wide_gang() ? kGangAgeingLeases : kAgeingLeases;
        if (now.wall - job.atS < leases * settings_.leaseS) continue;
        if (has_team_room(*job.spec)) waiting.push_back(&q);
    }
    if (waiting.empty()) return;
    bool lateTurn = static_cast<std::int64_t>(now.wall / settings_.leaseS) % kLateTurn == 0;
    std::sort(waiting.begin(), waiting.end(), [&](const QueuedJob* a, const QueuedJob* b) {
        auto key = [&](const QueuedJob* q) {
            bool late = now.wall - q->job->atS > kLateLeases * settings_.leaseS;
            return std::pair(late && !lateTurn, q->job->order);
        };
        return key(a) < key(b);
    });
    auto next = nextAgedStartS_;
    for (QueuedJob* q : waiting) {
        if (next[""] > now.steady) break;
        if (next[q->job->spec->team] > now.steady) continue;
        q->aged = true;
        spend_ageing_share(next, *q, q->job->open(), now);
    }
    std::stable_partition(queue.begin(), queue.end(), [](const QueuedJob& q) { return q.aged; });
}

// The tasks that it is to start at once, all of a gang or one of a batch, fit below the team's limit now.
bool Core::has_team_room(const wire::JobSpec& s) const {
    const config::Team* team = settings_.team(s.team);
    auto used = context_.state().teams().find(s.team);
    if (!team || used == context_.state().teams().end()) return true;
    double tasks = s.kind == wire::JobKind::gang ? s.taskCount : 1;
    auto fits = [&](double limit, std::int64_t use, double more) {
        return limit <= 0 || static_cast<double>(use) / 1000 + more * tasks <= limit + 1e-9;
    };
    return fits(team->cpusMax, used->second.total.cores, s.cores) &&
           fits(team->gpusMax, used->second.total.gpus, s.gpus);
}

// What is scarce turns over once in about a run time, be it the machines or what a team may use: what so many tasks of
// this job take of each is their part of what gets free in so many seconds. Counted by the machines alone, long-waiting
// jobs of a team at its limit took all of that limit, and none of its others was in time.
void Core::spend_ageing_share(std::map<std::string, double>& next, const QueuedJob& q, std::uint32_t tasks,
                              Timestamp now) const {
    const wire::JobSpec& s = *q.job->spec;
    double turnover = turnover_s(s, settings_) / (q.job->wide_gang() ? kGangAgeingShare : kAgeingShare);
    auto spend = [&](const std::string& whose, double share) {
        double& at = next[whose];
        at = std::max(at, now.steady) + share * turnover;
    };
    spend("", q.share * tasks / q.job->open());
    const config::Team* team = settings_.team(s.team);
    double ofTeam = 0;
    if (team && team->cpusMax > 0) ofTeam = std::max(ofTeam, s.cores * tasks / team->cpusMax);
    if (team && team->gpusMax > 0) ofTeam = std::max(ofTeam, s.gpus * tasks / team->gpusMax);
    spend(s.team, ofTeam);
}

// By when users want such a job to be over, in seconds from its submission, dearest first.
std::vector<double> Core::due_times(const wire::JobSpec& spec, bool overQuota) const {
    std::vector<double> out;
    for (const auto& o : settings_.objectives) {
        // What is to start in time has to be over one run time later.
        if (o.kind == "guarantee" && !overQuota && o.withinS > 0) out.push_back(o.withinS + spec.estimatedDurationS);
        if (o.jobClass != spec.jobClass) continue;
        if (o.kind == "deadline" && spec.deadlineS) out.push_back(*spec.deadlineS * (o.times > 0 ? o.times : 1));
        if (o.kind == "finished" && o.withinS > 0) out.push_back(o.withinS);
        if (o.kind == "wait" && o.withinS > 0) out.push_back(o.withinS + spec.estimatedDurationS);
    }
    if (out.empty() && spec.deadlineS) out.push_back(*spec.deadlineS);
    std::sort(out.begin(), out.end());
    return out;
}

// Where more is asked for than the machines have room for, submission order would make all jobs late one after the
// other. Among the jobs of one rank, within or beyond the guarantees, the order then follows what can still start in
// time.
void Core::order_for_machines(std::vector<QueuedJob>& queue, const std::vector<placement::Machine>& machines,
                              Timestamp now) const {
    std::map<std::string, placement::RoomCurve>
        rooms;  // by job class: jobs of one job class are of one shape, more or less
    double ahead = 0;
    for (std::size_t first = 0, last; first < queue.size(); first = last) {
        std::vector<placement::DueJob> jobs;
        std::vector<const placement::RoomCurve*> room;
        std::vector<std::size_t> places;
        double wanted = ahead;
        bool lacking = false;
        for (last = first; last < queue.size() && queue[last].priority == queue[first].priority &&
                           queue[last].overQuota == queue[first].overQuota;
             ++last) {
            QueuedJob& q = queue[last];
            const wire::JobSpec& s = *q.job->spec;
            auto at = rooms.find(s.jobClass);
            if (at == rooms.end())
                at = rooms.try_emplace(s.jobClass, placement::RoomCurve(machines, request_of(*q.job), now.wall)).first;
            room.push_back(&at->second);
            places.push_back(last);
            q.share = at->second.all() ? static_cast<double>(q.job->open()) / at->second.all() : 0;
            double waited = now.wall - static_cast<double>(q.job->atS);
            placement::DueJob d{q.share, 0, due_times(s, q.overQuota)};
            for (double& due : d.due) due -= s.estimatedDurationS + waited;  // to start by
            d.due.push_back(kGangAgeingLeases * settings_.leaseS - waited);
            jobs.push_back(std::move(d));
            wanted += q.share;
            lacking = lacking || wanted > at->second.within(0);
        }
        if (lacking && jobs.size() > 1) {
            auto order = placement::order_by_due(
                jobs, [&](std::size_t job, double due) { return room[job]->within(due); }, ahead);
            rearrange(queue, places, order);
        }
        ahead = wanted;
    }
}

// Where a team asks for more than its limit, submission order would make all of its jobs late one after the other.
// Among its jobs of one rank the order then follows what can still be in time. Outside of that, and for all others,
// submission order stays.
void Core::order_within_limits(std::vector<QueuedJob>& queue, Timestamp now) const {
    std::map<std::pair<std::string, int>, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < queue.size(); ++i)
        if (!due_times(*queue[i].job->spec, queue[i].overQuota).empty())
            groups[{queue[i].job->spec->team, queue[i].priority}].push_back(i);
    for (const auto& [key, places] : groups) {
        const config::Team* team = settings_.team(key.first);
        if (!team || places.size() < 2) continue;
        double wanted = 0;
        bool byGpu = team->gpusMax > 0 && queue[places[0]].job->spec->gpus > 0;
        double limit = byGpu ? team->gpusMax : team->cpusMax;
        auto size = [&](const wire::JobSpec& s) { return byGpu ? s.gpus : s.cores; };
        std::vector<placement::DueJob> jobs;
        for (std::size_t i : places) {
            const Job& job = *queue[i].job;
            const wire::JobSpec& s = *job.spec;
            const double runS = turnover_s(s, settings_);
            double remaining = job.open() * runS;
            for (const auto& chunk : job.chunks)
                if (chunk.placed)
                    for (const Task& task : chunk.tasks)
                        if (task.state == TaskState::placed)
                            remaining += std::max(runS / 5, runS - (now.wall - task.atS));
            wanted += size(s) * (s.taskCount - job.done);
            placement::DueJob d{remaining * size(s), s.estimatedDurationS, due_times(s, queue[i].overQuota)};
            for (double& due : d.due) due -= now.wall - job.atS;
            jobs.push_back(std::move(d));
        }
        if (limit <= 0 || wanted <= limit) continue;
        auto order = placement::order_by_due(jobs, [&](std::size_t, double due) { return limit * due; });
        rearrange(queue, places, order);
    }
}

}  // namespace wellstair::controller
