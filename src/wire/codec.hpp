// MessagePack encoding of message bodies: maps with string keys that hold arrays, strings, numbers, booleans and null.
// Binary data is not part of the protocol (PROTOCOL, encoding).
//
// The functions have no state and can be called from any thread. Input that cannot be decoded gives nullopt or null,
// not an exception.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wellstair::wire {

using Json = nlohmann::json;

inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;  // limit on a request body's size as JSON

std::string encode(const Json& value);

// The value as JSON text, in whose bytes the limits of the protocol are measured. Bytes that are not UTF-8 are
// replaced.
std::string to_text(const Json& value);

// Whether the bytes are UTF-8, as the text of a message must be.
bool is_utf8(std::string_view bytes);

// Returns nullopt if the bytes are not exactly one MessagePack value, contain binary data or are nested too deeply. The
// depth limit prevents a stack overflow: 64 KiB of nested one-element arrays would otherwise recurse 65,536 times.
std::optional<Json> decode(std::string_view bytes);

// Typed access to a field of a map. Returns nullopt if the field is missing, null or of another type.
// Text that is not UTF-8 counts as of another type: the decoder does not check it.
std::optional<std::string> get_string(const Json& map, const char* key);
// Accepts any finite number.
std::optional<double> get_number(const Json& map, const char* key);
// Accepts any integer that is not negative.
std::optional<std::uint64_t> get_unsigned(const Json& map, const char* key);
std::optional<bool> get_bool(const Json& map, const char* key);
// Returns a pointer into the map, null where the other functions return nullopt.
const Json* get_array(const Json& map, const char* key);

}  // namespace wellstair::wire
