// One transaction in the making: what is to change, and the revisions that it all rests on.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "state/state_cache.hpp"

namespace wellstair::state {

struct Transaction {
    wire::Json body;
    int writes = 0;
    std::vector<std::string> summary;  // for the log
};

// What a transaction may write.
struct WriteRules {
    config::StateLimits limits;
    bool splitShards = false;            // ranges of machines may be divided into parts
    std::set<std::string> rejectedKeys;  // keys whose last write the state service refused as too large
};

class TransactionBuilder {
  public:
    // Every transaction carries `member` (path and revision): a deposed controller's cannot apply.
    TransactionBuilder(state::StateCache& state, const config::Settings& settings, WriteRules rules,
                       const std::string& member, std::uint64_t memberRevision);

    // Each returns false, changing nothing, when the transaction has no room left for it. A key is written once in a
    // transaction: what would write it again (a user's repeat in the same batch, a second reason to return a machine)
    // is covered by the first and returns true.
    static std::size_t submission_size(const wire::JobSpec& spec);
    bool submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS);
    bool cancel(state::Job& job, std::int64_t atS);
    bool stop_attempt(state::Job& job, std::uint32_t attempt);
    // All of one gang, or single tasks; `hosts` are those it is to run on.
    bool place(state::Job& job, const std::vector<std::pair<std::uint32_t, state::HostRecord*>>& tasks,
               std::uint32_t attempt, std::int64_t atS);
    // The task is proven to be gone, or done. The proof rests on the record of its host.
    bool release_task(state::Job& job, std::uint32_t index, state::TaskState to);
    bool finish(state::Job& job, state::JobState to);
    bool garbage_collect(const std::string& path, std::uint64_t revision);
    // Registers a host anew for `leader`: its fencing token is higher than every earlier one of this host. The host is
    // known by a heartbeat, or by its record alone.
    bool acquire(const wire::Heartbeat& heartbeat, const std::string& leader, std::uint64_t incarnation);
    bool acquire(state::HostRecord& host, const std::string& leader, std::uint64_t incarnation);
    // A host is being returned (`gone` false), or is gone by the cloud's word.
    bool mark_for_return(const std::string& host, const std::string& zone, std::int64_t atS, bool gone,
                         const std::string& why);
    bool remove_host(state::HostRecord& host);
    // Divides a range whose value is larger than the limit into parts. Keepers, fencing tokens and all else stay as
    // they are.
    bool split(state::HostShard& shard);
    // The durable switch to a newer layout. It rests on the records of all members: a process that cannot read the
    // layout, or a late transaction of one, has none of these.
    bool switch_layout(const state::LayoutRecord& layout);
    bool put(const std::string& path, std::uint64_t revision, wire::Json data, std::uint64_t leaseId);

    bool empty() const { return writes() == 0; }
    int writes() const;
    Transaction build() const;

  private:
    using ChunkKey = std::pair<state::Job*, std::uint32_t>;
    bool room(int writes, int conditions, std::size_t bytes) const;
    bool has(const std::string& path) const;
    std::vector<state::Task>& edit(state::Job& job, std::uint32_t chunk);
    void require(const std::string& path, std::uint64_t revision) { preconditions_[path] = revision; }
    void set(const std::string& path, wire::Json data, std::uint64_t leaseId = 0);
    // The machines of a range or part as they will be.
    struct ShardEdit {
        std::map<std::string, state::HostEntry> hosts;
        state::ShardSize size;

        void set(const state::HostEntry& host);
        void erase(const std::string& name);
    };
    using ShardEdits = std::map<std::string, ShardEdit>;
    // Where the machine's entry stands, once this transaction has been applied.
    state::HostShard& shard_for(const std::string& host, state::HostShard& shard);
    // The edit of a range, begun if there is none; nothing if the transaction has no room for it.
    ShardEdit* edit_shard(state::HostShard& shard);
    // Divides an edit that is larger than a value may be. False, changing nothing, if that does not fit.
    bool keep_within_limit(state::HostShard& shard);
    std::optional<std::vector<ShardEdit>> pack(const ShardEdit& edit, std::size_t most, double fill) const;
    // Calls `change` on the edit of the range and divides it if need be; undone if there is no room.
    template <typename Change>
    bool update(state::HostShard& shard, const std::string& host, Change change);
    bool register_host(state::HostShard& shard, const state::HostEntry& next, std::uint64_t atLeast);
    // Takes `more` of this controller's part of the team's limit; nothing of it is left: from the others' unused parts.
    bool reserve_quota(const std::string& teamName, state::Use more);
    void require_unchanged(const state::HostShard& shard);
    bool chunk_has_room(state::Job& job, std::uint32_t chunk, std::size_t more);

    state::StateCache& state_;
    const config::Settings& settings_;
    WriteRules rules_;
    std::map<std::string, std::uint64_t> preconditions_;
    std::vector<std::pair<std::string, wire::Json>> sets_;
    std::map<std::string, std::uint64_t> leaseIds_;
    std::set<std::string> removes_;
    std::map<ChunkKey, std::vector<state::Task>> chunks_;
    ShardEdits shards_;
    std::map<std::string, std::string> moved_;  // machines that this transaction moves: to which key
    struct QuotaReservation {
        state::Use more;                           // placed by this transaction
        std::map<std::string, state::Use> shares;  // as the team's record will be
        bool moved = false;                        // `parts` differ from the record
    };
    std::map<std::string, QuotaReservation> quotaReservations_;
    std::string member_;
    std::size_t bytes_ = 0;
    std::vector<std::string> summary_;
};

}  // namespace wellstair::state
