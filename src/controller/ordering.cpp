// The order in which the queue asks for room: by rank and guarantee, and under overload by what can still be in time.
#include <algorithm>

#include "controller/core.hpp"
#include "controller/estimates.hpp"

namespace wellstair::controller {

using model::Job;
using model::JobState;
using model::Step;
using model::StepState;

namespace {

// Jobs that have waited for so many leases go first, if they can, before they have waited for `kLateLeases`, and take
// at most such a part of the room that gets free. Wide gangs are sooner in need of that: an array begins with any room
// there is, a gang with that for all of its tasks only. Every `kLateTurn`th lease is for those that are later still.
constexpr double kGangWaitedLeases = 5, kGangPart = 0.7;
constexpr double kWaitedLeases = 7, kWaitedPart = 0.25;
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
std::set<const Job*> Core::beyond_guarantee() const {
    std::set<const Job*> out;
    std::map<std::string, std::pair<double, double>> used;
    for (const auto& [order, job] : view_->queue()) {
        if (job->state != JobState::active || job->done == job->spec->steps) continue;
        const wire::JobSpec& s = *job->spec;
        auto& [cores, gpus] = used[s.crew];
        double left = s.steps - job->done;
        cores += s.cores * left;
        gpus += s.gpus * left;
        const app::Team* t = settings_.team(s.crew);
        if (!t || cores > t->cpus + 1e-9 || gpus > t->gpus + 1e-9) out.insert(job);
    }
    return out;
}

std::vector<Core::Queued> Core::ordered_queue(const std::vector<placement::Machine>& machines, Moment now) const {
    std::vector<Queued> out;
    auto beyond = beyond_guarantee();
    for (const auto& [order, job] : view_->queue())
        if (job->state == JobState::active && job->open() > 0)
            out.push_back({job, static_cast<int>(job->spec->rank), beyond.count(job) > 0});
    std::stable_sort(out.begin(), out.end(), [](const Queued& a, const Queued& b) {
        return std::pair(a.rank, a.beyond) < std::pair(b.rank, b.beyond);
    });
    order_for_machines(out, machines, now);
    order_within_limits(out, now);
    put_lost_replicas_first(out);
    put_long_waiting_first(out, now);
    return out;
}

// A service that has lost a replica goes before new work of its rank: its users notice at once.
void Core::put_lost_replicas_first(std::vector<Queued>& queue) const {
    // The queue is in the order of ranks by now.
    for (auto first = queue.begin(); first != queue.end();) {
        auto last = std::find_if(first, queue.end(), [&](const Queued& q) { return q.rank != first->rank; });
        std::stable_partition(first, last, [](const Queued& q) { return q.job->lost_replica(); });
        first = last;
    }
}

// No order by rank, due time or size may keep a job waiting without end: who has waited for many leases goes first, the
// longest wait before the others, and is promised the next room wide enough for it. They get a part of the room that
// gets free, no more: under lasting overload many have waited for long, and nothing else would be in time. By age alone
// they would then all be late in turn: those that are too late already stand back, but for a turn of their own.
void Core::put_long_waiting_first(std::vector<Queued>& queue, Moment now) const {
    std::vector<Queued*> waiting;
    for (Queued& q : queue) {
        const Job& job = *q.job;
        bool begun = job.placed + job.done > 0;
        if (begun && (job.gang() || job.service())) continue;
        double leases = begun ? kBegunLeases : job.wide_gang() ? kGangWaitedLeases : kWaitedLeases;
        if (now.wall - job.atS < leases * settings_.leaseS) continue;
        if (has_team_room(*job.spec)) waiting.push_back(&q);
    }
    if (waiting.empty()) return;
    bool lateTurn = static_cast<std::int64_t>(now.wall / settings_.leaseS) % kLateTurn == 0;
    std::sort(waiting.begin(), waiting.end(), [&](const Queued* a, const Queued* b) {
        auto key = [&](const Queued* q) {
            bool late = now.wall - q->job->atS > kLateLeases * settings_.leaseS;
            return std::pair(late && !lateTurn, q->job->order);
        };
        return key(a) < key(b);
    });
    auto next = waitedNextS_;
    for (Queued* q : waiting) {
        if (next[""] > now.steady) break;
        if (next[q->job->spec->crew] > now.steady) continue;
        q->waited = true;
        spend_waited(next, *q, q->job->open(), now);
    }
    std::stable_partition(queue.begin(), queue.end(), [](const Queued& q) { return q.waited; });
}

// The tasks that it is to start at once, all of a gang or one of a batch, fit below the team's limit now.
bool Core::has_team_room(const wire::JobSpec& s) const {
    const app::Team* team = settings_.team(s.crew);
    auto used = view_->teams().find(s.crew);
    if (!team || used == view_->teams().end()) return true;
    double tasks = s.shape == wire::Shape::gang ? s.steps : 1;
    auto fits = [&](double limit, std::int64_t use, double more) {
        return limit <= 0 || static_cast<double>(use) / 1000 + more * tasks <= limit + 1e-9;
    };
    return fits(team->cpusMax, used->second.total.cores, s.cores) &&
           fits(team->gpusMax, used->second.total.gpus, s.gpus);
}

// What is scarce turns over once in about a run time, be it the machines or what a team may use: what so many tasks of
// this job take of each is their part of what gets free in so many seconds. Counted by the machines alone, long-waiting
// jobs of a team at its limit took all of that limit, and none of its others was in time.
void Core::spend_waited(std::map<std::string, double>& next, const Queued& q, std::uint32_t tasks, Moment now) const {
    const wire::JobSpec& s = *q.job->spec;
    double turnover = turnover_s(s, settings_) / (q.job->wide_gang() ? kGangPart : kWaitedPart);
    auto spend = [&](const std::string& whose, double share) {
        double& at = next[whose];
        at = std::max(at, now.steady) + share * turnover;
    };
    spend("", q.share * tasks / q.job->open());
    const app::Team* team = settings_.team(s.crew);
    double ofTeam = 0;
    if (team && team->cpusMax > 0) ofTeam = std::max(ofTeam, s.cores * tasks / team->cpusMax);
    if (team && team->gpusMax > 0) ofTeam = std::max(ofTeam, s.gpus * tasks / team->gpusMax);
    spend(s.crew, ofTeam);
}

// By when users want such a job to be over, in seconds from its submission, dearest first.
std::vector<double> Core::due_times(const wire::JobSpec& spec, bool beyond) const {
    std::vector<double> out;
    for (const auto& o : settings_.objectives) {
        // What is to start in time has to be over one run time later.
        if (o.kind == "guarantee" && !beyond && o.withinS > 0) out.push_back(o.withinS + spec.expectS);
        if (o.lane != spec.lane) continue;
        if (o.kind == "deadline" && spec.dueS) out.push_back(*spec.dueS * (o.times > 0 ? o.times : 1));
        if (o.kind == "finished" && o.withinS > 0) out.push_back(o.withinS);
        if (o.kind == "wait" && o.withinS > 0) out.push_back(o.withinS + spec.expectS);
    }
    if (out.empty() && spec.dueS) out.push_back(*spec.dueS);
    std::sort(out.begin(), out.end());
    return out;
}

// Where more is asked for than the machines have room for, submission order would make all jobs late one after the
// other. Among the jobs of one rank, within or beyond the guarantees, the order then follows what can still start in
// time.
void Core::order_for_machines(std::vector<Queued>& queue, const std::vector<placement::Machine>& machines,
                              Moment now) const {
    std::map<std::string, placement::RoomCurve> rooms;  // by lane: jobs of one lane are of one shape, more or less
    double ahead = 0;
    for (std::size_t first = 0, last; first < queue.size(); first = last) {
        std::vector<placement::DueJob> jobs;
        std::vector<const placement::RoomCurve*> room;
        std::vector<std::size_t> places;
        double wanted = ahead;
        bool lacking = false;
        for (last = first;
             last < queue.size() && queue[last].rank == queue[first].rank && queue[last].beyond == queue[first].beyond;
             ++last) {
            Queued& q = queue[last];
            const wire::JobSpec& s = *q.job->spec;
            auto at = rooms.find(s.lane);
            if (at == rooms.end())
                at = rooms.try_emplace(s.lane, placement::RoomCurve(machines, request_of(*q.job), now.wall)).first;
            room.push_back(&at->second);
            places.push_back(last);
            q.share = at->second.all() ? static_cast<double>(q.job->open()) / at->second.all() : 0;
            double waited = now.wall - static_cast<double>(q.job->atS);
            placement::DueJob d{q.share, 0, due_times(s, q.beyond)};
            for (double& due : d.due) due -= s.expectS + waited;  // to start by
            d.due.push_back(kGangWaitedLeases * settings_.leaseS - waited);
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
void Core::order_within_limits(std::vector<Queued>& queue, Moment now) const {
    std::map<std::pair<std::string, int>, std::vector<std::size_t>> groups;
    for (std::size_t i = 0; i < queue.size(); ++i)
        if (!due_times(*queue[i].job->spec, queue[i].beyond).empty())
            groups[{queue[i].job->spec->crew, queue[i].rank}].push_back(i);
    for (const auto& [key, places] : groups) {
        const app::Team* team = settings_.team(key.first);
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
                    for (const Step& step : chunk.steps)
                        if (step.state == StepState::placed)
                            remaining += std::max(runS / 5, runS - (now.wall - step.atS));
            wanted += size(s) * (s.steps - job.done);
            placement::DueJob d{remaining * size(s), s.expectS, due_times(s, queue[i].beyond)};
            for (double& due : d.due) due -= now.wall - job.atS;
            jobs.push_back(std::move(d));
        }
        if (limit <= 0 || wanted <= limit) continue;
        auto order = placement::order_by_due(jobs, [&](std::size_t, double due) { return limit * due; });
        rearrange(queue, places, order);
    }
}

}  // namespace wellstair::controller
