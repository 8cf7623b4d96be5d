#include "peers/packet.hpp"

#include <algorithm>

namespace wellstair::peers {
namespace {

// Bounds what a packet can ask to be read: a controller keeps fewer machines by far than its sockets would allow.
constexpr std::size_t kMostHosts = 65536, kMostCancelled = 65536;

template <std::size_t N>
void put_text(char (&to)[N], const std::string& from) {
    std::memcpy(to, from.data(), std::min(N - 1, from.size()));
}

template <std::size_t N>
std::string get_text(const char (&from)[N]) {
    return std::string(from, strnlen(from, N));
}

}  // namespace

std::string pack(const PeerStatus& peerStatus) {
    PacketHeader h;
    h.hosts = static_cast<std::uint32_t>(std::min(peerStatus.unusable.size(), kMostHosts));
    h.incarnation = peerStatus.incarnation;
    h.storeAgeMs = static_cast<std::uint32_t>(std::clamp(peerStatus.storeAgeS * 1000, 0.0, 4e9));
    h.serving = peerStatus.serving;
    h.cancelled = static_cast<std::uint32_t>(std::min(peerStatus.cancelled.size(), kMostCancelled));
    h.requestNumber = peerStatus.requestNumber;
    // A list that was cut short is no answer.
    h.acknowledged = h.cancelled == peerStatus.cancelled.size() ? peerStatus.acknowledged : 0;
    put_text(h.member, peerStatus.member);
    std::string out(reinterpret_cast<const char*>(&h), sizeof h);
    for (std::size_t i = 0; i < h.hosts; ++i) {
        UnusableHostEntry e;
        put_text(e.name, peerStatus.unusable[i].name);
        e.unreachable = peerStatus.unusable[i].unreachable;
        out.append(reinterpret_cast<const char*>(&e), sizeof e);
    }
    for (std::size_t i = 0; i < h.cancelled; ++i) {
        CancelledJob e;
        put_text(e.id, peerStatus.cancelled[i]);
        out.append(reinterpret_cast<const char*>(&e), sizeof e);
    }
    return out;
}

std::optional<std::size_t> packed_size(std::string_view bytes) {
    if (bytes.size() < sizeof(PacketHeader)) return std::nullopt;
    PacketHeader h;
    std::memcpy(&h, bytes.data(), sizeof h);
    if (h.magic != kMagic || h.version != kVersion || h.hosts > kMostHosts || h.cancelled > kMostCancelled)
        return std::nullopt;
    return sizeof h + h.hosts * sizeof(UnusableHostEntry) + h.cancelled * sizeof(CancelledJob);
}

std::optional<PeerStatus> unpack(std::string_view bytes) {
    auto size = packed_size(bytes);
    if (!size || bytes.size() != *size) return std::nullopt;
    PacketHeader h;
    std::memcpy(&h, bytes.data(), sizeof h);
    PeerStatus peerStatus{get_text(h.member), h.incarnation, h.storeAgeMs / 1000.0, h.serving != 0, {}};
    for (std::size_t i = 0; i < h.hosts; ++i) {
        UnusableHostEntry e;
        std::memcpy(&e, bytes.data() + sizeof h + i * sizeof e, sizeof e);
        peerStatus.unusable.push_back({get_text(e.name), e.unreachable != 0});
    }
    peerStatus.requestNumber = h.requestNumber, peerStatus.acknowledged = h.acknowledged;
    for (std::size_t i = 0; i < h.cancelled; ++i) {
        CancelledJob e;
        std::memcpy(&e, bytes.data() + sizeof h + h.hosts * sizeof(UnusableHostEntry) + i * sizeof e, sizeof e);
        peerStatus.cancelled.push_back(get_text(e.id));
    }
    peerStatus.sort();  // whatever the sender did
    return peerStatus;
}

}  // namespace wellstair::peers
