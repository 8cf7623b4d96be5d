#include "state/state_cache.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace wellstair::state {

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
std::string split_shard_key(const std::string& shard, std::uint32_t part) {
    constexpr std::size_t kDigits = 5;  // so that later parts sort behind earlier ones
    std::string number = std::to_string(part);
    return unsplit_shard_key(shard) + "." + std::string(kDigits - std::min(kDigits, number.size()), '0') + number;
}
std::string unsplit_shard_key(const std::string& key) {
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

std::string shard_key(const std::string& host, const std::string& zone, std::uint32_t width) {
    std::uint32_t n = number_of(host);
    return "ws/hosts/" + zone + "/" + std::to_string(n / (width * kDeal) * kDeal + n % kDeal);
}

Task Job::task(std::uint32_t index, std::uint32_t chunkSize) const {
    const Chunk& c = chunks[index / chunkSize];
    return c.tasks.empty() ? Task{} : c.tasks[index % chunkSize];
}

bool Job::lost_replica() const {
    if (!service() || open() == 0) return false;
    return std::any_of(chunks.begin(), chunks.end(), [](const Chunk& chunk) {
        return std::any_of(chunk.tasks.begin(), chunk.tasks.end(),
                           [](const Task& s) { return s.state == TaskState::open && s.attempt > 0; });
    });
}

GangState Job::gang_state() const {
    if (done == spec->taskCount) return GangState::done;
    if (placed + done == spec->taskCount) return GangState::placed;
    if (placed == 0 && done == 0) return GangState::open;
    return GangState::broken;
}

const Job* StateCache::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

Job* StateCache::job(const std::string& id) {
    auto it = jobs_.find(id);
    return it != jobs_.end() && it->second->known() ? it->second.get() : nullptr;
}

const Final* StateCache::final(const std::string& id) const {
    auto it = finals_.find(id);
    return it == finals_.end() ? nullptr : &it->second;
}

const HostRecord* StateCache::host(const std::string& name) const {
    auto it = hosts_.find(name);
    return it == hosts_.end() ? nullptr : it->second.get();
}

HostRecord* StateCache::host(const std::string& name) {
    auto it = hosts_.find(name);
    return it == hosts_.end() ? nullptr : it->second.get();
}

const wire::MachineType* StateCache::type(const std::string& typeName) const {
    auto it = types_.find(typeName);
    return it == types_.end() ? nullptr : &it->second;
}

double StateCache::fetch_rate(const std::string& typeName) const {
    const auto* t = type(typeName);
    return t && t->fetchGbPerS > 0 ? t->fetchGbPerS : 0.1;  // DESIGN: 100 MB per second until known better
}

Job& StateCache::job_entry(const std::string& id) {
    auto& slot = jobs_[id];
    if (!slot) {
        slot = std::make_unique<Job>();
        slot->id = id;
    }
    return *slot;
}

HostRecord& StateCache::host_entry(const std::string& name) {
    auto& slot = hosts_[name];
    if (!slot) {
        slot = std::make_unique<HostRecord>();
        slot->name = name;
    }
    return *slot;
}

void StateCache::drop_host_if_unused(const std::string& name) {
    auto it = hosts_.find(name);
    if (it != hosts_.end() && !it->second->shard && it->second->placed.empty()) hosts_.erase(it);
}

HostShard& StateCache::shard_of(const std::string& host, const std::string& zone) {
    return shard_entry(shard_key(host, zone, shardWidth_));
}

// The zone and the number are parts of the key.
HostShard& StateCache::shard_entry(const std::string& key) {
    auto& slot = shards_[key];
    if (!slot) {
        auto first = key.find('/', 3) + 1, last = key.rfind('/');
        slot = std::make_unique<HostShard>();
        slot->key = key;
        slot->zone = key.substr(first, last - first);
        const char* end = key.data() + key.size();
        auto [after, error] = std::from_chars(key.data() + last + 1, end, slot->number);
        if (after != end && *after == '.') std::from_chars(after + 1, end, slot->part);
    }
    return *slot;
}

std::uint32_t StateCache::next_split(const HostShard& shard) const {
    const std::string parts = keys::unsplit_shard_key(shard.key) + ".";
    std::uint32_t highest = 0;
    for (auto it = shards_.lower_bound(parts); it != shards_.end() && it->first.starts_with(parts); ++it)
        if (it->second->revision) highest = std::max(highest, it->second->part);
    return highest + 1;
}

std::uint64_t StateCache::placer_revision(const std::string& member) const {
    auto it = placers_.find(member);
    return it == placers_.end() ? 0 : it->second;
}

void StateCache::apply_shard(const std::string& key, const std::string& rest, const Json* data, std::uint64_t revision,
                             double wallS) {
    if (rest.find('/') == std::string::npos) return;
    HostShard& shard = shard_entry(key);
    if (revision <= shard.revision) return;
    shard.revision = data ? revision : 0;
    shard.size = {};
    std::vector<HostRecord*> before = std::move(shard.hosts);
    shard.hosts.clear();
    if (data)
        for (const HostEntry& entry : decode_shard(*data)) {
            HostRecord& record = host_entry(entry.name);
            shard.hosts.push_back(&record);
            shard.size.add(entry);
            change_host(record, entry, shard, wallS);
        }
    for (HostRecord* h : before) {
        // Listed by another range by now: moved there.
        if (h->shard != &shard) continue;
        if (std::find(shard.hosts.begin(), shard.hosts.end(), h) != shard.hosts.end()) continue;
        h->shard = nullptr;
        unlisted_.push_back(h->name);
    }
}

void StateCache::advance(std::uint64_t revision) {
    revision_ = std::max(revision_, revision);
    for (const std::string& name : std::exchange(unlisted_, {})) {
        auto it = hosts_.find(name);
        if (it == hosts_.end() || it->second->shard) continue;
        HostEntry none;
        none.name = name;
        static_cast<HostEntry&>(*it->second) = none;
        if (on_removed) on_removed(*it->second);
        drop_host_if_unused(name);
    }
}

void StateCache::change_host(HostRecord& host, const HostEntry& next, HostShard& shard, double wallS) {
    bool fresh = host.fencingToken != next.fencingToken || host.incarnation != next.incarnation;
    bool leaving = host.leaving != next.leaving;
    static_cast<HostEntry&>(host) = next;
    host.shard = &shard;
    host.zone = shard.zone;
    if (fresh) {
        host.registeredS = wallS;
        if (const auto* t = type(host.machineType)) host.cache.set_capacity(t->cacheGb);
        if (on_registered) on_registered(host);
    }
    if (leaving && on_leaving) on_leaving(host);
}

void StateCache::apply(const std::string& path, const Json* data, std::uint64_t revision, double wallS) {
    std::string_view p(path);
    if (!p.starts_with(keys::kPrefix)) return;
    p.remove_prefix(3);
    auto slash = p.find('/');
    std::string_view kind = p.substr(0, slash);
    std::string rest(slash == std::string_view::npos ? "" : p.substr(slash + 1));
    if (kind == "jobs") {
        apply_job(rest, data, revision);
    } else if (kind == "active") {
        apply_active(rest, data, revision);
    } else if (kind == "steps") {
        apply_chunk(path, rest, data, revision, wallS);
    } else if (kind == "teams") {
        TeamRecord& t = teams_[rest];
        if (revision <= t.revision) return;
        t.revision = data ? revision : 0;
        t.shares = data ? decode_quota_shares(*data) : QuotaShares{};
    } else if (kind == "placers") {
        std::uint64_t& mine = placers_[rest];
        mine = std::max(mine, revision);
    } else if (kind == "members") {
        auto it = members_.find(rest);
        if (it != members_.end() && revision <= it->second.revision) return;
        if (data) {
            MemberData member = MemberData::decode(*data);
            bool same = it != members_.end() && it->second.incarnation == member.incarnation;
            members_[rest] = {revision, member.incarnation, same ? it->second.sinceS : wallS, member.layout};
        } else if (it != members_.end()) {
            members_.erase(it);
        }
    } else if (kind == "hosts") {
        apply_shard(path, rest, data, revision, wallS);
    } else if (path == keys::kCloudRole) {
        if (revision <= cloudRoleRevision_) return;
        cloudRoleRevision_ = data ? revision : 0;
        cloudRole_ = data ? data->value("by", "") : "";
        cloudRoleIncarnation_ = data ? data->value("inc", std::uint64_t{0}) : 0;
    } else if (path == keys::kLayout) {
        if (!data || revision <= layoutRevision_) return;
        layoutRevision_ = revision;
        layout_ = LayoutRecord::decode(*data);
    } else if (path == keys::kTypes) {
        if (!data || revision <= typesRevision_) return;
        typesRevision_ = revision;
        types_.clear();
        if (const Json* list = wire::list(*data, "builds"))
            for (const Json& e : *list)
                if (auto t = wire::parse_type(e)) types_[t->typeName] = *t;
        for (auto& [name, h] : hosts_)
            if (const auto* t = type(h->machineType)) h->cache.set_capacity(t->cacheGb);
    }
}

void StateCache::apply_job(const std::string& id, const Json* data, std::uint64_t revision) {
    if (!data) return;  // jobs are kept for ever
    if (auto f = finals_.find(id); f != finals_.end() && revision <= f->second.revision) return;
    if (auto phase = wire::text(*data, "f")) {
        finals_[id] = {*phase == "done" ? JobState::done : JobState::aborted, revision};
        if (auto it = jobs_.find(id); it != jobs_.end()) it->second->state.become(finals_[id].state);
        drop_if_over(id);
        return;
    }
    Job& job = job_entry(id);
    if (revision <= job.jobRevision) return;
    job.jobRevision = revision;
    if (!job.spec) {
        auto it = data->find("s");
        if (it == data->end()) return;
        auto parsed = wire::parse_job(*it);
        if (auto* spec = std::get_if<wire::JobSpec>(&parsed)) {
            job.spec = std::move(*spec);
            job.chunks.resize((job.spec->taskCount + chunkSize_ - 1) / chunkSize_);
            job.order = revision;
            job.atS = data->value("at", std::int64_t{0});
            if (job.known()) enqueue(job);
        }
    }
}

void StateCache::apply_active(const std::string& id, const Json* data, std::uint64_t revision) {
    if (!data) {
        drop_if_over(id);
        return;
    }
    if (auto f = finals_.find(id); f != finals_.end() && f->second.revision >= revision) return;
    Job& job = job_entry(id);
    if (revision <= job.activeRevision) return;
    bool fresh = !job.activeRevision;
    job.activeRevision = revision;
    ActiveRecord record = ActiveRecord::decode(*data);
    job.owner = record.owner;
    job.stopAttempt = record.stopAttempt.value_or(0);
    if (record.cancelled) {
        job.state.become(JobState::cancelled);
        job.cancelledAtS = record.cancelledAtS;
    }
    if (fresh && job.spec) enqueue(job);
    if (on_stop && job.spec && (job.state == JobState::cancelled || job.stopAttempt)) on_stop(job);
}

// Jobs of one transaction share a revision: the low bits keep their keys apart, and none may push another out.
void StateCache::enqueue(Job& job) {
    std::uint64_t key = job.order * 1024 + (std::hash<std::string>{}(job.id) & 1023);
    while (queue_.count(key)) ++key;
    queue_[key] = &job;
}

void StateCache::drop_if_over(const std::string& id) {
    auto it = jobs_.find(id);
    if (it == jobs_.end() || !finals_.count(id)) return;
    Job& job = *it->second;
    for (std::uint32_t c = 0; c < job.chunks.size(); ++c) {
        Chunk& chunk = job.chunks[c];
        if (chunk.revision) orphanedChunks_[keys::chunk(id, c)] = chunk.revision;
        // Nothing may be placed once a job is over; the index is cleaned all the same, a dangling entry would crash.
        for (std::uint32_t i = 0; i < chunk.tasks.size(); ++i) {
            const Task& s = chunk.tasks[i];
            if (!s.host) continue;
            std::erase(s.host->placed, TaskRef{&job, c * chunkSize_ + i});
            account_usage(job, s, -1);
        }
    }
    std::erase_if(queue_, [&](auto& e) { return e.second == &job; });
    jobs_.erase(it);
}

void StateCache::apply_chunk(const std::string& path, const std::string& rest, const Json* data, std::uint64_t revision,
                             double wallS) {
    auto slash = rest.rfind('/');
    if (slash == std::string::npos) return;
    std::string id = rest.substr(0, slash);
    std::uint32_t c = 0;
    std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), c);
    auto it = jobs_.find(id);
    if (it == jobs_.end() || finals_.count(id)) {
        if (data)
            orphanedChunks_[path] = std::max(orphanedChunks_[path], revision);
        else
            orphanedChunks_.erase(path);
        return;
    }
    Job& job = *it->second;
    if (!job.spec || c >= job.chunks.size()) return;
    Chunk& chunk = job.chunks[c];
    if (revision <= chunk.revision) return;
    chunk.revision = data ? revision : 0;
    std::uint32_t n = std::min(chunkSize_, job.spec->taskCount - c * chunkSize_);
    std::vector<Task> tasks(n);
    const ChunkRecord record = data ? ChunkRecord::decode(*data) : ChunkRecord{};
    for (const auto& [first, last] : record.done)
        for (std::uint32_t i = first; i <= last && i < n; ++i) tasks[i].state.become(TaskState::done);
    for (const ChunkRecord::Entry& e : record.entries) {
        if (e.index >= n) continue;
        Task& s = tasks[e.index];
        s.attempt = e.attempt;
        if (e.host.empty()) continue;
        s.state.become(TaskState::placed);
        s.host = &host_entry(e.host);
        s.fencingToken = e.fencingToken;
        s.atS = e.atS;
        s.quotaOwner = e.quotaOwner;
    }
    set_tasks(job, c, std::move(tasks), wallS);
}

void StateCache::set_tasks(Job& job, std::uint32_t c, std::vector<Task> next, double wallS) {
    Chunk& chunk = job.chunks[c];
    if (chunk.tasks.empty()) chunk.tasks.resize(next.size());
    for (std::uint32_t i = 0; i < next.size(); ++i)
        change_task(job, c * chunkSize_ + i, chunk.tasks[i], next[i], wallS);
}

void StateCache::account_usage(const Job& job, const Task& task, int by) {
    TeamRecord& team = teams_[job.spec->team];
    Use use{by * milli(job.spec->cores), by * milli(job.spec->gpus)};
    team.used[task.quotaOwner] += use;
    team.total += use;
}

void StateCache::change_task(Job& job, std::uint32_t index, Task& task, const Task& next, double wallS) {
    if (task.state == next.state && task.attempt == next.attempt && task.host == next.host &&
        task.fencingToken == next.fencingToken && task.quotaOwner == next.quotaOwner)
        return;
    Task before = task;
    Chunk& chunk = job.chunks[index / chunkSize_];
    auto count = [&](const Task& s, int by) {
        if (s.state == TaskState::done) chunk.done += by, job.done += by;
        if (s.state != TaskState::placed) return;
        chunk.placed += by, job.placed += by;
        account_usage(job, s, by);
    };
    count(task, -1);
    if (before.host && before.host != next.host) {
        std::erase(before.host->placed, TaskRef{&job, index});
        before.host->cache.release(job.spec->image, wallS);
    }
    if (next.host && before.host != next.host) {
        next.host->placed.push_back({&job, index});
        next.host->cache.fetch(job.spec->image, job.spec->imageGb, wallS,
                               next.atS + job.spec->imageGb / fetch_rate(next.host->machineType));
    }
    if (task.state != next.state) task.state.become(next.state);
    task.attempt = next.attempt;
    task.host = next.host;
    task.fencingToken = next.fencingToken;
    task.atS = next.atS;
    task.quotaOwner = next.quotaOwner;
    count(task, 1);
    if (on_task_change) on_task_change(job, index, before, task);
    if (before.host && before.host != next.host) drop_host_if_unused(before.host->name);
}

ChunkRecord StateCache::chunk_record(const std::vector<Task>& tasks) {
    ChunkRecord record;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const Task& s = tasks[i];
        if (s.state == TaskState::done) {
            std::uint32_t last = i;
            while (last + 1 < tasks.size() && tasks[last + 1].state == TaskState::done) ++last;
            record.done.emplace_back(i, last);
            i = last;
        } else if (s.state == TaskState::placed) {
            record.entries.push_back({i, s.attempt, s.host->name, s.fencingToken, s.atS, s.quotaOwner});
        } else if (s.attempt) {
            record.entries.push_back({i, s.attempt, "", 0, 0, ""});
        }
    }
    return record;
}

}  // namespace wellstair::state
