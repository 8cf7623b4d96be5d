// The cached state of the state service (a watch cache), typed and linked. Built from reads and from the watch alone.
//
// Owns all entities. Single-threaded, free of I/O: whoever reads the state service applies what it has read, and is
// told of changes by callbacks. A cache that lost its place in the watch is replaced by a new one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/entities.hpp"
#include "state/keys.hpp"
#include "state/records.hpp"
#include "wire/messages.hpp"

namespace wellstair::state {

class StateCache {
  public:
    // `chunkSize`: tasks per chunk; `shardWidth`: hosts per shard. Both follow from the size limit of a stored value.
    StateCache(std::uint32_t chunkSize, std::uint32_t shardWidth) : chunkSize_(chunkSize), shardWidth_(shardWidth) {}
    StateCache(const StateCache&) = delete;

    // One key as read or watched; `data` null means removed. A revision that is not newer than the cached one is
    // ignored. `wallS`: time of day in seconds at which it was read.
    void apply(const std::string& path, const Json* data, std::uint64_t revision, double wallS);
    // The watch has delivered everything up to this revision.
    void advance(std::uint64_t revision);
    std::uint64_t revision() const { return revision_; }

    std::uint32_t chunk_size() const { return chunkSize_; }
    std::uint32_t chunk_of(std::uint32_t index) const { return index / chunkSize_; }

    // An open job; nothing while its description or its active record has not been read, and once it is final.
    Job* job(const std::string& id);
    const Job* job(const std::string& id) const;
    // How a job has ended; nothing if it has not, or is not known.
    const JobOutcome* outcome(const std::string& id) const;
    // Nothing if neither a shard nor a placed task names the host.
    HostRecord* host(const std::string& name);
    const HostRecord* host(const std::string& name) const;
    const std::map<std::string, std::unique_ptr<HostShard>>& shards() const { return shards_; }
    // The number for the next shard to be split off this one: higher than all there are.
    std::uint32_t next_split_part(const HostShard& shard) const;
    // The shard with this key, created in the cache if it is new; nothing is written by that.
    HostShard& shard_entry(const std::string& key);
    // The shard that a new host is registered in, created in the cache if it is new.
    HostShard& shard_of(const std::string& host, const std::string& zone);
    // Nothing if the cloud does not offer the type, or its types are not known yet.
    const wire::MachineType* machine_type(const std::string& typeName) const;
    // GB per second at which machines of this type fetch images; a low default if the type is not known.
    double fetch_rate(const std::string& typeName) const;

    // Open jobs in submission order.
    const std::map<std::uint64_t, Job*>& queue() const { return queue_; }
    const std::unordered_map<std::string, std::unique_ptr<HostRecord>>& hosts() const { return hosts_; }
    const std::map<std::string, MemberRecord>& members() const { return members_; }
    const std::map<std::string, TeamRecord>& teams() const { return teams_; }
    // Counts the placements of a controller: each transaction that places tasks changes it.
    std::uint64_t placer_revision(const std::string& member) const;
    const std::map<std::string, wire::MachineType>& machine_types() const { return machineTypes_; }
    std::uint64_t machine_types_revision() const { return machineTypesRevision_; }
    const std::string& cloud_role_holder() const { return cloudRoleHolder_; }
    std::uint64_t cloud_role_incarnation() const { return cloudRoleIncarnation_; }
    std::uint64_t cloud_role_revision() const { return cloudRoleRevision_; }
    const LayoutRecord& layout() const { return layout_; }
    std::uint64_t layout_revision() const { return layoutRevision_; }
    // Chunks whose job is over, by key with their revisions: to be garbage-collected.
    const std::map<std::string, std::uint64_t>& orphaned_chunks() const { return orphanedChunks_; }
    bool member_live(const std::string& name) const { return members_.count(name) > 0; }

    // The stored form of the tasks of a chunk.
    static ChunkRecord chunk_record(const std::vector<Task>& tasks);

    // Called for every task that changes.
    std::function<void(Job&, std::uint32_t index, const Task& before, const Task& after)> onTaskChange;
    // Called when a host is registered anew: what was observed under the last fencing token proves nothing any more.
    std::function<void(HostRecord&)> onRegistered;
    // Called when a host is marked for return, or is gone.
    std::function<void(HostRecord&)> onReturnStateChange;
    // Called when the record of a host was removed: it is gone for good.
    std::function<void(HostRecord&)> onRemoved;
    // Called when a job is cancelled, or its attempt is to stop.
    std::function<void(Job&)> onStop;

  private:
    Job& job_entry(const std::string& id);
    void enqueue(Job& job);
    void drop_if_over(const std::string& id);
    void apply_job(const std::string& id, const Json* data, std::uint64_t revision);
    void apply_active(const std::string& id, const Json* data, std::uint64_t revision);
    void apply_chunk(const std::string& path, const std::string& rest, const Json* data, std::uint64_t revision,
                     double wallS);
    void apply_team(const std::string& name, const Json* data, std::uint64_t revision);
    void apply_placer(const std::string& member, std::uint64_t revision);
    void apply_member(const std::string& name, const Json* data, std::uint64_t revision, double wallS);
    void apply_cloud_role(const Json* data, std::uint64_t revision);
    void apply_layout(const Json* data, std::uint64_t revision);
    void apply_machine_types(const Json* data, std::uint64_t revision);
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
    std::unordered_map<std::string, JobOutcome> outcomes_;
    std::map<std::uint64_t, Job*> queue_;
    std::unordered_map<std::string, std::unique_ptr<HostRecord>> hosts_;
    std::map<std::string, std::unique_ptr<HostShard>> shards_;
    std::map<std::string, std::uint64_t> placers_;
    std::map<std::string, MemberRecord> members_;
    std::map<std::string, TeamRecord> teams_;
    std::map<std::string, wire::MachineType> machineTypes_;
    std::uint64_t machineTypesRevision_ = 0;
    std::string cloudRoleHolder_;
    std::uint64_t cloudRoleRevision_ = 0, cloudRoleIncarnation_ = 0;
    std::map<std::string, std::uint64_t> orphanedChunks_;
    LayoutRecord layout_;
    std::uint64_t layoutRevision_ = 0;
    // Hosts that a shard no longer lists. A host that was moved is listed by another key of the same revision: whether
    // it was removed is known when the revision is complete.
    std::vector<std::string> unlisted_;
};

}  // namespace wellstair::state
