// The part of StateCache that tracks tasks: chunks, placements, quota usage and image caches.
#include <charconv>
#include <utility>

#include "state/state_cache.hpp"

namespace wellstair::state {

void StateCache::apply_chunk(const std::string& path, const std::string& rest, const Json* data, std::uint64_t revision,
                             double wallS) {
    auto slash = rest.rfind('/');
    if (slash == std::string::npos) return;
    std::string id = rest.substr(0, slash);
    std::uint32_t chunkIndex = 0;
    std::from_chars(rest.data() + slash + 1, rest.data() + rest.size(), chunkIndex);
    auto it = jobs_.find(id);
    if (it == jobs_.end() || outcomes_.count(id)) {
        if (data)
            orphanedChunks_[path] = std::max(orphanedChunks_[path], revision);
        else
            orphanedChunks_.erase(path);
        return;
    }
    Job& job = *it->second;
    if (!job.spec || chunkIndex >= job.chunks.size()) return;
    Chunk& chunk = job.chunks[chunkIndex];
    if (revision <= chunk.revision) return;
    chunk.revision = data ? revision : 0;
    std::uint32_t taskCount = std::min(chunkSize_, job.spec->taskCount - chunkIndex * chunkSize_);
    std::vector<Task> tasks(taskCount);
    const ChunkRecord record = data ? ChunkRecord::decode(*data) : ChunkRecord{};
    for (const auto& [first, last] : record.done)
        for (std::uint32_t i = first; i <= last && i < taskCount; ++i) tasks[i].state.transition_to(TaskState::done);
    for (const ChunkRecord::Entry& entry : record.entries) {
        if (entry.index >= taskCount) continue;
        Task& task = tasks[entry.index];
        task.attempt = entry.attempt;
        if (entry.host.empty()) continue;
        task.state.transition_to(TaskState::placed);
        task.host = &host_entry(entry.host);
        task.fencingToken = entry.fencingToken;
        task.placedAtS = entry.placedAtS;
        task.quotaOwner = entry.quotaOwner;
    }
    set_tasks(job, chunkIndex, std::move(tasks), wallS);
}

void StateCache::set_tasks(Job& job, std::uint32_t chunkIndex, std::vector<Task> next, double wallS) {
    Chunk& chunk = job.chunks[chunkIndex];
    if (chunk.tasks.empty()) chunk.tasks.resize(next.size());
    for (std::uint32_t i = 0; i < next.size(); ++i)
        change_task(job, chunkIndex * chunkSize_ + i, chunk.tasks[i], next[i], wallS);
}

void StateCache::account_usage(const Job& job, const Task& task, int sign) {
    TeamRecord& team = teams_[job.spec->team];
    QuotaAmount amount{sign * to_thousandths(job.spec->cores), sign * to_thousandths(job.spec->gpus)};
    team.used[task.quotaOwner] += amount;
    team.total += amount;
}

void StateCache::change_task(Job& job, std::uint32_t index, Task& task, const Task& next, double wallS) {
    if (task.state == next.state && task.attempt == next.attempt && task.host == next.host &&
        task.fencingToken == next.fencingToken && task.quotaOwner == next.quotaOwner)
        return;
    Task before = task;
    Chunk& chunk = job.chunks[index / chunkSize_];
    auto count = [&](const Task& counted, int sign) {
        if (counted.state == TaskState::done) chunk.done += sign, job.done += sign;
        if (counted.state != TaskState::placed) return;
        chunk.placed += sign, job.placed += sign;
        account_usage(job, counted, sign);
    };
    count(task, -1);
    if (before.host && before.host != next.host) {
        std::erase(before.host->placed, TaskRef{&job, index});
        before.host->cache.release(job.spec->image, wallS);
    }
    if (next.host && before.host != next.host) {
        next.host->placed.push_back({&job, index});
        next.host->cache.begin_fetch(job.spec->image, job.spec->imageGb, wallS,
                                     next.placedAtS + job.spec->imageGb / fetch_rate(next.host->machineType));
    }
    if (task.state != next.state) task.state.transition_to(next.state);
    task.attempt = next.attempt;
    task.host = next.host;
    task.fencingToken = next.fencingToken;
    task.placedAtS = next.placedAtS;
    task.quotaOwner = next.quotaOwner;
    count(task, 1);
    if (onTaskChange) onTaskChange(job, index, before, task);
    if (before.host && before.host != next.host) drop_host_if_unused(before.host->name);
}

ChunkRecord StateCache::chunk_record(const std::vector<Task>& tasks) {
    ChunkRecord record;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const Task& task = tasks[i];
        if (task.state == TaskState::done) {
            std::uint32_t last = i;
            while (last + 1 < tasks.size() && tasks[last + 1].state == TaskState::done) ++last;
            record.done.emplace_back(i, last);
            i = last;
        } else if (task.state == TaskState::placed) {
            record.entries.push_back(
                {i, task.attempt, task.host->name, task.fencingToken, task.placedAtS, task.quotaOwner});
        } else if (task.attempt) {
            record.entries.push_back({i, task.attempt, "", 0, 0, ""});
        }
    }
    return record;
}

}  // namespace wellstair::state
