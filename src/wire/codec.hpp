// MessagePack bodies: maps keyed by text, lists, text, numbers, booleans and null. Binary data is not part of the wire.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wellstair::wire {

using Json = nlohmann::json;

inline constexpr std::size_t kBodyLimit = std::size_t{64} * 1024;  // PROTOCOL: bodies of requests, measured as JSON

std::string encode(const Json& value);

// Nothing when the bytes are not MessagePack, hold binary data, or are nested deeper than any message is. The depth
// bound guards the stack: 64 KiB of nested one-element lists would otherwise recurse 65,536 times.
std::optional<Json> decode(std::string_view bytes);

// Reading helpers: nothing when the field is missing, null or of another type.
std::optional<std::string> text(const Json& map, const char* key);
std::optional<double> amount(const Json& map, const char* key);
std::optional<std::uint64_t> count(const Json& map, const char* key);
std::optional<bool> flag(const Json& map, const char* key);
const Json* list(const Json& map, const char* key);

}  // namespace wellstair::wire
