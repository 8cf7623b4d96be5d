#include "simulation/simulated_network.hpp"

#include "simulation/scenario.hpp"

namespace wellstair::test {

namespace {

constexpr double kLongestDelayS = 2;

}  // namespace

double SimulatedNetwork::next_delay(double nowS) {
    const bool slow = random_.chance(slowMessages_);
    return slow && nowS < kFaultsUntilS ? random_.between(kStepS, kLongestDelayS) : 0;
}

void SimulatedNetwork::send(double nowS, double delayS, std::function<void()> arrival) {
    if (delayS <= 0)
        arrival();
    else
        underWay_.emplace(nowS + delayS, std::move(arrival));
}

void SimulatedNetwork::deliver_due(double nowS) {
    while (!underWay_.empty() && underWay_.begin()->first <= nowS) {
        auto arrival = std::move(underWay_.begin()->second);
        underWay_.erase(underWay_.begin());
        arrival();
    }
}

}  // namespace wellstair::test
