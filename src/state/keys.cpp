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
    constexpr std::size_t kDigits = 5;  // zero-padded so that keys sort in the order of the splits
    std::string number = std::to_string(part);
    return unsplit_shard_key(shard) + "." + std::string(kDigits - std::min(kDigits, number.size()), '0') + number;
}
std::string unsplit_shard_key(const std::string& key) {
    return key.substr(0, key.find('.', key.rfind('/')));
}
}  // namespace keys

namespace {

// The number at the end of a host name, which the cloud assigns consecutively. Names without one are hashed.
std::uint32_t host_number(const std::string& host) {
    constexpr std::size_t kOverflowDigits = 10;  // a number of that length may exceed 32 bits
    constexpr std::uint32_t kHashedNumbers = 65536;
    auto last = host.find_last_not_of("0123456789");
    std::size_t first = last == std::string::npos ? 0 : last + 1;
    std::uint32_t number = 0;
    if (first < host.size() && host.size() - first < kOverflowDigits) {
        std::from_chars(host.data() + first, host.data() + host.size(), number);
        return number;
    }
    for (unsigned char c : host) number = number * 31 + c;
    return number % kHashedNumbers;
}

// Consecutive hosts are mostly of one machine type, so they are interleaved over this many shards to give each
// controller some of each type. A number with many divisors distributes evenly for most controller counts.
constexpr std::uint32_t kInterleavedShards = 6;

}  // namespace

std::string shard_key(const std::string& host, const std::string& zone, std::uint32_t width) {
    const std::uint32_t number = host_number(host);
    const std::uint32_t firstShard = number / (width * kInterleavedShards) * kInterleavedShards;
    return "ws/hosts/" + zone + "/" + std::to_string(firstShard + number % kInterleavedShards);
}

}  // namespace wellstair::state
