// MessagePack spellings of one message: the fields in any order, each number in any encoding that holds its value, each
// text, list and map with a length field of any width.
//
// Owns only its random numbers. Single-threaded test support.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "wire/codec.hpp"

namespace wellstair::test {

// Which numbers are spelled in the other kind, integers as decimals and the other way round.
enum class NumberKinds { as_given, decimals_as_integers, any };

class MessagePackSpelling {
  public:
    MessagePackSpelling(unsigned seed, NumberKinds kinds) : random_(seed), kinds_(kinds) {}

    // Encodes the message in a spelling drawn at random. It must hold no binary data.
    std::string encode(const wire::Json& message);

  private:
    // The first byte of each encoding of a kind, narrowest first, and the length up to which the short form can be
    // used.
    struct Lengths {
        unsigned char shortForm;
        std::size_t shortLimit;
        std::vector<unsigned char> prefixes;
        std::size_t narrowestBytes;
    };

    std::size_t below(std::size_t bound);
    void put_big_endian(std::uint64_t value, std::size_t bytes);
    void put_length(std::size_t length, const Lengths& lengths);
    void put(const wire::Json& value);
    void put_text(const std::string& text);
    void put_map(const wire::Json& map);
    void put_number(const wire::Json& number);
    void put_integer(std::int64_t value);
    void put_decimal(double value);

    std::mt19937 random_;
    NumberKinds kinds_;
    std::string bytes_;
};

}  // namespace wellstair::test
