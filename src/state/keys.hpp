// Key schema of the state service. All keys share one prefix so that a single watch covers every change.
//
// The key strings are stored data: all versions and all processes must agree on them. This is where protocol terms such
// as `steps` are mapped to the terms used in the code (docs/glossary.md).
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
// The key of a shard that was split off another. It sorts after the original shard's key and the keys of earlier
// splits. The version in production parses the shard number from it.
std::string split_shard_key(const std::string& shard, std::uint32_t part);
// The key of the shard that this one was split off; `key` itself for an original shard.
std::string unsplit_shard_key(const std::string& key);

}  // namespace keys

// The key of the shard in which a new host is registered. Many hosts share a key so that a controller that takes over
// hundreds of hosts writes few keys. A shard holds up to `width` hosts of one zone, assigned by the number in the host
// name.
std::string shard_key(const std::string& host, const std::string& zone, std::uint32_t width);

}  // namespace wellstair::state
