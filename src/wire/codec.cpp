#include "wire/codec.hpp"

#include <cmath>

namespace wellstair::wire {
namespace {

constexpr int kMaxDepth = 32;  // nesting levels of maps and arrays in a message

// SAX handler that builds the document and rejects binary data and deep nesting. The functions hide those of the base
// class: they are not virtual, because the parser is a template over its handler.
class DepthLimitedDomBuilder : public nlohmann::detail::json_sax_dom_parser<Json> {
  public:
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;
    explicit DepthLimitedDomBuilder(Json& root) : Base(root, false) {}

    bool binary(Json::binary_t&) { return false; }
    bool start_object(std::size_t size) { return ++depth_ <= kMaxDepth && Base::start_object(size); }
    bool end_object() {
        --depth_;
        return Base::end_object();
    }
    bool start_array(std::size_t size) { return ++depth_ <= kMaxDepth && Base::start_array(size); }
    bool end_array() {
        --depth_;
        return Base::end_array();
    }

  private:
    int depth_ = 0;
};

constexpr std::uint32_t kMaxCodePoint = 0x10ffff;

// What the first byte of a character in UTF-8 tells: the number of its bytes (0: no first byte), the bits of the code
// point in the first byte, and the least code point that may be encoded with that many bytes.
struct Utf8Lead {
    std::size_t bytes;
    std::uint32_t bits, least;
};

Utf8Lead parse_lead(unsigned char byte) {
    if (byte < 0x80) return {1, byte, 0};
    if (byte >> 5 == 0x6) return {2, byte & 0x1fu, 0x80};
    if (byte >> 4 == 0xe) return {3, byte & 0x0fu, 0x800};
    if (byte >> 3 == 0x1e) return {4, byte & 0x07u, 0x10000};
    return {0, 0, 0};
}

// Returns null if the field is missing or null, or if the value is not a map.
const Json* find(const Json& map, const char* key) {
    if (!map.is_object()) return nullptr;
    auto it = map.find(key);
    return it == map.end() || it->is_null() ? nullptr : &*it;
}

}  // namespace

std::string encode(const Json& value) {
    std::string bytes;
    Json::to_msgpack(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::string to_text(const Json& value) {
    constexpr int kCompact = -1;
    return value.dump(kCompact, ' ', false, Json::error_handler_t::replace);
}

bool is_utf8(std::string_view bytes) {
    for (std::size_t i = 0; i < bytes.size();) {
        const Utf8Lead lead = parse_lead(static_cast<unsigned char>(bytes[i]));
        if (lead.bytes == 0 || bytes.size() - i < lead.bytes) return false;
        std::uint32_t codePoint = lead.bits;
        for (std::size_t k = 1; k < lead.bytes; ++k) {
            const auto byte = static_cast<unsigned char>(bytes[i + k]);
            if ((byte & 0xc0) != 0x80) return false;
            codePoint = codePoint << 6 | (byte & 0x3f);
        }
        const bool surrogate = codePoint >= 0xd800 && codePoint <= 0xdfff;
        if (codePoint < lead.least || surrogate || codePoint > kMaxCodePoint) return false;
        i += lead.bytes;
    }
    return true;
}

std::optional<Json> decode(std::string_view bytes) {
    if (bytes.empty()) return std::nullopt;
    Json root;
    DepthLimitedDomBuilder builder(root);
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, nlohmann::detail::input_format_t::msgpack, true))
        return std::nullopt;
    return root;
}

std::optional<std::string> get_string(const Json& map, const char* key) {
    const Json* value = find(map, key);
    if (!value || !value->is_string() || !is_utf8(value->get_ref<const std::string&>())) return std::nullopt;
    return value->get<std::string>();
}

std::optional<double> get_number(const Json& map, const char* key) {
    const Json* value = find(map, key);
    if (!value || !value->is_number()) return std::nullopt;
    double number = value->get<double>();
    if (!std::isfinite(number)) return std::nullopt;
    return number;
}

std::optional<std::uint64_t> get_unsigned(const Json& map, const char* key) {
    const Json* value = find(map, key);
    if (!value) return std::nullopt;
    if (value->is_number_unsigned()) return value->get<std::uint64_t>();
    if (value->is_number_integer() && value->get<std::int64_t>() >= 0) return value->get<std::uint64_t>();
    return std::nullopt;
}

std::optional<bool> get_bool(const Json& map, const char* key) {
    const Json* value = find(map, key);
    if (!value || !value->is_boolean()) return std::nullopt;
    return value->get<bool>();
}

const Json* get_array(const Json& map, const char* key) {
    const Json* value = find(map, key);
    return value && value->is_array() ? value : nullptr;
}

}  // namespace wellstair::wire
