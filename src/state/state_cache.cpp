#include "state/state_cache.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace wellstair::state {

const Job* StateCache::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it != jobs_.end() && it->second->known() ? it->second.get() : nullptr;
}

Job* StateCache::job(const std::string& id) {
    return const_cast<Job*>(std::as_const(*this).job(id));
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
    return const_cast<HostRecord*>(std::as_const(*this).host(name));
}

const wire::MachineType* StateCache::type(const std::string& typeName) const {
    auto it = types_.find(typeName);
    return it == types_.end() ? nullptr : &it->second;
}

double StateCache::fetch_rate(const std::string& typeName) const {
    constexpr double kUnknownFetchGbPerS = 0.1;  // DESIGN: 100 MB per second until known better
    const auto* machineType = type(typeName);
    return machineType && machineType->fetchGbPerS > 0 ? machineType->fetchGbPerS : kUnknownFetchGbPerS;
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
    for (HostRecord* host : before) {
        // Listed by another shard by now: moved there.
        if (host->shard != &shard) continue;
        if (std::find(shard.hosts.begin(), shard.hosts.end(), host) != shard.hosts.end()) continue;
        host->shard = nullptr;
        unlisted_.push_back(host->name);
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
        if (onRemoved) onRemoved(*it->second);
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
        if (onRegistered) onRegistered(host);
    }
    if (leaving && onLeaving) onLeaving(host);
}

void StateCache::apply(const std::string& path, const Json* data, std::uint64_t revision, double wallS) {
    if (path == keys::kCloudRole) return apply_cloud_role(data, revision);
    if (path == keys::kLayout) return apply_layout(data, revision);
    if (path == keys::kTypes) return apply_types(data, revision);

    std::string_view below(path);
    if (!below.starts_with(keys::kPrefix)) return;
    below.remove_prefix(std::string_view(keys::kPrefix).size());
    const auto slash = below.find('/');
    const std::string_view kind = below.substr(0, slash);
    const std::string name(slash == std::string_view::npos ? "" : below.substr(slash + 1));
    if (kind == "jobs") return apply_job(name, data, revision);
    if (kind == "active") return apply_active(name, data, revision);
    if (kind == "steps") return apply_chunk(path, name, data, revision, wallS);
    if (kind == "teams") return apply_team(name, data, revision);
    if (kind == "placers") return apply_placer(name, revision);
    if (kind == "members") return apply_member(name, data, revision, wallS);
    if (kind == "hosts") return apply_shard(path, name, data, revision, wallS);
}

void StateCache::apply_team(const std::string& name, const Json* data, std::uint64_t revision) {
    TeamRecord& team = teams_[name];
    if (revision <= team.revision) return;
    team.revision = data ? revision : 0;
    team.shares = data ? decode_quota_shares(*data) : QuotaShares{};
}

void StateCache::apply_placer(const std::string& member, std::uint64_t revision) {
    std::uint64_t& known = placers_[member];
    known = std::max(known, revision);
}

void StateCache::apply_member(const std::string& name, const Json* data, std::uint64_t revision, double wallS) {
    auto it = members_.find(name);
    if (it != members_.end() && revision <= it->second.revision) return;
    if (data) {
        const MemberData member = MemberData::decode(*data);
        const bool sameProcess = it != members_.end() && it->second.incarnation == member.incarnation;
        const double sinceS = sameProcess ? it->second.sinceS : wallS;
        members_[name] = {revision, member.incarnation, sinceS, member.layout};
    } else if (it != members_.end()) {
        members_.erase(it);
    }
}

void StateCache::apply_cloud_role(const Json* data, std::uint64_t revision) {
    if (revision <= cloudRoleRevision_) return;
    cloudRoleRevision_ = data ? revision : 0;
    cloudRole_ = data ? data->value("by", "") : "";
    cloudRoleIncarnation_ = data ? data->value("inc", std::uint64_t{0}) : 0;
}

void StateCache::apply_layout(const Json* data, std::uint64_t revision) {
    if (!data || revision <= layoutRevision_) return;
    layoutRevision_ = revision;
    layout_ = LayoutRecord::decode(*data);
}

void StateCache::apply_types(const Json* data, std::uint64_t revision) {
    if (!data || revision <= typesRevision_) return;
    typesRevision_ = revision;
    types_.clear();
    if (const Json* list = wire::get_array(*data, "builds"))
        for (const Json& entry : *list)
            if (auto machineType = wire::parse_machine_type(entry)) types_[machineType->typeName] = *machineType;
    for (auto& [name, host] : hosts_)
        if (const auto* machineType = type(host->machineType)) host->cache.set_capacity(machineType->cacheGb);
}

void StateCache::apply_job(const std::string& id, const Json* data, std::uint64_t revision) {
    if (!data) return;  // jobs are kept for ever
    if (auto f = finals_.find(id); f != finals_.end() && revision <= f->second.revision) return;
    if (auto phase = wire::get_string(*data, "f")) {
        finals_[id] = {*phase == "done" ? JobState::done : JobState::aborted, revision};
        if (auto it = jobs_.find(id); it != jobs_.end()) it->second->state.become(finals_[id].state);
        drop_if_over(id);
        return;
    }
    Job& job = job_entry(id);
    if (revision <= job.jobRevision) return;
    job.jobRevision = revision;
    if (job.spec) return;
    auto description = data->find("s");
    if (description == data->end()) return;
    auto parsed = wire::parse_job(*description);
    auto* spec = std::get_if<wire::JobSpec>(&parsed);
    if (!spec) return;
    job.spec = std::move(*spec);
    job.chunks.resize((job.spec->taskCount + chunkSize_ - 1) / chunkSize_);
    job.order = revision;
    job.atS = data->value("at", std::int64_t{0});
    if (job.known()) enqueue(job);
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
    if (onStop && job.spec && (job.state == JobState::cancelled || job.stopAttempt)) onStop(job);
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
    for (std::uint32_t number = 0; number < job.chunks.size(); ++number) {
        Chunk& chunk = job.chunks[number];
        if (chunk.revision) orphanedChunks_[keys::chunk(id, number)] = chunk.revision;
        // Nothing may be placed once a job is over; the index is cleaned all the same: a dangling entry would crash.
        for (std::uint32_t i = 0; i < chunk.tasks.size(); ++i) {
            const Task& task = chunk.tasks[i];
            if (!task.host) continue;
            std::erase(task.host->placed, TaskRef{&job, number * chunkSize_ + i});
            account_usage(job, task, -1);
        }
    }
    std::erase_if(queue_, [&](auto& e) { return e.second == &job; });
    jobs_.erase(it);
}

}  // namespace wellstair::state
