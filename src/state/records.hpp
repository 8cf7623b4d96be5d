// The values that controllers keep in the state service, as types. Each has its encoding and decoding here, side by
// side; no other module knows the stored field names (docs/glossary.md). Unknown fields are ignored when reading, so
// that versions which add some can run beside those that lack them. Times are times of day in seconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/codec.hpp"

namespace wellstair::state {

using wire::Json;

// The layout of the stored keys that a process can write. Version 1 keeps all hosts of a shard under one key;
// version 2 may split a shard.
inline constexpr std::uint32_t kLayoutWithSplitShards = 2;

// `members/NAME`: one process, attached to its lease.
struct MemberData {
    std::uint64_t incarnation = 0;
    std::string zone;
    std::uint32_t layout = 0;  // the newest layout that the process can write; 0: it does not say

    Json encode() const;
    static MemberData decode(const Json& data);
};

// `layout`: the durable switch to a newer layout, with what the names of keys were computed from.
struct LayoutRecord {
    std::uint32_t version = 0;  // 0: no switch yet
    std::uint32_t chunkSize = 0, shardWidth = 0;

    Json encode() const;
    static LayoutRecord decode(const Json& data);
};

// `active/ID`: what changes about an open job.
struct ActiveRecord {
    std::string owner;
    std::optional<std::uint32_t> stopAttempt;  // of a gang: the attempt that is being stopped
    bool cancelled = false;
    std::int64_t cancelledAtS = 0;

    Json encode() const;
    static ActiveRecord decode(const Json& data);
};

// An amount of a team's quota.
struct QuotaAmount {
    std::int64_t cores = 0, gpus = 0;  // in thousandths
    QuotaAmount& operator+=(const QuotaAmount& o) { return cores += o.cores, gpus += o.gpus, *this; }
    bool operator==(const QuotaAmount&) const = default;
};
inline QuotaAmount operator+(QuotaAmount a, const QuotaAmount& b) {
    return a += b;
}
inline QuotaAmount operator-(const QuotaAmount& a, const QuotaAmount& b) {
    return {a.cores - b.cores, a.gpus - b.gpus};
}

// `teams/NAME`: each controller's share of the team's quota, by controller.
using QuotaShares = std::map<std::string, QuotaAmount>;
Json encode_quota_shares(const QuotaShares& shares);
QuotaShares decode_quota_shares(const Json& data);

// Whether a host is being returned to the cloud: marked for it, or confirmed by the cloud. The numbers are stored.
enum class ReturnState : std::uint8_t { none, marked, gone };

// One host of a shard.
struct HostEntry {
    std::string name, leader, address, machineType;
    std::uint64_t incarnation = 0;
    std::uint64_t fencingToken = 0;  // 0: never registered
    bool spot = false;
    ReturnState returnState = ReturnState::none;
    std::int64_t returnStateAtS = 0;
    bool operator==(const HostEntry&) const = default;
};

// `hosts/ZONE/SHARD`: the hosts of a shard.
Json encode_shard(const std::vector<HostEntry>& hosts);
std::vector<HostEntry> decode_shard(const Json& data);

// An upper bound of the size of an encoded shard, updated host by host without encoding it.
class ShardSize {
  public:
    void add(const HostEntry& host);
    void remove(const HostEntry& host);
    std::size_t bytes() const;

  private:
    std::size_t hosts_ = 0, hostBytes_ = 0;
    std::map<std::pair<std::string, std::uint64_t>, int> leaders_;  // process: how many hosts it leads
    std::map<std::string, int> machineTypes_;
};

// `steps/ID/CHUNK`: the tasks of a chunk that are done or have been given an attempt.
struct ChunkRecord {
    struct Entry {
        std::uint32_t index = 0, attempt = 0;
        std::string host;  // none: the task is open
        std::uint64_t fencingToken = 0;
        std::int64_t placedAtS = 0;
        std::string quotaOwner;

        // At least its size as JSON, with the comma behind it.
        std::size_t size_bound() const;
    };
    std::vector<std::pair<std::uint32_t, std::uint32_t>> done;  // first and last
    std::vector<Entry> entries;

    Json encode() const;
    static ChunkRecord decode(const Json& data);
    std::size_t size_bound() const;
};

}  // namespace wellstair::state
