// Watch cache: a typed, linked copy of the stored state, built only from reads and watch events.
//
// Owns all entities. Single-threaded and free of I/O: the reader of the state service applies each key that it has read
// and is notified of changes through callbacks. A cache that has missed watch events is replaced by a new one.
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
    // `chunkSize`: tasks per chunk; `shardWidth`: hosts per shard. Both derive from the size limit of a stored value.
    StateCache(std::uint32_t chunkSize, std::uint32_t shardWidth) : chunkSize_(chunkSize), shardWidth_(shardWidth) {}
    StateCache(const StateCache&) = delete;

    // Applies one key as read or watched; null `data` means that the key was removed. A revision that is not newer than
    // the cached one is ignored. `wallS`: wall-clock time of the read, in seconds.
    void apply(const std::string& path, const Json* data, std::uint64_t revision, double wallS);
    // Notes that the watch has delivered all changes up to this revision.
    void advance(std::uint64_t revision);
    std::uint64_t revision() const { return revision_; }

    std::uint32_t chunk_size() const { return chunkSize_; }
    std::uint32_t chunk_of(std::uint32_t index) const { return index / chunkSize_; }

    // An open job; null until both its description and its active record have been read, and after it has ended.
    Job* job(const std::string& id);
    const Job* job(const std::string& id) const;
    // The final state of a job; null if the job is open or unknown.
    const JobOutcome* outcome(const std::string& id) const;
    // Null if neither a shard nor a placed task refers to the host.
    HostRecord* host(const std::string& name);
    const HostRecord* host(const std::string& name) const;
    const std::map<std::string, std::unique_ptr<HostShard>>& shards() const { return shards_; }
    // The part number for the next shard to be split off this one: higher than all existing ones.
    std::uint32_t next_split_part(const HostShard& shard) const;
    // The shard with this key, created in the cache, but not in the state service, if it is new.
    HostShard& shard_entry(const std::string& key);
    // The shard in which a new host is registered, created in the cache if it is new.
    HostShard& shard_of(const std::string& host, const std::string& zone);
    // Null if the cloud does not offer the type or its types have not been read yet.
    const wire::MachineType* machine_type(const std::string& typeName) const;
    // Image fetch rate of machines of this type in GB per second; a conservative default if it is unknown.
    double fetch_rate(const std::string& typeName) const;
    // Usual boot time of machines of this type in seconds; a default if it is unknown.
    double boot_time_s(const std::string& typeName) const;

    // Open jobs in submission order.
    const std::map<std::uint64_t, Job*>& queue() const { return queue_; }
    const std::unordered_map<std::string, std::unique_ptr<HostRecord>>& hosts() const { return hosts_; }
    const std::map<std::string, MemberRecord>& members() const { return members_; }
    const std::map<std::string, TeamRecord>& teams() const { return teams_; }
    // Revision of the controller's placer key, which every transaction that places tasks writes.
    std::uint64_t placer_revision(const std::string& member) const;
    const std::map<std::string, wire::MachineType>& machine_types() const { return machineTypes_; }
    std::uint64_t machine_types_revision() const { return machineTypesRevision_; }
    const std::string& cloud_role_holder() const { return cloudRoleHolder_; }
    std::uint64_t cloud_role_incarnation() const { return cloudRoleIncarnation_; }
    std::uint64_t cloud_role_revision() const { return cloudRoleRevision_; }
    const LayoutRecord& layout() const { return layout_; }
    std::uint64_t layout_revision() const { return layoutRevision_; }
    // Revisions of the chunks of ended jobs, by key: candidates for garbage collection.
    const std::map<std::string, std::uint64_t>& orphaned_chunks() const { return orphanedChunks_; }
    bool member_live(const std::string& name) const { return members_.count(name) > 0; }

    // Converts the tasks of a chunk to their stored form.
    static ChunkRecord chunk_record(const std::vector<Task>& tasks);

    // Called for every changed task.
    std::function<void(Job&, std::uint32_t index, const Task& before, const Task& after)> onTaskChange;
    // Called when a host gets a new registration: observations under the previous fencing token are no longer valid.
    std::function<void(HostRecord&)> onRegistered;
    // Called when a host is marked for return or its return is confirmed.
    std::function<void(HostRecord&)> onReturnStateChange;
    // Called when the record of a host was removed, which is final.
    std::function<void(HostRecord&)> onRemoved;
    // Called when a job is cancelled or its current attempt is to be stopped.
    std::function<void(Job&)> onStop;

  private:
    Job& job_entry(const std::string& id);
    void enqueue(Job& job);
    void drop_if_ended(const std::string& id);
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
    void account_usage(const Job& job, const Task& task, int sign);
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
    // Hosts that their shard no longer lists. Another key of the same revision may list a host that was moved, so
    // removal is decided only once the revision is complete.
    std::vector<std::string> unlisted_;
};

}  // namespace wellstair::state
