// Typed records stored in the state service, with their encoding and decoding. No other module knows the stored field
// names (docs/glossary.md). Decoding ignores unknown fields so that versions that add fields can run beside older ones.
// Times are wall-clock seconds.
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

// Layout version of the stored keys from which shards may be split. Version 1 keeps all hosts of a shard under one key.
inline constexpr std::uint32_t kLayoutWithSplitShards = 2;

// `members/NAME`: a controller process, attached to its lease.
struct MemberData {
    std::uint64_t incarnation = 0;
    std::string zone;
    std::uint32_t layout = 0;  // newest layout version that the process can write; 0: not stated

    Json encode() const;
    static MemberData decode(const Json& data);
};

// `layout`: the durable switch to a newer layout version, with the parameters from which key names are computed.
struct LayoutRecord {
    std::uint32_t version = 0;  // 0: not switched yet
    std::uint32_t chunkSize = 0, shardWidth = 0;

    Json encode() const;
    static LayoutRecord decode(const Json& data);
};

// `active/ID`: the mutable part of an open job.
struct ActiveRecord {
    std::string owner;
    std::optional<std::uint32_t> stopAttempt;  // gang: the attempt being stopped
    bool cancelled = false;
    std::int64_t cancelledAtS = 0;

    Json encode() const;
    static ActiveRecord decode(const Json& data);
};

// An amount of a team's quota, in thousandths of a core or GPU.
struct QuotaAmount {
    std::int64_t cores = 0, gpus = 0;
    QuotaAmount& operator+=(const QuotaAmount& other) { return cores += other.cores, gpus += other.gpus, *this; }
    bool operator==(const QuotaAmount&) const = default;
};
inline QuotaAmount operator+(QuotaAmount a, const QuotaAmount& b) {
    return a += b;
}
inline QuotaAmount operator-(const QuotaAmount& a, const QuotaAmount& b) {
    return {a.cores - b.cores, a.gpus - b.gpus};
}

// `teams/NAME`: the shares of the team's quota, by controller.
using QuotaShares = std::map<std::string, QuotaAmount>;
Json encode_quota_shares(const QuotaShares& shares);
QuotaShares decode_quota_shares(const Json& data);

// Progress of a host's return to the cloud: marked for return, or confirmed by the cloud. The numeric values are
// stored.
enum class ReturnState : std::uint8_t { none, marked, gone };

// A host as it is stored in its shard.
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

// Upper bound of the encoded size of a shard, maintained incrementally without encoding.
class ShardSize {
  public:
    void add(const HostEntry& host);
    void remove(const HostEntry& host);
    std::size_t bytes() const;

  private:
    std::size_t hosts_ = 0, hostBytes_ = 0;
    std::map<std::pair<std::string, std::uint64_t>, int> leaders_;  // hosts led, by name and incarnation
    std::map<std::string, int> machineTypes_;                       // hosts of each type
};

// `steps/ID/CHUNK`: the tasks of a chunk that are done or were started at least once.
struct ChunkRecord {
    struct Entry {
        std::uint32_t index = 0, attempt = 0;
        std::string host;  // empty: the task is open
        std::uint64_t fencingToken = 0;
        std::int64_t placedAtS = 0;
        std::string quotaOwner;

        // Upper bound of its size as JSON, including the separating comma.
        std::size_t size_bound() const;
    };
    std::vector<std::pair<std::uint32_t, std::uint32_t>> done;  // ranges of indices, both ends inclusive
    std::vector<Entry> entries;

    Json encode() const;
    static ChunkRecord decode(const Json& data);
    std::size_t size_bound() const;
};

}  // namespace wellstair::state
