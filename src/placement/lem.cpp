#include "placement/lem.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace wellstair::placement {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

void count_hall(Request& r, const std::string& hall) {
    for (auto& [name, n] : r.inHall)
        if (name == hall) {
            ++n;
            return;
        }
    r.inHall.emplace_back(hall, 1);
}

// The task fits at `t` and, whatever begins later, for all of its length.
bool fits_from(const Machine& m, const Need& need, double t, double length) {
    if (!need.fits(free_at(m, t))) return false;
    for (const Hold& h : m.holds)
        if (h.from > t && h.from < t + length && !need.fits(free_at(m, h.from))) return false;
    return true;
}

}  // namespace

Need free_at(const Machine& m, double t) {
    Need used;
    for (const Hold& h : m.holds)
        if (h.from <= t && t < h.until) used += h.need;
    return m.total - used;
}

Planner::Planner(double now, std::vector<Machine> machines, Weights weights)
    : now_(now), machines_(std::move(machines)), weights_(weights) {
    for (const Machine& m : machines_) idle_ += !m.busy;
}

bool Planner::saturated() const {
    if (weights_.mode == Weights::Mode::eft) return false;
    if (weights_.mode == Weights::Mode::lea) return true;
    return idle_ == 0;
}

double Planner::earliest(const Machine& m, const Need& need, double length) const {
    if (!need.fits(m.total)) return kNever;
    if (fits_from(m, need, now_, length)) return now_;
    std::vector<double> ends;
    ends.reserve(m.holds.size());
    for (const Hold& h : m.holds)
        if (h.until > now_) ends.push_back(h.until);
    std::sort(ends.begin(), ends.end());
    for (double t : ends)
        if (fits_from(m, need, t, length)) return t;
    return kNever;
}

std::vector<double> Planner::cached_at(const Request& r) const {
    std::vector<double> out;
    out.reserve(machines_.size());
    for (const Machine& m : machines_) out.push_back(m.cache ? m.cache->ready_at(r.image, now_) : -1);
    return out;
}

double Planner::score(const Machine& m, const Request& r, double start, double cachedAt, bool saturated) const {
    double ready = start, fetchS = m.fetchGbPerS > 0 ? r.imageGb / m.fetchGbPerS : 0;
    ready = cachedAt < 0 ? start + fetchS : std::max(start, cachedAt);
    double care = m.handicapS + (r.need.gpus <= 0 && m.total.gpus > 0 ? weights_.gpuCareS : 0);
    if (!saturated) return ready + care;
    double penalty = 0;
    if (cachedAt < 0 && m.cacheGb > 0 && m.fetchGbPerS > 0 && m.cache)
        penalty = m.cache->total_gb() * r.imageGb / m.cacheGb / m.fetchGbPerS;
    return start + weights_.w * (ready - start) + penalty + care;
}

bool Planner::hall_ok(const Request& r, const std::string& hall) const {
    if (r.together)
        for (const auto& [name, n] : r.inHall)
            if (n > 0 && name != hall) return false;
    if (r.scatter)
        for (const auto& [name, n] : r.inHall)
            if (name == hall && n >= r.scatterCap) return false;
    return true;
}

void Planner::hold(std::size_t i, double start, const Request& r) {
    Machine& m = machines_[i];
    m.holds.push_back({start, start + std::max(r.expectS, 1e-3), r.need});
    if (start <= now_ && !m.busy) {
        m.busy = true;
        --idle_;
    }
}

std::vector<Slot> Planner::place_batch(const Request& request, bool startOnly) {
    Request r = request;
    std::vector<Slot> out;
    std::vector<double> start(machines_.size(), kNever), cached = cached_at(r);
    for (std::size_t i = 0; i < machines_.size(); ++i)
        if (r.allowed[i]) start[i] = earliest(machines_[i], r.need, r.expectS);
    for (std::uint32_t n = 0; n < r.count; ++n) {
        bool full = saturated();
        std::size_t best = machines_.size();
        double bestScore = kNever;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (start[i] == kNever || (startOnly && start[i] > now_) || !hall_ok(r, machines_[i].hall)) continue;
            double s = score(machines_[i], r, start[i], cached[i], full);
            if (s < bestScore) bestScore = s, best = i;
        }
        if (best == machines_.size()) break;
        out.push_back({best, start[best]});
        hold(best, start[best], r);
        if (start[best] <= now_) count_hall(r, machines_[best].hall);
        start[best] = earliest(machines_[best], r.need, r.expectS);
    }
    return out;
}

std::optional<std::vector<Slot>> Planner::gang_at(Request r, double at) {
    std::vector<std::size_t> sizes(machines_.size());
    std::vector<Slot> out;
    auto undo = [&] {
        for (std::size_t i = 0; i < machines_.size(); ++i)
            if (sizes[i]) machines_[i].holds.resize(machines_[i].holds.size() - sizes[i]);
    };
    bool full = saturated();
    std::vector<double> cached = cached_at(r);
    for (std::uint32_t n = 0; n < r.count; ++n) {
        std::size_t best = machines_.size();
        double bestScore = kNever;
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (!r.allowed[i] || !hall_ok(r, machines_[i].hall) || !fits_from(machines_[i], r.need, at, r.expectS))
                continue;
            double s = score(machines_[i], r, at, cached[i], full);
            if (s < bestScore) bestScore = s, best = i;
        }
        if (best == machines_.size()) {
            undo();
            return std::nullopt;
        }
        out.push_back({best, at});
        machines_[best].holds.push_back({at, at + std::max(r.expectS, 1e-3), r.need});
        ++sizes[best];
        count_hall(r, machines_[best].hall);
    }
    return out;
}

std::vector<Slot> Planner::place_gang(const Request& r, bool startOnly) {
    // A gang that must stay together is tried zone by zone: the first machine's score must not choose for all.
    std::vector<std::string> halls = {""};
    if (r.together && r.count > 1) {
        halls.clear();
        for (const Machine& m : machines_)
            if (std::find(halls.begin(), halls.end(), m.hall) == halls.end()) halls.push_back(m.hall);
    }
    auto attempt = [&](double at) -> std::optional<std::vector<Slot>> {
        for (const std::string& hall : halls) {
            Request only = r;
            if (!hall.empty())
                for (std::size_t i = 0; i < machines_.size(); ++i)
                    if (machines_[i].hall != hall) only.allowed[i] = false;
            if (auto slots = gang_at(std::move(only), at)) return slots;
        }
        return std::nullopt;
    };
    if (auto slots = attempt(now_)) {
        for (const Slot& s : *slots)
            if (!std::exchange(machines_[s.machine].busy, true)) --idle_;
        return *slots;
    }
    if (startOnly) return {};
    std::vector<double> ends;
    for (std::size_t i = 0; i < machines_.size(); ++i)
        if (r.allowed[i])
            for (const Hold& h : machines_[i].holds)
                if (h.until > now_) ends.push_back(h.until);
    std::sort(ends.begin(), ends.end());
    ends.erase(std::unique(ends.begin(), ends.end()), ends.end());
    constexpr std::size_t kTries = 24;  // spread over the ends, so that a long queue does not cost a long search
    std::size_t stride = std::max<std::size_t>(1, ends.size() / kTries);
    for (std::size_t i = 0; i < ends.size(); i += stride)
        if (auto slots = attempt(ends[i])) return *slots;
    return {};
}

}  // namespace wellstair::placement
