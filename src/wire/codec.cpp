#include "wire/codec.hpp"

#include <cmath>

namespace wellstair::wire {
namespace {

constexpr int kMaxDepth = 32;

class BoundedDom : public nlohmann::detail::json_sax_dom_parser<Json> {
  public:
    using Base = nlohmann::detail::json_sax_dom_parser<Json>;
    explicit BoundedDom(Json& root) : Base(root, false) {}

    bool binary(Json::binary_t&) { return false; }
    bool start_object(std::size_t n) { return ++depth_ <= kMaxDepth && Base::start_object(n); }
    bool end_object() { return --depth_, Base::end_object(); }
    bool start_array(std::size_t n) { return ++depth_ <= kMaxDepth && Base::start_array(n); }
    bool end_array() { return --depth_, Base::end_array(); }

  private:
    int depth_ = 0;
};

const Json* find(const Json& map, const char* key) {
    if (!map.is_object()) return nullptr;
    auto it = map.find(key);
    return it == map.end() || it->is_null() ? nullptr : &*it;
}

}  // namespace

std::string encode(const Json& value) {
    std::string out;
    Json::to_msgpack(value, nlohmann::detail::output_adapter<char>(out));
    return out;
}

std::optional<Json> decode(std::string_view bytes) {
    if (bytes.empty()) return std::nullopt;
    Json root;
    BoundedDom sax(root);
    if (!Json::sax_parse(bytes.begin(), bytes.end(), &sax, nlohmann::detail::input_format_t::msgpack, true))
        return std::nullopt;
    return root;
}

std::optional<std::string> text(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v || !v->is_string()) return std::nullopt;
    return v->get<std::string>();
}

std::optional<double> amount(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v || !v->is_number()) return std::nullopt;
    double d = v->get<double>();
    if (!std::isfinite(d)) return std::nullopt;
    return d;
}

std::optional<std::uint64_t> count(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v) return std::nullopt;
    if (v->is_number_unsigned()) return v->get<std::uint64_t>();
    if (v->is_number_integer() && v->get<std::int64_t>() >= 0) return v->get<std::uint64_t>();
    return std::nullopt;
}

std::optional<bool> flag(const Json& map, const char* key) {
    const Json* v = find(map, key);
    if (!v || !v->is_boolean()) return std::nullopt;
    return v->get<bool>();
}

const Json* list(const Json& map, const char* key) {
    const Json* v = find(map, key);
    return v && v->is_array() ? v : nullptr;
}

}  // namespace wellstair::wire
