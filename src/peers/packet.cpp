#include "peers/packet.hpp"

#include <algorithm>

namespace wellstair::peers {
namespace {

// Bounds on the memory that a received header can claim, far above the number of machines that a controller has sockets
// for.
constexpr std::size_t kMaxHosts = 65536;
constexpr std::size_t kMaxCancelled = 65536;

constexpr double kMsPerS = 1000;
constexpr double kMaxStoreContactAgeMs = 4e9;  // fits the 32 bits of the field

// Truncates the text to the field; the last byte stays zero.
template <std::size_t N>
void put_text(char (&field)[N], const std::string& text) {
    std::memcpy(field, text.data(), std::min(N - 1, text.size()));
}

template <std::size_t N>
std::string get_text(const char (&field)[N]) {
    return std::string(field, strnlen(field, N));
}

template <class Struct>
void append(std::string& bytes, const Struct& entry) {
    bytes.append(reinterpret_cast<const char*>(&entry), sizeof entry);
}

// Removes a struct from the front of the bytes, which must be long enough, and returns it.
template <class Struct>
Struct take(std::string_view& bytes) {
    Struct entry;
    std::memcpy(&entry, bytes.data(), sizeof entry);
    bytes.remove_prefix(sizeof entry);
    return entry;
}

PacketHeader header_of(const PeerStatus& status) {
    PacketHeader header;
    header.unusableCount = static_cast<std::uint32_t>(std::min(status.unusable.size(), kMaxHosts));
    header.incarnation = status.incarnation;
    header.storeContactAgeMs =
        static_cast<std::uint32_t>(std::clamp(status.storeContactAgeS * kMsPerS, 0.0, kMaxStoreContactAgeMs));
    header.serving = status.serving;
    header.cancelledCount = static_cast<std::uint32_t>(std::min(status.cancelled.size(), kMaxCancelled));
    header.requestNumber = status.requestNumber;
    // With a truncated list of cancellations the packet must not acknowledge the receiver's request.
    const bool complete = header.cancelledCount == status.cancelled.size();
    header.acknowledged = complete ? status.acknowledged : 0;
    put_text(header.member, status.member);
    return header;
}

}  // namespace

std::string pack(const PeerStatus& peerStatus) {
    const PacketHeader header = header_of(peerStatus);
    std::string bytes;
    append(bytes, header);
    for (std::size_t i = 0; i < header.unusableCount; ++i) {
        UnusableHostEntry entry;
        put_text(entry.name, peerStatus.unusable[i].name);
        entry.unreachable = peerStatus.unusable[i].unreachable;
        append(bytes, entry);
    }
    for (std::size_t i = 0; i < header.cancelledCount; ++i) {
        CancelledJob entry;
        put_text(entry.id, peerStatus.cancelled[i]);
        append(bytes, entry);
    }
    return bytes;
}

std::optional<std::size_t> packed_size(std::string_view bytes) {
    if (bytes.size() < sizeof(PacketHeader)) return std::nullopt;
    const auto header = take<PacketHeader>(bytes);
    if (header.magic != kPacketMagic || header.version != kPacketVersion) return std::nullopt;
    if (header.unusableCount > kMaxHosts || header.cancelledCount > kMaxCancelled) return std::nullopt;
    return sizeof header + header.unusableCount * sizeof(UnusableHostEntry) +
           header.cancelledCount * sizeof(CancelledJob);
}

std::optional<PeerStatus> unpack(std::string_view bytes) {
    auto size = packed_size(bytes);
    if (!size || bytes.size() != *size) return std::nullopt;
    const auto header = take<PacketHeader>(bytes);
    PeerStatus status;
    status.member = get_text(header.member);
    status.incarnation = header.incarnation;
    status.storeContactAgeS = header.storeContactAgeMs / kMsPerS;
    status.serving = header.serving != 0;
    status.requestNumber = header.requestNumber;
    status.acknowledged = header.acknowledged;
    for (std::size_t i = 0; i < header.unusableCount; ++i) {
        const auto entry = take<UnusableHostEntry>(bytes);
        status.unusable.push_back({get_text(entry.name), entry.unreachable != 0});
    }
    for (std::size_t i = 0; i < header.cancelledCount; ++i)
        status.cancelled.push_back(get_text(take<CancelledJob>(bytes).id));
    status.sort();
    return status;
}

}  // namespace wellstair::peers
