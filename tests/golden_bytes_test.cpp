// Compares encoded messages and stored records with the bytes that version fbb9d89 wrote
// (tests/data/golden-bytes.txt). Guards against renamed or retyped fields, which other versions could not read.
#include <gtest/gtest.h>

#include <fstream>
#include <map>

#include "peers/packet.hpp"
#include "state/records.hpp"
#include "state/state_cache.hpp"
#include "wire/messages.hpp"

namespace wellstair {
namespace {

using wire::Json;

// Looks up the expected bytes by name. Messages are compared as JSON text, for readable failures, and as hexadecimal
// MessagePack, the form that is sent.
class GoldenBytes : public testing::Test {
  protected:
    static std::map<std::string, std::string> read_expected() {
        std::ifstream file(std::string(DATA) + "/golden-bytes.txt");
        std::map<std::string, std::string> expected;
        std::string line;
        while (std::getline(file, line)) expected[line.substr(0, line.find(' '))] = line.substr(line.find(' ') + 1);
        return expected;
    }

    static std::string hex(const std::string& bytes) {
        static constexpr char kDigits[] = "0123456789abcdef";
        std::string digits;
        for (unsigned char c : bytes) digits += {kDigits[c / 16], kDigits[c % 16]};
        return digits;
    }

    void check(const std::string& name, const std::string& bytes) {
        auto entry = expected_.find(name);
        ASSERT_NE(entry, expected_.end()) << name << " " << bytes;
        EXPECT_EQ(bytes, entry->second) << name;
    }

    void check(const std::string& name, const Json& message) {
        check(name + ".json", message.dump());
        check(name + ".msgpack", hex(wire::encode(message)));
    }

    std::map<std::string, std::string> expected_ = read_expected();
};

Json job_body(const char* kind, const char* priority) {
    return {{"ref", "j-000412"}, {"lane", "train"},    {"crew", "vision"}, {"shape", kind},
            {"rank", priority},  {"steps", 16},        {"cores", 8.0},     {"gpus", 1.0},
            {"ramGb", 64.0},     {"bundle", "img-07"}, {"imageGb", 6.2},   {"builds", {"g8", "c8"}},
            {"hall", "a"},       {"together", true},   {"scatter", false}, {"loaners", true},
            {"expectS", 240.0},  {"snapshotS", 30.0},  {"flushS", 4.0},    {"dueS", 900.0}};
}

TEST_F(GoldenBytes, Jobs) {
    for (const char* kind : {"batch", "gang", "service"})
        for (const char* priority : {"production", "urgent", "standard", "best_effort"}) {
            auto spec = std::get<wire::JobSpec>(wire::parse_job(job_body(kind, priority)));
            check(std::string("job-") + kind + "-" + priority, to_json(spec));
        }
    Json minimal = job_body("batch", "standard");
    for (const char* key : {"builds", "hall", "dueS"}) minimal.erase(key);
    minimal["together"] = false, minimal["scatter"] = true, minimal["loaners"] = false;
    check("job-least", to_json(std::get<wire::JobSpec>(wire::parse_job(minimal))));
}

TEST_F(GoldenBytes, Commands) {
    std::vector<wire::Command> commands(3);
    commands[0].type = wire::CommandType::start, commands[0].job = "j-000412", commands[0].index = 4,
    commands[0].attempt = 2;
    commands[1].type = wire::CommandType::stop, commands[1].job = "j-000377", commands[1].index = 1,
    commands[1].attempt = 1;
    commands[1].gracePeriodS = 10;
    commands[2].type = wire::CommandType::acknowledge, commands[2].job = "j-000398", commands[2].attempt = 1;
    check("orders", to_json(commands));
}

TEST_F(GoldenBytes, MachineTypes) {
    wire::MachineType type;
    type.typeName = "g8", type.cores = 8, type.gpus = 2, type.ramGb = 32, type.cacheGb = 50, type.fetchGbPerS = 0.5;
    type.price = 9.25, type.spotPrice = 3.5, type.startupS = 20, type.zones = {"a", "b"};
    check("machine-type", to_json(type));
    check("machine-type-read", to_json(*wire::parse_machine_type(to_json(type))));
}

// Parsed fields of a heartbeat and of an entry of the cloud's machine list.
TEST_F(GoldenBytes, HeartbeatsAndMachines) {
    Json body = {{"host", "n-000231"}, {"address", "10.1.0.232:9000"},
                 {"build", "g8"},      {"hall", "a"},
                 {"loaners", true},    {"tenure", 3},
                 {"tick", 88},         {"baton", 41},
                 {"reclaimS", 12.5},   {"steps", Json::array()}};
    for (const char* phase : {"pulling", "waiting", "running", "flushing"})
        body["steps"].push_back({{"step", "j-000412/3"}, {"try", 2}, {"phase", phase}});
    for (const char* cause : {"done", "halted", "peers", "incomplete", "error", "full", "busy", "unknown"})
        body["steps"].push_back(
            {{"step", "j-000398/0"}, {"try", 1}, {"phase", "ended"}, {"cause", cause}, {"kept", true}});
    auto heartbeat = wire::parse_heartbeat(body);
    ASSERT_TRUE(heartbeat);
    std::string fields = heartbeat->host + " " + heartbeat->address + " " + heartbeat->machineType + " " +
                         heartbeat->zone + " " + (heartbeat->spot ? "y" : "n") + " " +
                         std::to_string(heartbeat->agentEpoch) + " " + std::to_string(heartbeat->sequence) + " " +
                         std::to_string(heartbeat->fencingToken) + " " + std::to_string(*heartbeat->preemptionNoticeS);
    for (const wire::TaskStatus& task : heartbeat->tasks)
        fields += " " + task.job + "/" + std::to_string(task.index) + "#" + std::to_string(task.attempt) + ":" +
                  std::to_string(static_cast<int>(task.phase)) + std::to_string(static_cast<int>(task.cause)) +
                  (task.checkpointed ? "y" : "n");
    check("report-read", fields);

    auto machine = wire::parse_machine({{"ref", "n-000231"},
                                        {"build", "g8"},
                                        {"hall", "a"},
                                        {"phase", "running"},
                                        {"address", "10.1.0.232:9000"},
                                        {"loaners", true},
                                        {"heldS", 7.5}});
    ASSERT_TRUE(machine);
    check("machine-read", machine->name + " " + machine->machineType + " " + machine->zone + " " + machine->phase +
                              " " + machine->address + " " + (machine->spot ? "y" : "n") + " " +
                              std::to_string(machine->ageS));
}

TEST_F(GoldenBytes, Records) {
    check("member", state::MemberData{0x1234567890abcdefull, "a", 2}.encode());
    check("member-without-layout", state::MemberData{17, "a", 0}.encode());
    check("layout", state::LayoutRecord{2, 26, 102}.encode());
    check("active", state::ActiveRecord{"stairhost-1", std::nullopt, false, 0}.encode());
    check("active-stopped", state::ActiveRecord{"stairhost-1", 3, false, 0}.encode());
    check("active-cancelled", state::ActiveRecord{"stairhost-1", std::nullopt, true, 1'000'300}.encode());
    check("team-parts", state::encode_quota_shares({{"a", {8000, 1000}}, {"b", {250, 0}}}));

    state::HostEntry active, leaving, gone;
    active.name = "n-000001", active.leader = "a", active.address = "10.1.0.1:9000", active.machineType = "c8";
    active.incarnation = 21, active.fencingToken = 41, active.spot = true;
    leaving = active;
    leaving.name = "n-000002", leaving.returnState = state::ReturnState::marked, leaving.returnStateAtS = 1'000'300;
    gone.name = "n-000003", gone.returnState = state::ReturnState::gone, gone.returnStateAtS = 5;
    check("range", state::encode_shard({active, leaving, gone}));
    check("range-read", state::encode_shard(state::decode_shard(state::encode_shard({active, leaving, gone}))));

    state::ChunkRecord chunk;
    chunk.done = {{0, 3}, {7, 7}};
    chunk.entries = {{4, 2, "n-000001", 41, 1'000'300, "a"}, {5, 3, "", 0, 0, ""}};
    check("chunk", chunk.encode());
    check("chunk-read", state::ChunkRecord::decode(chunk.encode()).encode());
}

TEST_F(GoldenBytes, Keys) {
    namespace keys = state::keys;
    check("keys", keys::member("a") + " " + keys::job("j-1") + " " + keys::active("j-1") + " " + keys::chunk("j-1", 2) +
                      " " + keys::team("red") + " " + keys::placer("a") + " " + keys::kCloudRole + " " +
                      keys::kMachineTypes + " " + keys::kLayout + " " + keys::split_shard_key("ws/hosts/a/3", 4) + " " +
                      state::shard_key("n-000231", "a", 102));
}

TEST_F(GoldenBytes, PeerPackets) {
    peers::PeerStatus peerStatus{
        "stairhost-1", 0x1234567890abcdefull, 1.25, true, {{"n-000001", false}, {"n-000017", true}}};
    peerStatus.requestNumber = 0xfedcba9876543210ull, peerStatus.acknowledged = 17,
    peerStatus.cancelled = {"j-000412", "j-000413"};
    check("peer-packet", hex(pack(peerStatus)));
    peerStatus.serving = false, peerStatus.unusable.clear(), peerStatus.cancelled.clear();
    check("peer-packet-empty", hex(pack(peerStatus)));
}

}  // namespace
}  // namespace wellstair
