// Writes production's record of the story; how to run it is said in README.md beside this file.
#include <fstream>
#include <iostream>

#include "stored_story.hpp"

using namespace wellstair;

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: make_production_data FOLDER\n";
        return 2;
    }
    const std::string folder = argv[1];
    // As production's service registers a process (src/controller/service.cpp, `registration`).
    auto member = [](const controller::Core& core, const config::Settings& settings) -> wire::Json {
        return {{"inc", core.incarnation()}, {"zone", settings.location}};
    };
    test::StoredStory story(test::site_settings(), member);
    std::ofstream state(folder + "/production-state.jsonl");
    for (const auto& change : story.tell()) {
        wire::Json line = {{"path", change.path}, {"stamp", change.revision}};
        if (change.data) line["data"] = *change.data;
        state << line.dump() << "\n";
    }
    std::ofstream packet(folder + "/production-packet.hex");
    static const char* digits = "0123456789abcdef";
    for (unsigned char byte : peers::pack(test::StoredStory::peerStatus()))
        packet << digits[byte >> 4] << digits[byte & 15];
    packet << "\n";
    return 0;
}
