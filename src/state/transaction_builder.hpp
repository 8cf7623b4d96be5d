// Builds one compare-and-swap transaction: the changes and the key revisions on which they depend.
//
// All preconditions are chosen here. Every transaction requires the member record of this process, so a delayed
// transaction of a deposed controller cannot apply; and each changes at least one key that it compares, so a duplicate
// cannot apply. Owns the changes and reads the cached state. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "state/state_cache.hpp"

namespace wellstair::state {

// A transaction as it is sent to the state service.
struct Transaction {
    wire::Json body;
    int writes = 0;                    // operations, which count against the state service's write rate
    std::vector<std::string> summary;  // for the log
};

// Limits on what a transaction may write.
struct WriteRules {
    config::StateLimits limits;
    bool splitShards = false;            // whether host shards may be split
    std::set<std::string> rejectedKeys;  // keys whose last write was rejected as too large
};

class TransactionBuilder {
  public:
    // `member`: name of this controller; `memberRevision`: revision of its member record, 0 if it is not registered.
    TransactionBuilder(StateCache& state, const config::Settings& settings, WriteRules rules, const std::string& member,
                       std::uint64_t memberRevision);

    // Each change below returns false and has no effect if it does not fit into the transaction. A transaction writes a
    // key at most once: a change that would write it again (an idempotent repeat in the same batch, a second reason to
    // return a host) is covered by the first and returns true. Times are wall-clock seconds.

    // Size in bytes of the stored job description.
    static std::size_t submission_size(const wire::JobSpec& spec);
    // Largest job description, in bytes, that fits into a value and into a transaction without other changes.
    static std::size_t max_submission_size(const config::StateLimits& limits);
    bool submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS);
    bool cancel(Job& job, std::int64_t atS);
    // Stops an attempt of a gang with a grace period for checkpoints.
    bool stop_attempt(Job& job, std::uint32_t attempt);

    // Stores the intent to start tasks on the given hosts: all tasks of a gang, or any tasks of another job. Also
    // returns true, without placing them, if the chunk or the team's quota has no room until other tasks have ended.
    bool place(Job& job, const std::vector<std::pair<std::uint32_t, HostRecord*>>& tasks, std::uint32_t attempt,
               std::int64_t atS);
    // Records that the task is done or proven to be terminated. The proof depends on the record of its host.
    bool release_task(Job& job, std::uint32_t index, TaskState to);
    bool finish(Job& job, JobState to);
    // Removes a chunk whose job has ended.
    bool garbage_collect(const std::string& path, std::uint64_t revision);

    // Registers a host for `leader`, from a heartbeat or from its record. The new fencing token is higher than every
    // earlier one of this host.
    bool acquire(const wire::Heartbeat& heartbeat, const std::string& leader, std::uint64_t incarnation);
    bool acquire(HostRecord& host, const std::string& leader, std::uint64_t incarnation);
    // Marks a host for return to the cloud, or, if `gone`, records that the cloud has confirmed its return.
    bool mark_for_return(const std::string& host, const std::string& zone, std::int64_t atS, bool gone,
                         const std::string& reason);
    bool remove_host(HostRecord& host);
    // Splits a shard whose value exceeds the size limit. The host entries, with leaders and fencing tokens, are
    // unchanged.
    bool split(HostShard& shard);

    // Stores the switch to a newer layout. It requires the records of all members: a process that cannot read the new
    // layout holds none of them, so neither it nor a delayed transaction of it can interfere.
    bool switch_layout(const LayoutRecord& layout);
    // Writes any other key; `leaseId` 0: not attached to a lease.
    bool put(const std::string& path, std::uint64_t revision, wire::Json data, std::uint64_t leaseId);

    bool empty() const { return writes() == 0; }
    int writes() const;
    Transaction build() const;

  private:
    using ChunkKey = std::pair<Job*, std::uint32_t>;
    using Placements = std::vector<std::pair<std::uint32_t, HostRecord*>>;
    // The hosts of a shard after the transaction.
    struct ShardEdit {
        std::map<std::string, HostEntry> hosts;
        ShardSize size;

        void set(const HostEntry& host);
        void erase(const std::string& name);
    };
    struct QuotaReservation {
        QuotaAmount reserved;        // by the placements of this transaction
        QuotaShares shares;          // the team's shares after the transaction
        bool sharesChanged = false;  // relative to the stored record
    };
    // The part of the transaction's limits that a placement uses.
    struct PlacementCost {
        std::set<std::uint32_t> chunks;
        int writes = 0, conditions = 0, shards = 0;
        std::size_t bytes = 0;
    };

    // Whether that many more operations, preconditions and bytes fit into the transaction.
    bool has_room(int writes, int conditions, std::size_t bytes) const;
    bool sets_key(const std::string& path) const;
    void require(const std::string& path, std::uint64_t revision) { preconditions_[path] = revision; }
    void require_unchanged(const HostShard& shard) { require(shard.key, shard.revision); }
    void set(const std::string& path, wire::Json data, std::uint64_t leaseId = 0);
    void set_active(const Job& job, const ActiveRecord& record);

    // The tasks of a chunk after the transaction, to be edited.
    std::vector<Task>& edit_chunk(Job& job, std::uint32_t chunk);
    bool chunk_has_room(Job& job, std::uint32_t chunk, std::size_t addedBytes);
    bool chunks_have_room(Job& job, const Placements& tasks, const std::set<std::uint32_t>& chunks,
                          std::uint32_t attempt, std::int64_t atS);
    // Whether a zone constraint binds tasks of different chunks. Each placement of such a job then writes the active
    // record so that concurrent placements, each checked against the whole job, conflict.
    static bool zone_constraint_spans_chunks(const Job& job);
    PlacementCost placement_cost(Job& job, const Placements& tasks) const;
    // Reserves `amount` of the team's quota from this controller's share; if the share does not suffice, from the
    // unassigned quota or the unused shares of other controllers. Returns false if it would exceed the team's limit.
    bool reserve_quota(const std::string& teamName, QuotaAmount amount);
    // Makes the transaction fail if a controller whose share shrinks has made placements that the cache does not show.
    void require_no_placements_by_shrinking_shares(const QuotaShares& before, const QuotaShares& after);

    // The shard that stores the host's entry after the transaction.
    HostShard& shard_for(const std::string& host, HostShard& shard);
    // Null if the shard does not fit into the transaction.
    ShardEdit* edit_shard(HostShard& shard);
    // Splits an edited shard that exceeds the size limit of a value. Returns false and has no effect if the parts do
    // not fit into the transaction.
    bool keep_within_limit(HostShard& shard);
    // Distributes the hosts of an edit over as many shards as needed, each at most `fill` of the size limit. Nothing if
    // that takes more than `maxShards`.
    std::optional<std::vector<ShardEdit>> pack(const ShardEdit& edit, std::size_t maxShards, double fill) const;
    // Calls `change` on the edited shard and splits it if needed; the change is undone if it does not fit.
    template <typename Change>
    bool update(HostShard& shard, const std::string& host, Change change);
    // Gives the host a fencing token above `knownToken` and all earlier ones.
    bool register_host(HostShard& shard, const HostEntry& next, std::uint64_t knownToken);

    StateCache& state_;
    const config::Settings& settings_;
    WriteRules rules_;
    std::string member_;
    std::map<std::string, std::uint64_t> preconditions_;    // expected revisions, by key
    std::vector<std::pair<std::string, wire::Json>> sets_;  // keys and values
    std::map<std::string, std::uint64_t> leaseIds_;         // of keys attached to a lease, by key
    std::set<std::string> removes_;
    std::map<ChunkKey, std::vector<Task>> chunks_;
    std::map<std::string, ShardEdit> shards_;
    std::map<std::string, std::string> movedHosts_;              // hosts moved by splits: name to new shard key
    std::map<std::string, QuotaReservation> quotaReservations_;  // by team
    std::size_t bytes_ = 0;                                      // estimated size of the body without the shards
    std::vector<std::string> summary_;
};

}  // namespace wellstair::state
