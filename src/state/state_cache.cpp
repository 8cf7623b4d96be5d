#include "state/state_cache.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace wellstair::state {

const Job* StateCache::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it != jobs_.end() && it->second->loaded() ? it->second.get() : nullptr;
}

Job* StateCache::job(const std::string& id) {
    return const_cast<Job*>(std::as_const(*this).job(id));
}

const JobOutcome* StateCache::outcome(const std::string& id) const {
    auto it = outcomes_.find(id);
    return it == outcomes_.end() ? nullptr : &it->second;
}

const HostRecord* StateCache::host(const std::string& name) const {
    auto it = hosts_.find(name);
    return it == hosts_.end() ? nullptr : it->second.get();
}

HostRecord* StateCache::host(const std::string& name) {
    return const_cast<HostRecord*>(std::as_const(*this).host(name));
}

const wire::MachineType* StateCache::machine_type(const std::string& typeName) const {
    auto it = machineTypes_.find(typeName);
    return it == machineTypes_.end() ? nullptr : &it->second;
}

double StateCache::fetch_rate(const std::string& typeName) const {
    constexpr double kDefaultFetchGbPerS = 0.1;  // 100 MB/s, assumed until the type's rate is known
    const auto* machineType = machine_type(typeName);
    return machineType && machineType->fetchGbPerS > 0 ? machineType->fetchGbPerS : kDefaultFetchGbPerS;
}

double StateCache::boot_time_s(const std::string& typeName) const {
    constexpr double kDefaultBootTimeS = 60;  // assumed for a type that is not known
    const auto* machineType = machine_type(typeName);
    return machineType ? machineType->startupS : kDefaultBootTimeS;
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

// Parses the zone, the shard number and the part number from the key.
HostShard& StateCache::shard_entry(const std::string& key) {
    auto& slot = shards_[key];
    if (!slot) {
        auto zoneBegin = key.find('/', std::string_view(keys::kPrefix).size()) + 1, zoneEnd = key.rfind('/');
        slot = std::make_unique<HostShard>();
        slot->key = key;
        slot->zone = key.substr(zoneBegin, zoneEnd - zoneBegin);
        const char* end = key.data() + key.size();
        auto [after, error] = std::from_chars(key.data() + zoneEnd + 1, end, slot->number);
        if (after != end && *after == '.') std::from_chars(after + 1, end, slot->part);
    }
    return *slot;
}

std::uint32_t StateCache::next_split_part(const HostShard& shard) const {
    const std::string prefix = keys::unsplit_shard_key(shard.key) + ".";
    std::uint32_t highest = 0;
    for (auto it = shards_.lower_bound(prefix); it != shards_.end() && it->first.starts_with(prefix); ++it)
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
        if (host->shard != &shard) continue;  // already moved to another shard
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
        HostEntry unregistered;
        unregistered.name = name;
        static_cast<HostEntry&>(*it->second) = unregistered;
        if (onRemoved) onRemoved(*it->second);
        drop_host_if_unused(name);
    }
}

void StateCache::change_host(HostRecord& host, const HostEntry& next, HostShard& shard, double wallS) {
    bool newRegistration = host.fencingToken != next.fencingToken || host.incarnation != next.incarnation;
    bool returnStateChanged = host.returnState != next.returnState;
    static_cast<HostEntry&>(host) = next;
    host.shard = &shard;
    host.zone = shard.zone;
    if (newRegistration) {
        host.registeredS = wallS;
        if (const auto* machineType = machine_type(host.machineType)) host.cache.set_capacity(machineType->cacheGb);
        if (onRegistered) onRegistered(host);
    }
    if (returnStateChanged && onReturnStateChange) onReturnStateChange(host);
}

void StateCache::apply(const std::string& path, const Json* data, std::uint64_t revision, double wallS) {
    if (path == keys::kCloudRole) return apply_cloud_role(data, revision);
    if (path == keys::kLayout) return apply_layout(data, revision);
    if (path == keys::kMachineTypes) return apply_machine_types(data, revision);

    std::string_view suffix(path);
    if (!suffix.starts_with(keys::kPrefix)) return;
    suffix.remove_prefix(std::string_view(keys::kPrefix).size());
    const auto slash = suffix.find('/');
    const std::string_view kind = suffix.substr(0, slash);
    const std::string name(slash == std::string_view::npos ? "" : suffix.substr(slash + 1));
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
    std::uint64_t& latest = placers_[member];
    latest = std::max(latest, revision);
}

void StateCache::apply_member(const std::string& name, const Json* data, std::uint64_t revision, double wallS) {
    auto it = members_.find(name);
    if (it != members_.end() && revision <= it->second.revision) return;
    if (data) {
        const MemberData member = MemberData::decode(*data);
        const bool sameProcess = it != members_.end() && it->second.incarnation == member.incarnation;
        const double joinedAtS = sameProcess ? it->second.joinedAtS : wallS;
        members_[name] = {revision, member.incarnation, joinedAtS, member.layout};
    } else if (it != members_.end()) {
        members_.erase(it);
    }
}

void StateCache::apply_cloud_role(const Json* data, std::uint64_t revision) {
    if (revision <= cloudRoleRevision_) return;
    cloudRoleRevision_ = data ? revision : 0;
    cloudRoleHolder_ = data ? data->value("by", "") : "";
    cloudRoleIncarnation_ = data ? data->value("inc", std::uint64_t{0}) : 0;
}

void StateCache::apply_layout(const Json* data, std::uint64_t revision) {
    if (!data || revision <= layoutRevision_) return;
    layoutRevision_ = revision;
    layout_ = LayoutRecord::decode(*data);
}

void StateCache::apply_machine_types(const Json* data, std::uint64_t revision) {
    if (!data || revision <= machineTypesRevision_) return;
    machineTypesRevision_ = revision;
    machineTypes_.clear();
    if (const Json* list = wire::get_array(*data, "builds"))
        for (const Json& entry : *list)
            if (auto machineType = wire::parse_machine_type(entry)) machineTypes_[machineType->typeName] = *machineType;
    for (auto& [name, host] : hosts_)
        if (const auto* machineType = machine_type(host->machineType)) host->cache.set_capacity(machineType->cacheGb);
}

void StateCache::apply_job(const std::string& id, const Json* data, std::uint64_t revision) {
    if (!data) return;  // job records are never removed
    if (auto ended = outcomes_.find(id); ended != outcomes_.end() && revision <= ended->second.revision) return;
    if (auto phase = wire::get_string(*data, "f")) {
        outcomes_[id] = {*phase == "done" ? JobState::done : JobState::aborted, revision};
        if (auto it = jobs_.find(id); it != jobs_.end()) it->second->state.transition_to(outcomes_[id].state);
        drop_if_ended(id);
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
    job.submissionRevision = revision;
    job.submittedAtS = data->value("at", std::int64_t{0});
    if (job.loaded()) enqueue(job);
}

void StateCache::apply_active(const std::string& id, const Json* data, std::uint64_t revision) {
    if (!data) {
        drop_if_ended(id);
        return;
    }
    if (auto ended = outcomes_.find(id); ended != outcomes_.end() && ended->second.revision >= revision) return;
    Job& job = job_entry(id);
    if (revision <= job.activeRevision) return;
    bool firstRead = !job.activeRevision;
    job.activeRevision = revision;
    ActiveRecord record = ActiveRecord::decode(*data);
    job.owner = record.owner;
    job.stopAttempt = record.stopAttempt.value_or(0);
    if (record.cancelled) {
        job.state.transition_to(JobState::cancelled);
        job.cancelledAtS = record.cancelledAtS;
    }
    if (firstRead && job.spec) enqueue(job);
    if (onStop && job.spec && (job.state == JobState::cancelled || job.stopAttempt)) onStop(job);
}

// Jobs of one transaction share a revision, so the low bits of the key distinguish them; colliding keys are incremented
// because no job may replace another in the queue.
void StateCache::enqueue(Job& job) {
    constexpr std::uint64_t kKeysPerRevision = 1024;
    std::uint64_t key =
        job.submissionRevision * kKeysPerRevision + (std::hash<std::string>{}(job.id) & (kKeysPerRevision - 1));
    while (queue_.count(key)) ++key;
    queue_[key] = &job;
}

void StateCache::drop_if_ended(const std::string& id) {
    auto it = jobs_.find(id);
    if (it == jobs_.end() || !outcomes_.count(id)) return;
    Job& job = *it->second;
    for (std::uint32_t number = 0; number < job.chunks.size(); ++number) {
        Chunk& chunk = job.chunks[number];
        if (chunk.revision) orphanedChunks_[keys::chunk(id, number)] = chunk.revision;
        // No task should be placed when a job ends, but any left are still removed from their hosts: a dangling
        // reference would crash the process.
        for (std::uint32_t i = 0; i < chunk.tasks.size(); ++i) {
            const Task& task = chunk.tasks[i];
            if (!task.host) continue;
            std::erase(task.host->placed, TaskRef{&job, number * chunkSize_ + i});
            account_usage(job, task, -1);
        }
    }
    std::erase_if(queue_, [&](auto& entry) { return entry.second == &job; });
    jobs_.erase(it);
}

}  // namespace wellstair::state
