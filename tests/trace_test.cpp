// Replays every trace in tests/traces. Each trace is one scenario, written to be read.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "trace_runner.hpp"

namespace {

std::vector<std::string> trace_names() {
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(TRACES))
        if (entry.path().extension() == ".trace") names.push_back(entry.path().stem().string());
    std::sort(names.begin(), names.end());
    return names;
}

class Trace : public testing::TestWithParam<std::string> {};

TEST_P(Trace, Replays) {
    std::ifstream file(std::string(TRACES) + "/" + GetParam() + ".trace");
    ASSERT_TRUE(file);
    wellstair::test::TraceRunner runner;
    std::string line, result, command;
    int lineNumber = 0, expectations = 0;
    while (std::getline(file, line)) {
        ++lineNumber;
        if (line.empty() || line[0] == '#') continue;
        if (line[0] == '>') {
            ++expectations;
            EXPECT_EQ(line.substr(2), result) << GetParam() << ".trace:" << lineNumber << " after: " << command;
        } else {
            command = line;
            result = runner.run(line);
        }
    }
    EXPECT_GT(expectations, 0) << "the trace has no expected results: add at least one line that starts with '>'";
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Trace, testing::ValuesIn(trace_names()), [](const auto& info) {
    std::string name = info.param;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
});

}  // namespace
