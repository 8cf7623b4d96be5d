// What controllers tell one another: packed structs by hand. Peer status packets, on which safety never depends; and
// each one's answer to the other's last question, with all cancellations that it knows to be confirmed, on which it
// does (design.md).
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wellstair::peers {

inline constexpr std::uint32_t kMagic = 0x77737472;  // "wstr"
inline constexpr std::uint16_t kVersion = 4;

#pragma pack(push, 1)
struct PacketHeader {
    std::uint32_t magic = kMagic;
    std::uint16_t version = kVersion;
    std::uint8_t serving = 0;  // the sender's member key stands
    std::uint8_t unused = 0;
    std::uint32_t hosts = 0;          // HostHint entries that follow
    std::uint64_t incarnation = 0;    // of the sender
    std::uint32_t storeAgeMs = 0;     // since the state service last answered the sender
    std::uint32_t cancelled = 0;      // CancelledJob entries that follow the hosts
    std::uint64_t requestNumber = 0;  // the sender's newest
    std::uint64_t acknowledged = 0;   // the receiver's newest that the sender has heard; 0: it cannot answer now
    char member[32] = {};
};

struct UnusableHostEntry {  // one of the sender's machines that cannot take work now
    char name[31] = {};
    std::uint8_t unreachable = 0;  // its heartbeats arrive, the sender's answers do not reach it
};
struct CancelledJob {
    char id[72] = {};
};
#pragma pack(pop)

static_assert(sizeof(PacketHeader) == 76 && sizeof(UnusableHostEntry) == 32 && sizeof(CancelledJob) == 72);

struct UnusableHost {
    std::string name;
    bool unreachable = false;
    bool operator==(const UnusableHost&) const = default;
};

struct PeerStatus {
    std::string member;
    std::uint64_t incarnation = 0;
    double storeAgeS = 0;
    bool serving = false;
    std::vector<UnusableHost> unusable{};  // by name: plans ask for each machine, and a dark zone lists hundreds

    std::uint64_t requestNumber = 0, acknowledged = 0;
    std::vector<std::string> cancelled{};

    void sort() {
        std::sort(unusable.begin(), unusable.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    }
    const UnusableHost* find(const std::string& host) const {
        auto it = std::lower_bound(unusable.begin(), unusable.end(), host,
                                   [](const UnusableHost& u, const std::string& name) { return u.name < name; });
        return it != unusable.end() && it->name == host ? &*it : nullptr;
    }
    bool lists(const std::string& host) const { return find(host); }
    bool unreachable(const std::string& host) const {
        const UnusableHost* u = find(host);
        return u && u->unreachable;
    }
};

std::string pack(const PeerStatus& peerStatus);
// Length of the whole message that starts with this header; nothing if it is none of ours.
std::optional<std::size_t> packed_size(std::string_view header);
std::optional<PeerStatus> unpack(std::string_view bytes);

}  // namespace wellstair::peers
