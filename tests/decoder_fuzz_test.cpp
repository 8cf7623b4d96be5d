// Random and changed bytes through every decoder of messages from outside. Guards against bytes that make a decoder
// throw, read past their end, or accept what it cannot encode again. Runs for WELLSTAIR_FUZZ_SECONDS with
// WELLSTAIR_FUZZ_SEED.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <random>

#include "fuzz_settings.hpp"
#include "peers/packet.hpp"
#include "wire/messages.hpp"

namespace wellstair::test {
namespace {

using wire::Json;

Json job_body() {
    return {{"ref", "j-1"},    {"lane", "train"},  {"crew", "red"},     {"shape", "gang"},  {"rank", "urgent"},
            {"steps", 2},      {"cores", 1.0},     {"gpus", 0.0},       {"ramGb", 4.0},     {"bundle", "img-07"},
            {"imageGb", 1.5},  {"builds", {"c8"}}, {"hall", "a"},       {"together", true}, {"scatter", false},
            {"loaners", true}, {"expectS", 60.0},  {"snapshotS", 10.0}, {"flushS", 1.0},    {"dueS", 900.0}};
}

Json heartbeat_body() {
    const Json running = {{"step", "j-1/0"}, {"try", 1}, {"phase", "running"}};
    const Json ended = {{"step", "j-2/7"}, {"try", 3}, {"phase", "ended"}, {"cause", "halted"}, {"kept", true}};
    return {{"host", "n-1"},    {"address", "127.0.0.1:1"},
            {"build", "c8"},    {"hall", "a"},
            {"loaners", true},  {"tenure", 2},
            {"tick", 88},       {"baton", 41},
            {"reclaimS", 30.0}, {"steps", {running, ended}}};
}

Json machine_type_body() {
    return {{"sku", "g8"},        {"cores", 96},  {"gpus", 8},       {"ramGb", 768},   {"cacheGb", 200},
            {"fetchGbPerS", 1.0}, {"rate", 12.0}, {"lowPrice", 4.5}, {"startupS", 45}, {"halls", {"a", "b"}}};
}

Json machine_body() {
    return {{"ref", "n-1"},    {"address", "10.1.0.1:9"}, {"build", "g8"}, {"hall", "a"},
            {"loaners", true}, {"phase", "running"},      {"heldS", 61.5}};
}

// The messages from which inputs are made.
std::vector<std::string> messages() {
    const peers::PeerStatus status{"b", 7, 0.5, true, {{"n-1", false}, {"n-2", true}}, 3, 2, {"j-1", "j-2"}};
    return {wire::encode(job_body()), wire::encode(heartbeat_body()), wire::encode(machine_type_body()),
            wire::encode(machine_body()), peers::pack(status)};
}

class Inputs {
  public:
    explicit Inputs(unsigned seed) : random_(seed) {}

    std::string draw() {
        std::string bytes = messages_[below(messages_.size())];
        if (below(8) == 0) bytes = messages_[below(messages_.size())].substr(0, below(40)) + bytes.substr(below(40));
        for (std::size_t changes = below(6); changes > 0; --changes) change(bytes);
        return bytes;
    }

  private:
    std::size_t below(std::size_t bound) { return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_); }
    void change(std::string& bytes) {
        if (bytes.empty()) return;
        const std::size_t at = below(bytes.size());
        switch (below(4)) {
            case 0:
                bytes.erase(at, 1 + below(8));
                break;
            case 1:
                bytes.insert(at, 1 + below(4), static_cast<char>(below(256)));
                break;
            case 2:
                bytes.resize(at);
                break;
            default:
                bytes[at] = static_cast<char>(below(256));
        }
    }

    std::mt19937 random_;
    const std::vector<std::string> messages_ = messages();
};

struct Counts {
    std::size_t inputs = 0, decoded = 0, jobs = 0, heartbeats = 0, packets = 0;
};

void decode_as_every_message(const std::string& bytes, Counts& counts) {
    ++counts.inputs;
    if (const auto packet = peers::unpack(bytes)) {
        ++counts.packets;
        EXPECT_EQ(peers::unpack(peers::pack(*packet))->member, packet->member);
    }
    (void)peers::packed_size(bytes);
    const auto body = wire::decode(bytes);
    if (!body) return;
    ++counts.decoded;
    const auto job = wire::parse_job(*body);
    if (const auto* spec = std::get_if<wire::JobSpec>(&job)) {
        ++counts.jobs;
        const Json stored = to_json(*spec);
        EXPECT_TRUE(std::holds_alternative<wire::JobSpec>(wire::parse_job(stored))) << wire::to_text(stored);
        EXPECT_NO_THROW((void)stored.dump());
    }
    counts.heartbeats += wire::parse_heartbeat(*body).has_value();
    (void)wire::parse_machine(*body);
    if (const auto type = wire::parse_machine_type(*body)) {
        EXPECT_NO_THROW((void)to_json(*type).dump());
    }
}

TEST(DecoderFuzz, BytesAreDecodedOrRejected) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(fuzz_seconds());
    Inputs inputs(fuzz_seed());
    Counts counts;
    while (std::chrono::steady_clock::now() < end && !testing::Test::HasFailure())
        decode_as_every_message(inputs.draw(), counts);
    std::printf("%zu inputs: %zu decoded, %zu jobs, %zu heartbeats, %zu packets\n", counts.inputs, counts.decoded,
                counts.jobs, counts.heartbeats, counts.packets);
    EXPECT_GT(counts.jobs, 0u);
    EXPECT_GT(counts.heartbeats, 0u);
    EXPECT_GT(counts.packets, 0u);
}

}  // namespace
}  // namespace wellstair::test
