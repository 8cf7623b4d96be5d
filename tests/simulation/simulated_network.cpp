#include "simulation/simulated_network.hpp"

#include "simulation/scenario.hpp"

namespace wellstair::test {

namespace {

constexpr double kMaxDelayS = 2;

}  // namespace

double SimulatedNetwork::next_delay(double nowS) {
    const bool slow = random_.chance(slowMessageShare_);
    return slow && nowS < kFaultsEndS ? random_.between(kStepS, kMaxDelayS) : 0;
}

void SimulatedNetwork::send(double nowS, double delayS, std::function<void()> deliver) {
    if (delayS <= 0)
        deliver();
    else
        inFlight_.emplace(nowS + delayS, std::move(deliver));
}

void SimulatedNetwork::deliver_due(double nowS) {
    while (!inFlight_.empty() && inFlight_.begin()->first <= nowS) {
        auto deliver = std::move(inFlight_.begin()->second);
        inFlight_.erase(inFlight_.begin());
        deliver();
    }
}

}  // namespace wellstair::test
