// One compare-and-swap transaction in the making: what is to change, and the revisions that it depends on.
//
// This is the one place where a transaction's preconditions are chosen. Every transaction requires the member record of
// this process, so that one of a deposed controller cannot apply, however late it arrives; and each changes at least
// one key that it compares, so that a second copy cannot apply. Owns the changes; reads the cached state.
// Single-threaded, free of I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "state/state_cache.hpp"

namespace wellstair::state {

// As it is sent to the state service.
struct Transaction {
    wire::Json body;
    int writes = 0;                    // operations, by which the state service counts its rate
    std::vector<std::string> summary;  // for the log
};

// What a transaction may write.
struct WriteRules {
    config::StateLimits limits;
    bool splitShards = false;            // shards of hosts may be split
    std::set<std::string> rejectedKeys;  // keys whose last write the state service refused as too large
};

class TransactionBuilder {
  public:
    // `member` is this controller; `memberRevision` of its member record, 0 if this process is not registered.
    TransactionBuilder(StateCache& state, const config::Settings& settings, WriteRules rules, const std::string& member,
                       std::uint64_t memberRevision);

    // The changes. Each returns false, changing nothing, when the transaction has no room left for it. A key is written
    // once in a transaction: what would write it again (an idempotent repeat in the same batch, a second reason to
    // return a host) is covered by the first and returns true. Times are times of day in seconds.

    // Bytes that the description of a submission takes in the state service.
    static std::size_t submission_size(const wire::JobSpec& spec);
    bool submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS);
    bool cancel(Job& job, std::int64_t atS);
    // Stops an attempt of a gang with time for checkpoints.
    bool stop_attempt(Job& job, std::uint32_t attempt);

    // The durable intent to start tasks: all of one gang, or single ones; each with the host it is to run on.
    bool place(Job& job, const std::vector<std::pair<std::uint32_t, HostRecord*>>& tasks, std::uint32_t attempt,
               std::int64_t atS);
    // The task is proven to be gone, or done. The proof depends on the record of its host.
    bool release_task(Job& job, std::uint32_t index, TaskState to);
    bool finish(Job& job, JobState to);
    // Removes a chunk whose job is over.
    bool garbage_collect(const std::string& path, std::uint64_t revision);

    // Registers a host, known by a heartbeat or by its record, for `leader`. Its fencing token is higher than every
    // earlier one of this host.
    bool acquire(const wire::Heartbeat& heartbeat, const std::string& leader, std::uint64_t incarnation);
    bool acquire(HostRecord& host, const std::string& leader, std::uint64_t incarnation);
    // A host is to be returned to the cloud (`gone` false), or the cloud has confirmed its return.
    bool mark_for_return(const std::string& host, const std::string& zone, std::int64_t atS, bool gone,
                         const std::string& reason);
    bool remove_host(HostRecord& host);
    // Splits a shard whose value is larger than the limit. Leaders, fencing tokens and all else stay as they are.
    bool split(HostShard& shard);

    // The durable switch to a newer layout. It requires the records of all members: a process that cannot read the
    // layout, or a late transaction of one, has none of these.
    bool switch_layout(const LayoutRecord& layout);
    // Any other key; `leaseId` 0: attached to no lease.
    bool put(const std::string& path, std::uint64_t revision, wire::Json data, std::uint64_t leaseId);

    bool empty() const { return writes() == 0; }
    int writes() const;
    Transaction build() const;

  private:
    using ChunkKey = std::pair<Job*, std::uint32_t>;
    using Placements = std::vector<std::pair<std::uint32_t, HostRecord*>>;
    // The hosts of a shard as they will be.
    struct ShardEdit {
        std::map<std::string, HostEntry> hosts;
        ShardSize size;

        void set(const HostEntry& host);
        void erase(const std::string& name);
    };
    struct QuotaReservation {
        QuotaAmount more;    // placed by this transaction
        QuotaShares shares;  // as the team's record will be
        bool moved = false;  // `shares` differ from the record
    };
    // What placing tasks takes of a transaction.
    struct PlacementCost {
        std::set<std::uint32_t> chunks;
        int writes = 0, conditions = 0, shards = 0;
        std::size_t bytes = 0;
    };

    bool room(int writes, int conditions, std::size_t bytes) const;
    bool has(const std::string& path) const;
    void require(const std::string& path, std::uint64_t revision) { preconditions_[path] = revision; }
    void require_unchanged(const HostShard& shard) { require(shard.key, shard.revision); }
    void set(const std::string& path, wire::Json data, std::uint64_t leaseId = 0);
    void set_active(const Job& job, const ActiveRecord& record);

    // The tasks of a chunk as they will be.
    std::vector<Task>& edit_chunk(Job& job, std::uint32_t chunk);
    bool chunk_has_room(Job& job, std::uint32_t chunk, std::size_t more);
    bool chunks_have_room(Job& job, const Placements& tasks, const std::set<std::uint32_t>& chunks,
                          std::uint32_t attempt, std::int64_t atS);
    // Tasks bound to one another by zone are checked against the whole job.
    static bool bound_across_chunks(const Job& job);
    PlacementCost placement_cost(Job& job, const Placements& tasks) const;
    // Reserves `more` of the team's quota from this controller's share; if the share does not suffice, from what is
    // assigned to nobody or from the unused shares of the others. False if the team's limit does not allow it.
    bool reserve_quota(const std::string& teamName, QuotaAmount more);
    // The transaction fails if a controller whose share shrinks has placed anything that is not seen yet.
    void require_no_placements_by_losers(const QuotaShares& before, const QuotaShares& after);

    // Where the host's entry will be stored.
    HostShard& shard_for(const std::string& host, HostShard& shard);
    // Nothing if the transaction has no room for the shard.
    ShardEdit* edit_shard(HostShard& shard);
    // Splits an edit that is larger than a value may be. False, changing nothing, if that does not fit.
    bool keep_within_limit(HostShard& shard);
    // The hosts of an edit in as many shards as needed, none filled by more than `fill` of the limit.
    std::optional<std::vector<ShardEdit>> pack(const ShardEdit& edit, std::size_t most, double fill) const;
    // Calls `change` on the edit of the shard and splits it if need be; undone if there is no room.
    template <typename Change>
    bool update(HostShard& shard, const std::string& host, Change change);
    bool register_host(HostShard& shard, const HostEntry& next, std::uint64_t atLeast);

    StateCache& state_;
    const config::Settings& settings_;
    WriteRules rules_;
    std::string member_;
    std::map<std::string, std::uint64_t> preconditions_;    // by key: its revision
    std::vector<std::pair<std::string, wire::Json>> sets_;  // keys and values
    std::map<std::string, std::uint64_t> leaseIds_;         // of keys that are attached to a lease
    std::set<std::string> removes_;
    std::map<ChunkKey, std::vector<Task>> chunks_;
    std::map<std::string, ShardEdit> shards_;
    std::map<std::string, std::string> moved_;                   // hosts that this transaction moves: to which shard
    std::map<std::string, QuotaReservation> quotaReservations_;  // by team
    std::size_t bytes_ = 0;                                      // estimated, without the shards
    std::vector<std::string> summary_;
};

}  // namespace wellstair::state
