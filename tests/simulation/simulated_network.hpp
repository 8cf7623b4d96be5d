// The network between workers and controllers of a simulated run. Some messages are delayed by up to two seconds, so
// messages may be delivered out of order.
//
// Owns the messages in flight and the random numbers for their delays. Single-threaded test support.
#pragma once

#include <functional>
#include <map>

#include "simulation/random_source.hpp"

namespace wellstair::test {

class SimulatedNetwork {
  public:
    // `slowMessageShare` is the share of messages that are delayed until kFaultsEndS.
    SimulatedNetwork(unsigned seed, double slowMessageShare) : random_(seed), slowMessageShare_(slowMessageShare) {}

    // Draws the delay of the next message in seconds; 0, which most have, is delivery in the step of sending.
    double next_delay(double nowS);
    // Calls `deliver` after `delayS`, or immediately without a delay.
    void send(double nowS, double delayS, std::function<void()> deliver);
    // Delivers the messages that are due, in order of arrival time, and whatever they send without a delay.
    void deliver_due(double nowS);
    bool empty() const { return inFlight_.empty(); }

  private:
    RandomSource random_;
    double slowMessageShare_;
    std::multimap<double, std::function<void()>> inFlight_;  // deliveries by arrival time
};

}  // namespace wellstair::test
