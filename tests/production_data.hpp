// Production's kept records, see data/README.md.
#pragma once

#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "in_memory_state_store.hpp"

namespace wellstair::test {

inline std::vector<InMemoryStateStore::Change> production_state() {
    std::ifstream file(std::string(DATA) + "/production-state.jsonl");
    if (!file) throw std::runtime_error("no kept state");
    std::vector<InMemoryStateStore::Change> out;
    std::string line;
    while (std::getline(file, line)) {
        wire::Json change = wire::Json::parse(line);
        std::optional<wire::Json> data;
        if (change.contains("data")) data = change["data"];
        out.push_back({change["path"], std::move(data), change["stamp"]});
    }
    return out;
}

inline std::string production_packet() {
    std::ifstream file(std::string(DATA) + "/production-packet.hex");
    std::string hex, bytes;
    file >> hex;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return bytes;
}

// Plays production's writes into a store, one transaction for each revision.
inline void load_production_state(InMemoryStateStore& store) {
    auto changes = production_state();
    for (std::size_t i = 0; i < changes.size();) {
        wire::Json apply = wire::Json::array();
        const std::uint64_t revision = changes[i].revision;
        for (; i < changes.size() && changes[i].revision == revision; ++i) {
            if (changes[i].data)
                apply.push_back({{"set", changes[i].path}, {"data", *changes[i].data}});
            else
                apply.push_back({{"remove", changes[i].path}});
        }
        wire::Json transaction;
        transaction["when"] = wire::Json::array();
        transaction["apply"] = std::move(apply);
        store.commit(transaction);
    }
}

}  // namespace wellstair::test
