// The keys of the state service, all below one prefix so that a single watch sees every change.
//
// The texts are stored data: all versions and all processes must agree on them. `steps` and the other protocol words in
// them are mapped to the program's terms here (docs/glossary.md).
#pragma once

#include <cstdint>
#include <string>

namespace wellstair::state {

namespace keys {

inline constexpr const char* kPrefix = "ws/";
inline constexpr const char* kCloudRole = "ws/roles/cloud";
inline constexpr const char* kMachineTypes = "ws/types";
inline constexpr const char* kLayout = "ws/layout";

std::string member(const std::string& name);
std::string job(const std::string& id);
std::string active(const std::string& id);
std::string chunk(const std::string& id, std::uint32_t chunk);
std::string team(const std::string& name);
std::string placer(const std::string& member);
// The key of a shard that was split off another. It sorts after that shard's key and after those of earlier splits, and
// the version in production reads the shard's number from it.
std::string split_shard_key(const std::string& shard, std::uint32_t part);
// The shard that this one was split off; the shard itself if it never was.
std::string unsplit_shard_key(const std::string& key);

}  // namespace keys

// The key of the shard that a new host is registered in. Hosts are stored in shards, many to a key: a controller that
// takes over hundreds of them writes few keys. A shard holds hosts of one zone, by number; `width` is their number per
// shard.
std::string shard_key(const std::string& host, const std::string& zone, std::uint32_t width);

}  // namespace wellstair::state
