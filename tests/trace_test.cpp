// Replays every kept trace of tests/traces. They are meant to be read: one story each.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "trace_runner.hpp"

namespace {

std::vector<std::string> traces() {
    std::vector<std::string> out;
    for (const auto& e : std::filesystem::directory_iterator(TRACES))
        if (e.path().extension() == ".trace") out.push_back(e.path().stem().string());
    std::sort(out.begin(), out.end());
    return out;
}

class Trace : public testing::TestWithParam<std::string> {};

TEST_P(Trace, Replays) {
    std::ifstream file(std::string(TRACES) + "/" + GetParam() + ".trace");
    ASSERT_TRUE(file);
    wellstair::test::TraceRunner runner;
    std::string line, answer, command;
    int number = 0, expectations = 0;
    while (std::getline(file, line)) {
        ++number;
        if (line.empty() || line[0] == '#') continue;
        if (line[0] == '>') {
            ++expectations;
            EXPECT_EQ(line.substr(2), answer) << GetParam() << ".trace:" << number << " after: " << command;
        } else {
            command = line;
            answer = runner.run(line);
        }
    }
    EXPECT_GT(expectations, 0) << "a trace that expects nothing shows nothing";
}

INSTANTIATE_TEST_SUITE_P(Kept, Trace, testing::ValuesIn(traces()), [](const auto& p) {
    std::string name = p.param;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

}  // namespace
