#include "message_pack_spelling.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

namespace wellstair::test {

namespace {

constexpr unsigned char kNull = 0xc0, kFalse = 0xc2, kTrue = 0xc3, kFloat32 = 0xca, kFloat64 = 0xcb;
constexpr unsigned char kUnsigned8 = 0xcc, kSigned8 = 0xd0;  // those of 16, 32 and 64 bits follow
constexpr std::int64_t kShortIntegers = 128;
constexpr std::size_t kBitsPerByte = 8, kWidestPower = 3;

}  // namespace

std::string MessagePackSpelling::encode(const wire::Json& message) {
    bytes_.clear();
    put(message);
    return bytes_;
}

std::size_t MessagePackSpelling::below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

void MessagePackSpelling::put_big_endian(std::uint64_t value, std::size_t bytes) {
    for (std::size_t i = bytes; i > 0; --i) bytes_ += static_cast<char>(value >> (kBitsPerByte * (i - 1)));
}

void MessagePackSpelling::put_length(std::size_t length, const Lengths& lengths) {
    std::size_t narrowest = 0, bytes = lengths.narrowestBytes;
    while (bytes < sizeof(std::uint32_t) && length >> (kBitsPerByte * bytes)) ++narrowest, bytes *= 2;
    const bool fitsShort = length < lengths.shortLimit;
    const std::size_t wide = lengths.prefixes.size() - narrowest;
    const std::size_t choice = below(wide + fitsShort);
    if (choice == wide) {
        bytes_ += static_cast<char>(lengths.shortForm | length);
        return;
    }
    bytes_ += static_cast<char>(lengths.prefixes[narrowest + choice]);
    put_big_endian(length, bytes << choice);
}

void MessagePackSpelling::put(const wire::Json& value) {
    if (value.is_null()) bytes_ += static_cast<char>(kNull);
    if (value.is_boolean()) bytes_ += static_cast<char>(value.get<bool>() ? kTrue : kFalse);
    if (value.is_number()) put_number(value);
    if (value.is_string()) put_text(value.get<std::string>());
    if (value.is_object()) put_map(value);
    if (!value.is_array()) return;
    put_length(value.size(), {0x90, 16, {0xdc, 0xdd}, sizeof(std::uint16_t)});
    for (const wire::Json& entry : value) put(entry);
}

void MessagePackSpelling::put_text(const std::string& text) {
    put_length(text.size(), {0xa0, 32, {0xd9, 0xda, 0xdb}, sizeof(std::uint8_t)});
    bytes_ += text;
}

void MessagePackSpelling::put_map(const wire::Json& map) {
    std::vector<std::string> fields;
    for (const auto& [field, value] : map.items()) fields.push_back(field);
    std::shuffle(fields.begin(), fields.end(), random_);
    put_length(fields.size(), {0x80, 16, {0xde, 0xdf}, sizeof(std::uint16_t)});
    for (const std::string& field : fields) {
        put_text(field);
        put(map[field]);
    }
}

void MessagePackSpelling::put_number(const wire::Json& number) {
    const double decimal = number.get<double>();
    const bool whole = std::trunc(decimal) == decimal && std::abs(decimal) < 1e15;
    if (number.is_number_integer() && (kinds_ != NumberKinds::any || below(2)))
        put_integer(number.get<std::int64_t>());
    else if (number.is_number_float() && kinds_ != NumberKinds::as_given && whole && below(2))
        put_integer(static_cast<std::int64_t>(decimal));
    else
        put_decimal(decimal);
}

void MessagePackSpelling::put_integer(std::int64_t value) {
    const bool isSigned = value < 0 || below(2);
    std::size_t narrowest = 0;
    for (std::size_t bits = kBitsPerByte; bits < 64; bits *= 2) {
        const std::int64_t limit = std::int64_t{1} << (bits - (isSigned ? 1 : 0));
        if (value < limit && value >= -limit) break;
        ++narrowest;
    }
    if (value >= 0 && value < kShortIntegers && below(3) == 0) {
        bytes_ += static_cast<char>(value);
        return;
    }
    const std::size_t power = narrowest + below(kWidestPower - narrowest + 1);
    bytes_ += static_cast<char>((isSigned ? kSigned8 : kUnsigned8) + power);
    put_big_endian(static_cast<std::uint64_t>(value), std::size_t{1} << power);
}

void MessagePackSpelling::put_decimal(double value) {
    const auto narrow = static_cast<float>(value);
    if (static_cast<double>(narrow) == value && below(2)) {
        std::uint32_t bits = 0;
        std::memcpy(&bits, &narrow, sizeof bits);
        bytes_ += static_cast<char>(kFloat32);
        put_big_endian(bits, sizeof bits);
        return;
    }
    std::uint64_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    bytes_ += static_cast<char>(kFloat64);
    put_big_endian(bits, sizeof bits);
}

}  // namespace wellstair::test
