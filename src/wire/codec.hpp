// Encoding of message bodies: MessagePack maps keyed by text, with lists, text, numbers, booleans and null. Binary data
// is not part of the protocol (PROTOCOL, encoding).
//
// Pure functions, safe from any thread; what cannot be read is returned as nothing, never thrown.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wellstair::wire {

using Json = nlohmann::json;

inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;  // bytes of a request's body, measured as JSON

std::string encode(const Json& value);

// Nothing when the bytes are not MessagePack, hold binary data, or are nested deeper than any message is. The depth
// bound guards the stack: 64 KiB of nested one-element lists would otherwise recurse 65,536 times.
std::optional<Json> decode(std::string_view bytes);

// Fields of a map: nothing when the field is missing, null or of another type.
std::optional<std::string> get_string(const Json& map, const char* key);
// Any finite number.
std::optional<double> get_number(const Json& map, const char* key);
// An integer of at least 0.
std::optional<std::uint64_t> get_unsigned(const Json& map, const char* key);
std::optional<bool> get_bool(const Json& map, const char* key);
// Points into the map; null for nothing.
const Json* get_array(const Json& map, const char* key);

}  // namespace wellstair::wire
