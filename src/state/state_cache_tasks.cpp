// The part of the cached state that follows the tasks: chunks, placements, used quota and image caches.
#include <charconv>
#include <utility>

#include "state/state_cache.hpp"

namespace wellstair::state {

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
        next.host->cache.begin_fetch(job.spec->image, job.spec->imageGb, wallS,
                                     next.atS + job.spec->imageGb / fetch_rate(next.host->machineType));
    }
    if (task.state != next.state) task.state.become(next.state);
    task.attempt = next.attempt;
    task.host = next.host;
    task.fencingToken = next.fencingToken;
    task.atS = next.atS;
    task.quotaOwner = next.quotaOwner;
    count(task, 1);
    if (onTaskChange) onTaskChange(job, index, before, task);
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
