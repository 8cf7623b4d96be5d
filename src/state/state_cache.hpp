// The typed picture of what the state service holds. Built from reads and from the watch alone; nothing here is a
// guess.
#pragma once

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/cache.hpp"
#include "state/records.hpp"
#include "state/states.hpp"
#include "wire/messages.hpp"

namespace wellstair::state {

// The keys, all below one prefix so that a single watch sees every change.
namespace keys {
inline constexpr const char* kPrefix = "ws/";
std::string member(const std::string& name);
std::string job(const std::string& id);
std::string active(const std::string& id);
std::string chunk(const std::string& id, std::uint32_t chunk);
std::string team(const std::string& name);
std::string placer(const std::string& member);
inline constexpr const char* kCloudRole = "ws/roles/cloud";
inline constexpr const char* kTypes = "ws/types";
inline constexpr const char* kLayout = "ws/layout";
// A part of a range that was divided. Its key sorts after the range's and after those of earlier parts, and
// production's readers take the range's number from it.
std::string split_shard_key(const std::string& shard, std::uint32_t part);
// The range that a part belongs to; the range itself if it is none.
std::string unsplit_shard_key(const std::string& key);
}  // namespace keys

// The table of machines is kept in ranges, many machines to a key: their registrations are few writes, also when a
// controller takes over hundreds of them. A range holds machines of one zone, by number.
std::string shard_key(const std::string& host, const std::string& zone, std::uint32_t width);

struct HostRecord;
struct HostShard;

struct Task {
    StateMachine<TaskState, TaskTraits> state{TaskState::open};
    std::uint32_t attempt = 0;       // the last one given out
    HostRecord* host = nullptr;      // while placed
    std::uint64_t fencingToken = 0;  // of the leadership under which it was placed
    std::int64_t atS = 0;            // time of day of the intent
    std::string quotaOwner;          // the member whose part of the team's limit it uses
};

struct Chunk {
    std::uint64_t revision = 0;  // 0: not written yet, all tasks open
    std::vector<Task> tasks;     // empty until first written
    std::uint32_t done = 0, placed = 0;
};

struct Job {
    std::string id;
    std::optional<wire::JobSpec> spec;
    StateMachine<JobState, JobTraits> state{JobState::active};
    std::uint64_t jobRevision = 0, activeRevision = 0;
    std::uint64_t order = 0;  // revision of the submission
    std::int64_t atS = 0;     // time of day of the submission
    std::string owner;
    std::uint32_t stopAttempt = 0;  // gang: this attempt is being stopped in an orderly way
    std::int64_t cancelledAtS = 0;  // time of day, not later than the confirmation to the user
    std::vector<Chunk> chunks;
    std::uint32_t done = 0, placed = 0;

    bool known() const { return spec && activeRevision; }
    std::uint32_t open() const { return spec->taskCount - done - placed; }
    bool gang() const { return spec->kind == wire::JobKind::gang; }
    // Follows from the states of the tasks.
    GangState gang_state() const;
    // Tasks that run all together or not at all; a gang of one is like a batch of one.
    bool wide_gang() const { return gang() && spec->taskCount > 1; }
    bool service() const { return spec->service(); }
    // A service that has lost a replica: some open task has run before.
    bool lost_replica() const;
    Task task(std::uint32_t index, std::uint32_t chunkSize) const;
};

struct TaskRef {
    Job* job;
    std::uint32_t index;
    bool operator==(const TaskRef&) const = default;
};

struct HostShard {
    std::string key, zone;
    std::uint64_t revision = 0;
    std::uint32_t number = 0;  // spreads the ranges over the controllers
    std::uint32_t part = 0;    // 0: the range itself, where new machines are registered
    std::vector<HostRecord*> hosts;
    ShardSize size;  // of the value as it is stored
};

struct HostRecord : HostEntry {
    std::string zone;
    HostShard* shard = nullptr;  // nothing: known only by tasks that were placed there
    double registeredS = 0;      // time of day at which the registration was seen
    std::vector<TaskRef> placed;
    placement::ImageCache cache;

    bool registered() const { return fencingToken != 0; }
    bool leaves() const { return leaving != Leaving::no; }
    bool gone() const { return leaving == Leaving::gone; }
    // In no range: its record was removed, which is done only after the cloud has said that the machine is gone.
    bool removed() const { return !shard && !registered(); }
};

// A team's limit is divided among the controllers, so that each can place without the others' leave. What is used
// follows from the placed tasks: each names the controller whose part it uses.
struct TeamRecord {
    std::uint64_t revision = 0;
    QuotaShares shares;
    std::map<std::string, Use> used;
    Use total;  // of `used`
};

struct MemberRecord {
    std::uint64_t revision = 0, incarnation = 0;
    double sinceS = 0;         // time of day at which it was seen to join
    std::uint32_t layout = 0;  // the newest layout that the process can write
};

struct Final {
    JobState state;
    std::uint64_t revision;
};

inline std::int64_t milli(double amount) {
    return std::llround(amount * 1000);
}

class StateCache {
  public:
    // `chunkSize`: tasks per chunk; `rangeWidth`: machines per range; both from the size limit of a value.
    StateCache(std::uint32_t chunkSize, std::uint32_t shardWidth) : chunkSize_(chunkSize), shardWidth_(shardWidth) {}
    StateCache(const StateCache&) = delete;

    // One key as read or watched; `data` null means removed. Older than what is known: ignored.
    void apply(const std::string& path, const Json* data, std::uint64_t revision, double wallS);
    // The watch has delivered everything up to this revision.
    void advance(std::uint64_t revision);
    std::uint64_t revision() const { return revision_; }

    std::uint32_t chunk_size() const { return chunkSize_; }
    std::uint32_t chunk_of(std::uint32_t index) const { return index / chunkSize_; }

    Job* job(const std::string& id);
    const Job* job(const std::string& id) const;
    const Final* final(const std::string& id) const;
    HostRecord* host(const std::string& name);
    const HostRecord* host(const std::string& name) const;
    const std::map<std::string, std::unique_ptr<HostShard>>& shards() const { return shards_; }
    // The number for the next part of a range: higher than that of each part there is.
    std::uint32_t next_split(const HostShard& shard) const;
    // The entry of a range or part by its key, made if it is new; nothing is written by that.
    HostShard& shard_entry(const std::string& key);
    // The range of a machine, made if it is new; nothing is written by that.
    HostShard& shard_of(const std::string& host, const std::string& zone);
    const wire::MachineType* type(const std::string& typeName) const;
    double fetch_rate(const std::string& typeName) const;

    // Open jobs in submission order.
    const std::map<std::uint64_t, Job*>& queue() const { return queue_; }
    const std::unordered_map<std::string, std::unique_ptr<HostRecord>>& hosts() const { return hosts_; }
    const std::map<std::string, MemberRecord>& members() const { return members_; }
    const std::map<std::string, TeamRecord>& teams() const { return teams_; }
    std::uint64_t placer_revision(const std::string& member) const;
    const std::map<std::string, wire::MachineType>& types() const { return types_; }
    std::uint64_t types_revision() const { return typesRevision_; }
    const std::string& cloud_role() const { return cloudRole_; }
    std::uint64_t cloud_role_incarnation() const { return cloudRoleIncarnation_; }
    std::uint64_t cloud_role_revision() const { return cloudRoleRevision_; }
    const LayoutRecord& layout() const { return layout_; }
    std::uint64_t layout_revision() const { return layoutRevision_; }
    // Chunks whose job is over, by key: to be removed.
    const std::map<std::string, std::uint64_t>& orphaned_chunks() const { return orphanedChunks_; }
    bool member_live(const std::string& name) const { return members_.count(name) > 0; }

    static ChunkRecord chunk_record(const std::vector<Task>& tasks);

    // Called for every task that changes: the controller keeps its own notes by these.
    std::function<void(Job&, std::uint32_t index, const Task& before, const Task& after)> on_task_change;
    // Called when a host is registered anew: everything noted under the last fencing token proves nothing any more.
    std::function<void(HostRecord&)> on_registered;
    // Called when a host is being returned, or gone.
    std::function<void(HostRecord&)> on_leaving;
    // Called when the record of a machine was removed: it is gone for good.
    std::function<void(HostRecord&)> on_removed;
    // Called when a job is cancelled, or its attempt is to stop.
    std::function<void(Job&)> on_stop;

  private:
    Job& job_entry(const std::string& id);
    void enqueue(Job& job);
    void drop_if_over(const std::string& id);
    void apply_job(const std::string& id, const Json* data, std::uint64_t revision);
    void apply_active(const std::string& id, const Json* data, std::uint64_t revision);
    void apply_chunk(const std::string& path, const std::string& rest, const Json* data, std::uint64_t revision,
                     double wallS);
    void set_tasks(Job& job, std::uint32_t chunk, std::vector<Task> tasks, double wallS);
    void change_task(Job& job, std::uint32_t index, Task& task, const Task& next, double wallS);
    void apply_shard(const std::string& key, const std::string& rest, const Json* data, std::uint64_t revision,
                     double wallS);
    void change_host(HostRecord& host, const HostEntry& next, HostShard& shard, double wallS);
    void account_usage(const Job& job, const Task& task, int by);
    HostRecord& host_entry(const std::string& name);
    void drop_host_if_unused(const std::string& name);

    std::uint32_t chunkSize_, shardWidth_;
    std::uint64_t revision_ = 0;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::unordered_map<std::string, Final> finals_;
    std::map<std::uint64_t, Job*> queue_;
    std::unordered_map<std::string, std::unique_ptr<HostRecord>> hosts_;
    std::map<std::string, std::unique_ptr<HostShard>> shards_;
    std::map<std::string, std::uint64_t> placers_;
    std::map<std::string, MemberRecord> members_;
    std::map<std::string, TeamRecord> teams_;
    std::map<std::string, wire::MachineType> types_;
    std::uint64_t typesRevision_ = 0;
    std::string cloudRole_;
    std::uint64_t cloudRoleRevision_ = 0, cloudRoleIncarnation_ = 0;
    std::map<std::string, std::uint64_t> orphanedChunks_;
    LayoutRecord layout_;
    std::uint64_t layoutRevision_ = 0;
    // Machines that a range no longer lists. A machine that was moved is listed by another key of the same revision:
    // whether it has gone is known when the revision is complete.
    std::vector<std::string> unlisted_;
};

}  // namespace wellstair::state
