#include "model/view.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

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
std::string range_part(const std::string& range, std::uint32_t part) {
    constexpr std::size_t kDigits = 5;  // so that later parts sort behind earlier ones
    std::string number = std::to_string(part);
    return undivided_range(range) + "." + std::string(kDigits - std::min(kDigits, number.size()), '0') + number;
}
std::string undivided_range(const std::string& key) {
    return key.substr(0, key.find('.', key.rfind('/')));
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

bool Job::lost_replica() const {
    if (!service() || open() == 0) return false;
    return std::any_of(chunks.begin(), chunks.end(), [](const Chunk& chunk) {
        return std::any_of(chunk.steps.begin(), chunk.steps.end(),
                           [](const Step& s) { return s.state == StepState::open && s.attempt > 0; });
    });
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
        const char* end = key.data() + key.size();
        auto [after, error] = std::from_chars(key.data() + last + 1, end, slot->number);
        if (after != end && *after == '.') std::from_chars(after + 1, end, slot->part);
    }
    return *slot;
}

std::uint32_t View::next_part(const HostRange& range) const {
    const std::string parts = keys::undivided_range(range.key) + ".";
    std::uint32_t highest = 0;
    for (auto it = ranges_.lower_bound(parts); it != ranges_.end() && it->first.starts_with(parts); ++it)
        if (it->second->stamp) highest = std::max(highest, it->second->part);
    return highest + 1;
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
    range.size = {};
    std::vector<HostRecord*> before = std::move(range.hosts);
    range.hosts.clear();
    if (data)
        for (const HostEntry& entry : decode_range(*data)) {
            HostRecord& record = host_entry(entry.name);
            range.hosts.push_back(&record);
            range.size.add(entry);
            change_host(record, entry, range, wallS);
        }
    for (HostRecord* h : before) {
        // Listed by another range by now: moved there.
        if (h->range != &range) continue;
        if (std::find(range.hosts.begin(), range.hosts.end(), h) != range.hosts.end()) continue;
        h->range = nullptr;
        unlisted_.push_back(h->name);
    }
}

void View::advance(std::uint64_t epoch) {
    epoch_ = std::max(epoch_, epoch);
    for (const std::string& name : std::exchange(unlisted_, {})) {
        auto it = hosts_.find(name);
        if (it == hosts_.end() || it->second->range) continue;
        HostEntry none;
        none.name = name;
        static_cast<HostEntry&>(*it->second) = none;
        if (on_removed) on_removed(*it->second);
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
        t.parts = data ? decode_team_parts(*data) : TeamParts{};
    } else if (kind == "placers") {
        std::uint64_t& mine = placers_[rest];
        mine = std::max(mine, stamp);
    } else if (kind == "members") {
        auto it = members_.find(rest);
        if (it != members_.end() && stamp <= it->second.stamp) return;
        if (data) {
            MemberData member = MemberData::decode(*data);
            bool same = it != members_.end() && it->second.incarnation == member.incarnation;
            members_[rest] = {stamp, member.incarnation, same ? it->second.sinceS : wallS, member.layout};
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
    } else if (path == keys::kLayout) {
        if (!data || stamp <= layoutStamp_) return;
        layoutStamp_ = stamp;
        layout_ = LayoutRecord::decode(*data);
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
    ActiveRecord record = ActiveRecord::decode(*data);
    job.owner = record.owner;
    job.stopAttempt = record.stopAttempt.value_or(0);
    if (record.cancelled) {
        job.state.become(JobState::withdrawn);
        job.withdrawnAtS = record.cancelledAtS;
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
    const ChunkRecord record = data ? ChunkRecord::decode(*data) : ChunkRecord{};
    for (const auto& [first, last] : record.done)
        for (std::uint32_t i = first; i <= last && i < n; ++i) steps[i].state.become(StepState::done);
    for (const ChunkRecord::Entry& e : record.entries) {
        if (e.index >= n) continue;
        Step& s = steps[e.index];
        s.attempt = e.attempt;
        if (e.host.empty()) continue;
        s.state.become(StepState::placed);
        s.host = &host_entry(e.host);
        s.baton = e.baton;
        s.atS = e.atS;
        s.payer = e.payer;
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

ChunkRecord View::chunk_record(const std::vector<Step>& steps) {
    ChunkRecord record;
    for (std::uint32_t i = 0; i < steps.size(); ++i) {
        const Step& s = steps[i];
        if (s.state == StepState::done) {
            std::uint32_t last = i;
            while (last + 1 < steps.size() && steps[last + 1].state == StepState::done) ++last;
            record.done.emplace_back(i, last);
            i = last;
        } else if (s.state == StepState::placed) {
            record.entries.push_back({i, s.attempt, s.host->name, s.baton, s.atS, s.payer});
        } else if (s.attempt) {
            record.entries.push_back({i, s.attempt, "", 0, 0, ""});
        }
    }
    return record;
}

}  // namespace wellstair::model
