// Status packets that controllers send to one another: packed structs in native byte order (x86-64).
//
// Safety never depends on a packet's status fields, which are hints for planning. It does depend on the
// acknowledgement: the answer to the receiver's last request, with all cancellations that the sender knows to be
// confirmed (docs/design.md). Pure functions, safe to call from any thread; invalid bytes give std::nullopt.
//
// Layout: PacketHeader, then `unusableCount` times UnusableHostEntry, then `cancelledCount` times CancelledJob. Texts
// end at the first zero byte or at the end of their field.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wellstair::peers {

inline constexpr std::uint32_t kPacketMagic = 0x77737472;  // "wstr"
inline constexpr std::uint16_t kPacketVersion = 4;

#pragma pack(push, 1)
struct PacketHeader {
    std::uint32_t magic = kPacketMagic;
    std::uint16_t version = kPacketVersion;
    std::uint8_t serving = 0;  // 1: the sender's member key in the state service exists
    std::uint8_t unused = 0;
    std::uint32_t unusableCount = 0;      // UnusableHostEntry entries that follow
    std::uint64_t incarnation = 0;        // of the sender's process
    std::uint32_t storeContactAgeMs = 0;  // milliseconds since the state service last answered the sender
    std::uint32_t cancelledCount = 0;     // CancelledJob entries that follow the hosts
    std::uint64_t requestNumber = 0;      // the sender's newest request for an acknowledgement
    std::uint64_t acknowledged = 0;  // the newest request of the receiver that the sender got; 0: cannot answer now
    char member[32] = {};            // the sender's name
};

// One of the sender's machines that cannot take work now.
struct UnusableHostEntry {
    char name[31] = {};
    std::uint8_t unreachable = 0;  // 1: its heartbeats arrive, but the sender's answers do not reach it
};

// A job whose cancellation was confirmed to its user.
struct CancelledJob {
    char id[72] = {};
};
#pragma pack(pop)

static_assert(sizeof(PacketHeader) == 76 && sizeof(UnusableHostEntry) == 32 && sizeof(CancelledJob) == 72);

// A machine that cannot take work now.
struct UnusableHost {
    std::string name;
    bool unreachable = false;  // its heartbeats arrive, but answers do not reach it
    bool operator==(const UnusableHost&) const = default;
};

// The decoded content of a packet.
struct PeerStatus {
    std::string member;             // the sender's name
    std::uint64_t incarnation = 0;  // of the sender's process
    double storeContactAgeS = 0;    // seconds since the state service last answered the sender
    bool serving = false;           // its member key in the state service exists
    // Sorted by name: plans look up each machine, and a failed zone lists hundreds.
    std::vector<UnusableHost> unusable{};

    std::uint64_t requestNumber = 0;       // the sender's newest request for an acknowledgement
    std::uint64_t acknowledged = 0;        // the newest request of the receiver that the sender got; 0: none
    std::vector<std::string> cancelled{};  // ids of jobs whose cancellation is confirmed

    // Sorts `unusable` by name, as `find`, `is_unusable` and `unreachable` require.
    void sort() {
        std::sort(unusable.begin(), unusable.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    }
    // Null if the sender does not report the host as unusable.
    const UnusableHost* find(const std::string& host) const {
        auto it =
            std::lower_bound(unusable.begin(), unusable.end(), host,
                             [](const UnusableHost& entry, const std::string& name) { return entry.name < name; });
        return it != unusable.end() && it->name == host ? &*it : nullptr;
    }
    bool is_unusable(const std::string& host) const { return find(host); }
    // Whether the host's heartbeats arrive while answers do not reach it.
    bool unreachable(const std::string& host) const {
        const UnusableHost* entry = find(host);
        return entry && entry->unreachable;
    }
};

// Encodes the status. Lists and names that exceed the format's limits are truncated; a packet with a truncated list of
// cancellations acknowledges nothing.
std::string pack(const PeerStatus& peerStatus);
// Length in bytes of the whole packet that starts with this header; std::nullopt if it is no header of this version.
std::optional<std::size_t> packed_size(std::string_view header);
// std::nullopt unless the bytes are exactly one packet. `unusable` is sorted, whatever order the sender used.
std::optional<PeerStatus> unpack(std::string_view bytes);

}  // namespace wellstair::peers
