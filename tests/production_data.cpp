#include "production_data.hpp"

#include <fstream>
#include <stdexcept>

namespace wellstair::test {

namespace {

std::ifstream open_data(const std::string& name) {
    std::ifstream file(std::string(DATA) + "/" + name);
    if (!file) throw std::runtime_error("cannot open test data file tests/data/" + name);
    return file;
}

}  // namespace

std::vector<InMemoryStateStore::Change> production_state() {
    std::ifstream file = open_data("production-state.jsonl");
    std::vector<InMemoryStateStore::Change> changes;
    std::string line;
    while (std::getline(file, line)) {
        wire::Json change = wire::Json::parse(line);
        std::optional<wire::Json> data;
        if (change.contains("data")) data = change["data"];
        changes.push_back({change["path"], std::move(data), change["stamp"]});
    }
    return changes;
}

std::string production_packet() {
    std::ifstream file = open_data("production-packet.hex");
    std::string hex, bytes;
    file >> hex;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return bytes;
}

void load_production_state(InMemoryStateStore& store) {
    const auto changes = production_state();
    for (std::size_t i = 0; i < changes.size();) {
        wire::Json operations = wire::Json::array();
        const std::uint64_t revision = changes[i].revision;
        for (; i < changes.size() && changes[i].revision == revision; ++i) {
            if (changes[i].data)
                operations.push_back({{"set", changes[i].path}, {"data", *changes[i].data}});
            else
                operations.push_back({{"remove", changes[i].path}});
        }
        wire::Json transaction;
        transaction["when"] = wire::Json::array();
        transaction["apply"] = std::move(operations);
        store.commit(transaction);
    }
}

}  // namespace wellstair::test
