#include "model/view.hpp"

#include <algorithm>
#include <charconv>

namespace wellstair::model {

namespace keys {
std::string member(const std::string& name) {
    return "ws/members/" + name;
}
std::string job(const std::string& id) {
    return "ws/jobs/" + id;
}
std::string active(const std::string& id) {
    return "ws/active/" + id;
}
std::string chunk(const std::string& id, std::uint32_t chunk) {
    return "ws/steps/" + id + "/" + std::to_string(chunk);
}
std::string team(const std::string& name) {
    return "ws/teams/" + name;
}
std::string placer(const std::string& member) {
    return "ws/placers/" + member;
}
}  // namespace keys

namespace {

// The digits at the end of a machine's name, which count up as the cloud creates them; other names are hashed.
std::uint32_t number_of(const std::string& host) {
    auto last = host.find_last_not_of("0123456789");
    std::size_t first = last == std::string::npos ? 0 : last + 1;
    std::uint32_t n = 0;
    if (first < host.size() && host.size() - first < 10) {
        std::from_chars(host.data() + first, host.data() + host.size(), n);
        return n;
    }
    for (unsigned char c : host) n = n * 31 + c;
    return n % 65536;
}

// Consecutive machines are mostly of one type: dealt out over this many ranges, each controller gets some of each. A
// number with many divisors comes out even for most counts of controllers.
constexpr std::uint32_t kDeal = 6;

}  // namespace

std::string range_key(const std::string& host, const std::string& hall, std::uint32_t width) {
    std::uint32_t n = number_of(host);
    return "ws/hosts/" + hall + "/" + std::to_string(n / (width * kDeal) * kDeal + n % kDeal);
}

Step Job::step(std::uint32_t index, std::uint32_t chunkSize) const {
    const Chunk& c = chunks[index / chunkSize];
    return c.steps.empty() ? Step{} : c.steps[index % chunkSize];
}

Job* View::job(const std::string& id) {
    auto it = jobs_.find(id);
    return it != jobs_.end() && it->second->known() ? it->second.get() : nullptr;
}

const Final* View::final(const std::string& id) const {
    auto it = finals_.find(id);
    return it == finals_.end() ? nullptr : &it->second;
}

HostRecord* View::host(const std::string& name) {
    auto it = hosts_.find(name);
    return it == hosts_.end() ? nullptr : it->second.get();
}

const wire::MachineType* View::type(const std::string& sku) const {
    auto it = types_.find(sku);
    return it == types_.end() ? nullptr : &it->second;
}

double View::fetch_rate(const std::string& sku) const {
    const auto* t = type(sku);
    return t && t->fetchGbPerS > 0 ? t->fetchGbPerS : 0.1;  // DESIGN: 100 MB per second until known better
}

Job& View::job_entry(const std::string& id) {
    auto& slot = jobs_[id];
    if (!slot) {
        slot = std::make_unique<Job>();
        slot->id = id;
    }
    return *slot;
}

HostRecord& View::host_entry(const std::string& name) {
    auto& slot = hosts_[name];
    if (!slot) {
        slot = std::make_unique<HostRecord>();
        slot->name = name;
    }
    return *slot;
}

void View::drop_host_if_unused(const std::string& name) {
    auto it = hosts_.find(name);
    if (it != hosts_.end() && !it->second->range && it->second->placed.empty()) hosts_.erase(it);
}

HostRange& View::range_of(const std::string& host, const std::string& hall) {
    return range_entry(range_key(host, hall, rangeWidth_));
}

// The hall and the number are parts of the key.
HostRange& View::range_entry(const std::string& key) {
    auto& slot = ranges_[key];
    if (!slot) {
        auto first = key.find('/', 3) + 1, last = key.rfind('/');
        slot = std::make_unique<HostRange>();
        slot->key = key;
        slot->hall = key.substr(first, last - first);
        std::from_chars(key.data() + last + 1, key.data() + key.size(), slot->number);
    }
    return *slot;
}

std::uint64_t View::placer_stamp(const std::string& member) const {
    auto it = placers_.find(member);
    return it == placers_.end() ? 0 : it->second;
}

void View::apply_range(const std::string& key, const std::string& rest, const Json* data, std::uint64_t stamp,
                       double wallS) {
    if (rest.find('/') == std::string::npos) return;
    HostRange& range = range_entry(key);
    if (stamp <= range.stamp) return;
    range.stamp = data ? stamp : 0;
    std::vector<HostRecord*> before = std::move(range.hosts);
    range.hosts.clear();
    std::vector<std::pair<std::string, std::uint64_t>> keepers;
    std::vector<std::string> builds;
    if (data) {
        if (const Json* list = wire::list(*data, "k"))
            for (const Json& k : *list) keepers.emplace_back(k[0].get<std::string>(), k[1].get<std::uint64_t>());
        if (const Json* list = wire::list(*data, "b"))
            for (const Json& b : *list) builds.push_back(b.get<std::string>());
        if (const Json* list = wire::list(*data, "h"))
            for (const Json& e : *list) {
                HostEntry h;
                h.name = e[0].get<std::string>();
                if (int k = e[1].get<int>(); k >= 0) {
                    h.keeper = keepers.at(k).first;
                    h.incarnation = keepers.at(k).second;
                }
                h.baton = e[2].get<std::uint64_t>();
                h.address = e[3].get<std::string>();
                h.build = builds.at(e[4].get<std::size_t>());
                h.loaner = e[5].get<int>() != 0;
                if (e.size() > 6) {
                    h.leaving = static_cast<Leaving>(e[6].get<int>());
                    h.leavingAtS = e[7].get<std::int64_t>();
                }
                HostRecord& record = host_entry(h.name);
                range.hosts.push_back(&record);
                change_host(record, h, range, wallS);
            }
    }
    for (HostRecord* h : before)
        if (std::find(range.hosts.begin(), range.hosts.end(), h) == range.hosts.end()) {
            std::string name = h->name;
            HostEntry none;
            none.name = name;
            static_cast<HostEntry&>(*h) = none;
            h->range = nullptr;
            drop_host_if_unused(name);
        }
}

void View::change_host(HostRecord& host, const HostEntry& next, HostRange& range, double wallS) {
    bool fresh = host.baton != next.baton || host.incarnation != next.incarnation;
    bool leaving = host.leaving != next.leaving;
    static_cast<HostEntry&>(host) = next;
    host.range = &range;
    host.hall = range.hall;
    if (fresh) {
        host.registeredS = wallS;
        if (const auto* t = type(host.build)) host.cache.set_capacity(t->cacheGb);
        if (on_registered) on_registered(host);
    }
    if (leaving && on_leaving) on_leaving(host);
}

Json View::encode_range(const std::vector<HostEntry>& hosts) {
    Json keepers = Json::array(), builds = Json::array(), list = Json::array();
    auto place = [](Json& table, Json value) {
        for (std::size_t i = 0; i < table.size(); ++i)
            if (table[i] == value) return static_cast<int>(i);
        table.push_back(std::move(value));
        return static_cast<int>(table.size()) - 1;
    };
    for (const HostEntry& h : hosts) {
        int keeper = h.keeper.empty() ? -1 : place(keepers, Json::array({h.keeper, h.incarnation}));
        Json e = Json::array({h.name, keeper, h.baton, h.address, place(builds, h.build), h.loaner ? 1 : 0});
        if (h.leaving != Leaving::no) {
            e.push_back(static_cast<int>(h.leaving));
            e.push_back(h.leavingAtS);
        }
        list.push_back(std::move(e));
    }
    return {{"k", std::move(keepers)}, {"b", std::move(builds)}, {"h", std::move(list)}};
}

void View::apply(const std::string& path, const Json* data, std::uint64_t stamp, double wallS) {
    std::string_view p(path);
    if (!p.starts_with(keys::kPrefix)) return;
    p.remove_prefix(3);
    auto slash = p.find('/');
    std::string_view kind = p.substr(0, slash);
    std::string rest(slash == std::string_view::npos ? "" : p.substr(slash + 1));
    if (kind == "jobs") {
        apply_job(rest, data, stamp);
    } else if (kind == "active") {
        apply_active(rest, data, stamp);
    } else if (kind == "steps") {
        apply_chunk(path, rest, data, stamp, wallS);
    } else if (kind == "teams") {
        TeamRecord& t = teams_[rest];
        if (stamp <= t.stamp) return;
        t.stamp = data ? stamp : 0;
        t.parts.clear();
        if (data)
            for (const auto& [member, part] : data->items())
                t.parts[member] = {part[0].get<std::int64_t>(), part[1].get<std::int64_t>()};
    } else if (kind == "placers") {
        std::uint64_t& mine = placers_[rest];
        mine = std::max(mine, stamp);
    } else if (kind == "members") {
        auto it = members_.find(rest);
        if (it != members_.end() && stamp <= it->second.stamp) return;
        if (data) {
            std::uint64_t incarnation = data->value("inc", std::uint64_t{0});
            bool same = it != members_.end() && it->second.incarnation == incarnation;
            members_[rest] = {stamp, incarnation, same ? it->second.sinceS : wallS};
        } else if (it != members_.end()) {
            members_.erase(it);
        }
    } else if (kind == "hosts") {
        apply_range(path, rest, data, stamp, wallS);
    } else if (path == keys::kCloudRole) {
        if (stamp <= cloudRoleStamp_) return;
        cloudRoleStamp_ = data ? stamp : 0;
        cloudRole_ = data ? data->value("by", "") : "";
        cloudRoleIncarnation_ = data ? data->value("inc", std::uint64_t{0}) : 0;
    } else if (path == keys::kTypes) {
        if (!data || stamp <= typesStamp_) return;
        typesStamp_ = stamp;
        types_.clear();
        if (const Json* list = wire::list(*data, "builds"))
            for (const Json& e : *list)
                if (auto t = wire::parse_type(e)) types_[t->sku] = *t;
        for (auto& [name, h] : hosts_)
            if (const auto* t = type(h->build)) h->cache.set_capacity(t->cacheGb);
    }
}

void View::apply_job(const std::string& id, const Json* data, std::uint64_t stamp) {
    if (!data) return;  // jobs are kept for ever
    if (auto f = finals_.find(id); f != finals_.end() && stamp <= f->second.stamp) return;
    if (auto phase = wire::text(*data, "f")) {
        finals_[id] = {*phase == "done" ? JobState::done : JobState::aborted, stamp};
        if (auto it = jobs_.find(id); it != jobs_.end()) it->second->state.become(finals_[id].state);
        drop_if_over(id);
        return;
    }
    Job& job = job_entry(id);
    if (stamp <= job.jobStamp) return;
    job.jobStamp = stamp;
    if (!job.spec) {
        auto it = data->find("s");
        if (it == data->end()) return;
        auto parsed = wire::parse_job(*it);
        if (auto* spec = std::get_if<wire::JobSpec>(&parsed)) {
            job.spec = std::move(*spec);
            job.chunks.resize((job.spec->steps + chunkSize_ - 1) / chunkSize_);
            job.order = stamp;
            job.atS = data->value("at", std::int64_t{0});
            if (job.known()) enqueue(job);
        }
    }
}

void View::apply_active(const std::string& id, const Json* data, std::uint64_t stamp) {
    if (!data) {
        drop_if_over(id);
        return;
    }
    if (auto f = finals_.find(id); f != finals_.end() && f->second.stamp >= stamp) return;
    Job& job = job_entry(id);
    if (stamp <= job.activeStamp) return;
    bool fresh = !job.activeStamp;
    job.activeStamp = stamp;
    job.owner = data->value("o", "");
    job.stopAttempt = data->value("stop", 0u);
    if (data->value("w", false)) {
        job.state.become(JobState::withdrawn);
        job.withdrawnAtS = data->value("t", std::int64_t{0});
    }
    if (fresh && job.spec) enqueue(job);
    if (on_stop && job.spec && (job.state == JobState::withdrawn || job.stopAttempt)) on_stop(job);
}

// Jobs of one transaction share a revision: the low bits keep their keys apart, and none may push another out.
void View::enqueue(Job& job) {
    std::uint64_t key = job.order * 1024 + (std::hash<std::string>{}(job.id) & 1023);
    while (queue_.count(key)) ++key;
    queue_[key] = &job;
}

void View::drop_if_over(const std::string& id) {
    auto it = jobs_.find(id);
    if (it == jobs_.end() || !finals_.count(id)) return;
    Job& job = *it->second;
    for (std::uint32_t c = 0; c < job.chunks.size(); ++c) {
        Chunk& chunk = job.chunks[c];
        if (chunk.stamp) leftovers_[keys::chunk(id, c)] = chunk.stamp;
        // Nothing may be placed once a job is over; the index is cleaned all the same, a dangling entry would crash.
        for (std::uint32_t i = 0; i < chunk.steps.size(); ++i) {
            const Step& s = chunk.steps[i];
            if (!s.host) continue;
            std::erase(s.host->placed, StepRef{&job, c * chunkSize_ + i});
            charge(job, s, -1);
        }
    }
    std::erase_if(queue_, [&](auto& e) { return e.second == &job; });
    jobs_.erase(it);
}

void View::apply_chunk(const std::string& path, const std::string& rest, const Json* data, std::uint64_t stamp,
                       double wallS) {
    auto slash = rest.rfind('/');
    if (slash == std::string::npos) return;
    std::string id = rest.substr(0, slash);
    std::uint32_t c = 0;
    std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), c);
    auto it = jobs_.find(id);
    if (it == jobs_.end() || finals_.count(id)) {
        if (data)
            leftovers_[path] = std::max(leftovers_[path], stamp);
        else
            leftovers_.erase(path);
        return;
    }
    Job& job = *it->second;
    if (!job.spec || c >= job.chunks.size()) return;
    Chunk& chunk = job.chunks[c];
    if (stamp <= chunk.stamp) return;
    chunk.stamp = data ? stamp : 0;
    std::uint32_t n = std::min(chunkSize_, job.spec->steps - c * chunkSize_);
    std::vector<Step> steps(n);
    if (data) {
        if (const Json* done = wire::list(*data, "d"))
            for (const Json& range : *done)
                for (std::uint32_t i = range[0]; i <= range[1].get<std::uint32_t>() && i < n; ++i)
                    steps[i].state.become(StepState::done);
        if (const Json* entries = wire::list(*data, "e"))
            for (const Json& e : *entries) {
                std::uint32_t i = e[0];
                if (i >= n) continue;
                Step& s = steps[i];
                s.attempt = e[1];
                const std::string& host = e[2].get_ref<const std::string&>();
                if (!host.empty()) {
                    s.state.become(StepState::placed);
                    s.host = &host_entry(host);
                    s.baton = e[3];
                    s.atS = e[4];
                    s.payer = e[5].get<std::string>();
                }
            }
    }
    set_steps(job, c, std::move(steps), wallS);
}

void View::set_steps(Job& job, std::uint32_t c, std::vector<Step> next, double wallS) {
    Chunk& chunk = job.chunks[c];
    if (chunk.steps.empty()) chunk.steps.resize(next.size());
    for (std::uint32_t i = 0; i < next.size(); ++i)
        change_step(job, c * chunkSize_ + i, chunk.steps[i], next[i], wallS);
}

void View::charge(const Job& job, const Step& step, int by) {
    TeamRecord& team = teams_[job.spec->crew];
    Use use{by * milli(job.spec->cores), by * milli(job.spec->gpus)};
    team.used[step.payer] += use;
    team.total += use;
}

void View::change_step(Job& job, std::uint32_t index, Step& step, const Step& next, double wallS) {
    if (step.state == next.state && step.attempt == next.attempt && step.host == next.host &&
        step.baton == next.baton && step.payer == next.payer)
        return;
    Step before = step;
    Chunk& chunk = job.chunks[index / chunkSize_];
    auto count = [&](const Step& s, int by) {
        if (s.state == StepState::done) chunk.done += by, job.done += by;
        if (s.state != StepState::placed) return;
        chunk.placed += by, job.placed += by;
        charge(job, s, by);
    };
    count(step, -1);
    if (before.host && before.host != next.host) {
        std::erase(before.host->placed, StepRef{&job, index});
        before.host->cache.release(job.spec->bundle, wallS);
    }
    if (next.host && before.host != next.host) {
        next.host->placed.push_back({&job, index});
        next.host->cache.fetch(job.spec->bundle, job.spec->imageGb, wallS,
                               next.atS + job.spec->imageGb / fetch_rate(next.host->build));
    }
    if (step.state != next.state) step.state.become(next.state);
    step.attempt = next.attempt;
    step.host = next.host;
    step.baton = next.baton;
    step.atS = next.atS;
    step.payer = next.payer;
    count(step, 1);
    if (on_step) on_step(job, index, before, step);
    if (before.host && before.host != next.host) drop_host_if_unused(before.host->name);
}

Json View::encode_chunk(const std::vector<Step>& steps) {
    Json done = Json::array(), entries = Json::array();
    for (std::uint32_t i = 0; i < steps.size(); ++i) {
        const Step& s = steps[i];
        if (s.state == StepState::done) {
            std::uint32_t last = i;
            while (last + 1 < steps.size() && steps[last + 1].state == StepState::done) ++last;
            done.push_back({i, last});
            i = last;
        } else if (s.state == StepState::placed) {
            entries.push_back({i, s.attempt, s.host->name, s.baton, s.atS, s.payer});
        } else if (s.attempt) {
            entries.push_back({i, s.attempt, ""});
        }
    }
    return {{"d", std::move(done)}, {"e", std::move(entries)}};
}

}  // namespace wellstair::model
