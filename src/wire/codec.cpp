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
    if (!value || !value->is_string()) return std::nullopt;
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
