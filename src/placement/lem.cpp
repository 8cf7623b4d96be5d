#include "placement/lem.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace wellstair::placement {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

void count_zone(Request& r, std::uint32_t zone) {
    for (auto& [name, n] : r.tasksPerZone)
        if (name == zone) {
            ++n;
            return;
        }
    r.tasksPerZone.emplace_back(zone, 1);
}

Need least(const Need& a, const Need& b) {
    return {std::min(a.cores, b.cores), std::min(a.gpus, b.gpus), std::min(a.ramGb, b.ramGb)};
}

Need most(const Need& a, const Need& b) {
    return {std::max(a.cores, b.cores), std::max(a.gpus, b.gpus), std::max(a.ramGb, b.ramGb)};
}

// What is free at `t` and stays so, whatever begins later, for this length.
Need free_from(const Machine& m, double t, double length) {
    Need free = free_at(m, t);
    for (const Hold& h : m.holds)
        if (h.from > t && h.from < t + length) free = least(free, free_at(m, h.from));
    return free;
}

}  // namespace

std::uint32_t times(const Need& room, const Need& need) {
    double n = 1e6;
    auto part = [&](double total, double one) {
        if (one > 1e-9) n = std::min(n, total / one);
    };
    part(room.cores, need.cores);
    part(room.gpus, need.gpus);
    part(room.ramGb, need.ramGb);
    return static_cast<std::uint32_t>(std::max(0.0, std::floor(n + 1e-6)));
}

Need free_at(const Machine& m, double t) {
    Need used;
    for (const Hold& h : m.holds)
        if (h.from <= t && t < h.until) used += h.need;
    return m.total - used;
}

Planner::Planner(double now, std::vector<Machine> machines, Weights weights)
    : now_(now), machines_(std::move(machines)), weights_(weights) {
    free_.reserve(machines_.size());
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        Machine& m = machines_[i];
        idle_ += !m.busy;
        std::sort(m.holds.begin(), m.holds.end(), [](const Hold& a, const Hold& b) { return a.until < b.until; });
        free_.push_back(free_at(m, now_));
        promised_.push_back(std::any_of(m.holds.begin(), m.holds.end(), [&](const Hold& h) { return h.from > now_; }));
        if (m.nodePool >= byNodePool_.size()) {
            byNodePool_.resize(m.nodePool + 1);
            roomiest_.resize(m.nodePool + 1);
        }
        byNodePool_[m.nodePool].push_back(i);
        roomiest_[m.nodePool] = most(roomiest_[m.nodePool], free_.back());
    }
}

bool Planner::saturated() const {
    if (weights_.mode == Weights::Mode::eft) return false;
    if (weights_.mode == Weights::Mode::lea) return true;
    return idle_ == 0;
}

double Planner::earliest(std::size_t i, const Need& need, double length) const {
    const Machine& m = machines_[i];
    if (!need.fits(m.total)) return kNever;
    if (!promised_[i]) {  // the usual case: only what runs, in the order of its ends
        Need free = free_[i];
        if (need.fits(free)) return now_;
        for (const Hold& h : m.holds) {
            if (h.until <= now_) continue;
            free += h.need;
            if (need.fits(free)) return h.until;
        }
        return kNever;
    }
    // One sweep over what begins and ends: the first time from which the need fits for all of its length.
    struct Event {
        double at;
        Need change;
    };
    static thread_local std::vector<Event> events;
    events.clear();
    for (const Hold& h : m.holds) {
        if (h.until <= now_) continue;
        if (h.from > now_) events.push_back({h.from, Need{} - h.need});
        events.push_back({h.until, h.need});
    }
    std::sort(events.begin(), events.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
    Need free = free_[i];
    double start = need.fits(free) ? now_ : kNever;
    for (std::size_t k = 0; k < events.size();) {
        double at = events[k].at;
        if (start + length <= at) return start;
        while (k < events.size() && events[k].at == at) free += events[k++].change;
        if (!need.fits(free))
            start = kNever;
        else if (start == kNever)
            start = at;
    }
    return start;
}

double Planner::score(const Machine& m, const Request& r, double start, double cachedAt, bool saturated) const {
    double ready = start, fetchS = m.fetchGbPerS > 0 ? r.imageGb / m.fetchGbPerS : 0;
    ready = cachedAt < 0 ? start + fetchS : std::max(start, cachedAt);
    double care = m.penaltyS + (r.need.gpus <= 0 && m.total.gpus > 0 ? weights_.gpuHostPenaltyS : 0);
    // Small tasks side by side on few machines leave whole ones to wide tasks.
    if (!m.busy && weights_.emptyHostPenaltyS > 0 && times(m.total, r.need) > 1) care += weights_.emptyHostPenaltyS;
    if (!saturated) return ready + care;
    double penalty = 0;
    if (cachedAt < 0 && m.cacheGb > 0 && m.fetchGbPerS > 0 && m.cache)
        penalty = m.cache->total_gb() * r.imageGb / m.cacheGb / m.fetchGbPerS;
    return start + weights_.w * (ready - start) + penalty + care;
}

bool Planner::zone_allowed(const Request& r, std::uint32_t zone) const {
    if (r.coLocated)
        for (const auto& [name, n] : r.tasksPerZone)
            if (n > 0 && name != zone) return false;
    if (r.spread)
        for (const auto& [name, n] : r.tasksPerZone)
            if (name == zone && n >= r.spreadCap) return false;
    return true;
}

void Planner::hold(std::size_t i, double start, const Request& r) {
    Machine& m = machines_[i];
    Hold h{start, start + std::max(r.estimatedDurationS, 1e-3), r.need};
    m.holds.insert(std::upper_bound(m.holds.begin(), m.holds.end(), h,
                                    [](const Hold& a, const Hold& b) { return a.until < b.until; }),
                   h);
    if (start > now_) {
        promised_[i] = true;
        return;
    }
    free_[i] = free_[i] - r.need;
    if (!m.busy) {
        m.busy = true;
        --idle_;
    }
}

void Planner::reserve(std::size_t i, const Need& need, double until) {
    Request r;
    r.need = need;
    r.estimatedDurationS = until - now_;
    hold(i, now_, r);
}

// The machines that can be of use. For starts at once, whole kinds without room are passed over, which makes a long
// queue behind full machines cheap.
std::vector<std::size_t> Planner::candidates(const Request& r, bool startOnly) {
    std::vector<std::size_t> out;
    for (std::size_t nodePool = 0; nodePool < byNodePool_.size(); ++nodePool) {
        if (!r.allowed[nodePool] || byNodePool_[nodePool].empty()) continue;
        if (!r.need.fits(machines_[byNodePool_[nodePool].front()].total)) continue;
        if (!startOnly) {
            looked_ += byNodePool_[nodePool].size();
            out.insert(out.end(), byNodePool_[nodePool].begin(), byNodePool_[nodePool].end());
            continue;
        }
        if (!r.need.fits(roomiest_[nodePool])) continue;
        looked_ += byNodePool_[nodePool].size();
        Need room;
        for (std::size_t i : byNodePool_[nodePool]) {
            room = most(room, free_[i]);
            if (r.need.fits(free_[i])) out.push_back(i);
        }
        roomiest_[nodePool] = room;
    }
    return out;
}

// A machine that has been promised this often over is of no use for further promises: they would be too far off to be
// true, and each makes the next look at it dearer.
double Planner::promisable(std::size_t i, const Request& r, bool startOnly) const {
    constexpr std::size_t kMostHolds = 48;
    if ((startOnly || machines_[i].holds.size() > kMostHolds) && !r.need.fits(free_[i])) return kNever;
    const double start = earliest(i, r.need, r.estimatedDurationS);
    return start - now_ > kEndlessS / 2 ? kNever : start;  // room that a service holds gets free at no known time
}

// Replicas that share a machine or a zone are lost together.
double Planner::anti_affinity_penalty(std::size_t i, const Request& r) const {
    if (!r.antiAffine) return 0;
    double penalty =
        weights_.sameHostPenaltyS * static_cast<double>(std::count(r.onMachines.begin(), r.onMachines.end(), i));
    for (const auto& [zone, n] : r.tasksPerZone)
        if (zone == machines_[i].zone) penalty += weights_.sameZonePenaltyS * n;
    return penalty;
}

std::vector<Slot> Planner::place_batch(const Request& request, bool startOnly) {
    Request r = request;
    std::vector<Slot> out;
    std::vector<std::size_t> among = candidates(r, startOnly);
    struct Choice {
        double start, cached, score;
    };
    std::vector<Choice> choices(among.size());
    bool full = saturated();
    auto rate = [&](std::size_t k) {
        Choice& c = choices[k];
        bool use = c.start != kNever && (!startOnly || c.start <= now_);
        c.score =
            use ? score(machines_[among[k]], r, c.start, c.cached, full) + anti_affinity_penalty(among[k], r) : kNever;
    };
    for (std::size_t k = 0; k < among.size(); ++k) {
        const Machine& m = machines_[among[k]];
        choices[k].start = promisable(among[k], r, startOnly);
        looked_ += m.holds.size() / 8;
        choices[k].cached = m.cache ? m.cache->ready_at(r.image, now_) : -1;
        rate(k);
    }
    bool bound = r.coLocated || r.spread;
    for (std::uint32_t n = 0; n < r.count; ++n) {
        if (bool now = saturated(); now != full || (r.antiAffine && n > 0)) {
            full = now;
            for (std::size_t k = 0; k < among.size(); ++k) rate(k);
        }
        std::size_t best = among.size();
        double bestScore = kNever;
        for (std::size_t k = 0; k < among.size(); ++k)
            if (choices[k].score < bestScore && (!bound || zone_allowed(r, machines_[among[k]].zone)))
                bestScore = choices[k].score, best = k;
        looked_ += among.size() / 16;  // a comparison each, beside the full look above
        if (best == among.size()) break;
        Choice& c = choices[best];
        out.push_back({among[best], c.start});
        hold(among[best], c.start, r);
        if (c.start <= now_) count_zone(r, machines_[among[best]].zone);
        if (r.antiAffine) r.onMachines.push_back(among[best]);
        c.start = promisable(among[best], r, startOnly);
        rate(best);
    }
    return out;
}

std::uint32_t Planner::capacity(std::size_t i, const Request& r, double at) const {
    if (at <= now_ && !promised_[i]) return times(free_[i], r.need);
    return times(free_from(machines_[i], at, r.estimatedDurationS), r.need);
}

std::optional<Planner::Fit> Planner::gang_at(const Request& r, const std::vector<std::size_t>& among, double at) {
    struct Choice {
        std::size_t machine;
        std::uint32_t fit;
        double score;
    };
    std::vector<Choice> choices;
    std::uint64_t fit = 0;
    looked_ += among.size();
    for (std::size_t i : among) {
        std::uint32_t n = zone_allowed(r, machines_[i].zone) ? std::min(capacity(i, r, at), r.count) : 0;
        if (n) choices.push_back({i, n, 0});
        fit += n;
    }
    if (fit < r.count) return std::nullopt;
    bool full = saturated();
    for (Choice& c : choices) {
        const Machine& m = machines_[c.machine];
        c.score = score(m, r, at, m.cache ? m.cache->ready_at(r.image, now_) : -1, full);
    }
    std::stable_sort(choices.begin(), choices.end(),
                     [](const Choice& a, const Choice& b) { return a.score < b.score; });
    Request left = r;
    Fit out;
    for (const Choice& c : choices)
        for (std::uint32_t n = 0;
             n < c.fit && out.slots.size() < r.count && zone_allowed(left, machines_[c.machine].zone); ++n) {
            out.slots.push_back({c.machine, at});
            out.score = c.score;  // of its last machine: it starts when all are ready
            count_zone(left, machines_[c.machine].zone);
        }
    if (out.slots.size() < r.count) return std::nullopt;
    return out;
}

std::vector<Slot> Planner::place_gang(const Request& r, bool startOnly) {
    // A gang that must stay together is tried zone by zone, and goes where the last of its machines is ready first.
    std::vector<std::vector<std::size_t>> groups;
    auto split = [&](std::vector<std::size_t> all) {
        groups.clear();
        if (!r.coLocated || r.count == 1) {
            groups.push_back(std::move(all));
            return;
        }
        std::vector<std::uint32_t> zones;
        for (std::size_t i : all) {
            auto at = std::find(zones.begin(), zones.end(), machines_[i].zone);
            if (at == zones.end()) {
                zones.push_back(machines_[i].zone);
                groups.emplace_back();
                at = zones.end() - 1;
            }
            groups[at - zones.begin()].push_back(i);
        }
    };
    auto best = [&](double at) -> std::vector<Slot> {
        std::optional<Fit> found;
        for (const auto& group : groups)
            if (auto fit = gang_at(r, group, at); fit && (!found || fit->score < found->score)) found = std::move(fit);
        if (!found) return {};
        for (const Slot& s : found->slots) hold(s.machine, at, r);
        return found->slots;
    };
    split(candidates(r, true));
    if (auto slots = best(now_); !slots.empty() || startOnly) return slots;
    split(candidates(r, false));
    std::vector<double> ends;
    for (const auto& group : groups)
        for (std::size_t i : group)
            for (const Hold& h : machines_[i].holds)
                if (h.until > now_ && h.until - now_ < kEndlessS / 2) ends.push_back(h.until);
    std::sort(ends.begin(), ends.end());
    ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
    constexpr std::size_t kTries = 24;  // spread over the ends, so that a long queue does not cost a long search
    std::size_t stride = std::max<std::size_t>(1, ends.size() / kTries);
    for (std::size_t i = 0; i < ends.size(); i += stride)
        if (auto slots = best(ends[i]); !slots.empty()) return slots;
    return {};
}

}  // namespace wellstair::placement
