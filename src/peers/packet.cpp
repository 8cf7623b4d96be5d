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

std::string pack(const Hint& hint) {
    HintHeader h;
    h.hosts = static_cast<std::uint32_t>(std::min(hint.unusable.size(), kMostHosts));
    h.incarnation = hint.incarnation;
    h.storeAgeMs = static_cast<std::uint32_t>(std::clamp(hint.storeAgeS * 1000, 0.0, 4e9));
    h.live = hint.live;
    h.cancelled = static_cast<std::uint32_t>(std::min(hint.cancelled.size(), kMostCancelled));
    h.question = hint.question;
    // A list that was cut short is no answer.
    h.answered = h.cancelled == hint.cancelled.size() ? hint.answered : 0;
    put_text(h.member, hint.member);
    std::string out(reinterpret_cast<const char*>(&h), sizeof h);
    for (std::size_t i = 0; i < h.hosts; ++i) {
        HostHint e;
        put_text(e.name, hint.unusable[i].name);
        e.deaf = hint.unusable[i].deaf;
        out.append(reinterpret_cast<const char*>(&e), sizeof e);
    }
    for (std::size_t i = 0; i < h.cancelled; ++i) {
        CancelledJob e;
        put_text(e.id, hint.cancelled[i]);
        out.append(reinterpret_cast<const char*>(&e), sizeof e);
    }
    return out;
}

std::optional<std::size_t> packed_size(std::string_view bytes) {
    if (bytes.size() < sizeof(HintHeader)) return std::nullopt;
    HintHeader h;
    std::memcpy(&h, bytes.data(), sizeof h);
    if (h.magic != kMagic || h.version != kVersion || h.hosts > kMostHosts || h.cancelled > kMostCancelled)
        return std::nullopt;
    return sizeof h + h.hosts * sizeof(HostHint) + h.cancelled * sizeof(CancelledJob);
}

std::optional<Hint> unpack(std::string_view bytes) {
    auto size = packed_size(bytes);
    if (!size || bytes.size() != *size) return std::nullopt;
    HintHeader h;
    std::memcpy(&h, bytes.data(), sizeof h);
    Hint hint{get_text(h.member), h.incarnation, h.storeAgeMs / 1000.0, h.live != 0, {}};
    for (std::size_t i = 0; i < h.hosts; ++i) {
        HostHint e;
        std::memcpy(&e, bytes.data() + sizeof h + i * sizeof e, sizeof e);
        hint.unusable.push_back({get_text(e.name), e.deaf != 0});
    }
    hint.question = h.question, hint.answered = h.answered;
    for (std::size_t i = 0; i < h.cancelled; ++i) {
        CancelledJob e;
        std::memcpy(&e, bytes.data() + sizeof h + h.hosts * sizeof(HostHint) + i * sizeof e, sizeof e);
        hint.cancelled.push_back(get_text(e.id));
    }
    hint.sort();  // whatever the sender did
    return hint;
}

}  // namespace wellstair::peers
