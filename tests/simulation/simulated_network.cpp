#include "simulation/simulated_network.hpp"

#include "simulation/scenario.hpp"

namespace wellstair::test {

namespace {

constexpr double kLongestDelayS = 2;

}  // namespace

double SimulatedNetwork::next_delay(double nowS) {
    const bool slow = random_.chance(slowMessageShare_);
    return slow && nowS < kFaultsEndS ? random_.between(kStepS, kLongestDelayS) : 0;
}

void SimulatedNetwork::send(double nowS, double delayS, std::function<void()> arrival) {
    if (delayS <= 0)
        arrival();
    else
        inFlight_.emplace(nowS + delayS, std::move(arrival));
}

void SimulatedNetwork::deliver_due(double nowS) {
    while (!inFlight_.empty() && inFlight_.begin()->first <= nowS) {
        auto arrival = std::move(inFlight_.begin()->second);
        inFlight_.erase(inFlight_.begin());
        arrival();
    }
}

}  // namespace wellstair::test
