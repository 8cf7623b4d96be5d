#include "state/keys.hpp"

#include <algorithm>
#include <charconv>

namespace wellstair::state {

namespace keys {
std::string member(const std::string& name) {
    return "ws/members/" + name;
}
std::string job(const std::string& id) {
    return "ws/jobs/" + id;
}
std::string active(const std::string& id) {
    return "ws/active/" + id;
}
std::string chunk(const std::string& id, std::uint32_t chunk) {
    return "ws/steps/" + id + "/" + std::to_string(chunk);
}
std::string team(const std::string& name) {
    return "ws/teams/" + name;
}
std::string placer(const std::string& member) {
    return "ws/placers/" + member;
}
std::string split_shard_key(const std::string& shard, std::uint32_t part) {
    constexpr std::size_t kDigits = 5;  // so that later parts sort behind earlier ones
    std::string number = std::to_string(part);
    return unsplit_shard_key(shard) + "." + std::string(kDigits - std::min(kDigits, number.size()), '0') + number;
}
std::string unsplit_shard_key(const std::string& key) {
    return key.substr(0, key.find('.', key.rfind('/')));
}
}  // namespace keys

namespace {

// The digits at the end of a machine's name, which count up as the cloud creates them; other names are hashed.
std::uint32_t number_of(const std::string& host) {
    auto last = host.find_last_not_of("0123456789");
    std::size_t first = last == std::string::npos ? 0 : last + 1;
    std::uint32_t n = 0;
    if (first < host.size() && host.size() - first < 10) {
        std::from_chars(host.data() + first, host.data() + host.size(), n);
        return n;
    }
    for (unsigned char c : host) n = n * 31 + c;
    return n % 65536;
}

// Consecutive machines are mostly of one type: dealt out over this many ranges, each controller gets some of each. A
// number with many divisors comes out even for most counts of controllers.
constexpr std::uint32_t kDeal = 6;

}  // namespace

std::string shard_key(const std::string& host, const std::string& zone, std::uint32_t width) {
    std::uint32_t n = number_of(host);
    return "ws/hosts/" + zone + "/" + std::to_string(n / (width * kDeal) * kDeal + n % kDeal);
}

}  // namespace wellstair::state
