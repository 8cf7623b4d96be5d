// The messages under way between workers and controllers of a simulated run. Some take up to two seconds, so that they
// may overtake one another.
//
// Owns the messages under way and the random numbers that decide on their delay. Single-threaded test support.
#pragma once

#include <functional>
#include <map>

#include "simulation/random_source.hpp"

namespace wellstair::test {

class SimulatedNetwork {
  public:
    // `slowMessageShare` is the share of messages that are delayed while the run has faults.
    SimulatedNetwork(unsigned seed, double slowMessageShare) : random_(seed), slowMessageShare_(slowMessageShare) {}

    // How long the next message takes, in seconds; most arrive in the step in which they were sent.
    double next_delay(double nowS);
    // Runs `arrival` after `delayS`, at once if there is no delay.
    void send(double nowS, double delayS, std::function<void()> arrival);
    // Runs what is due, in the order of arrival, with all that it sends without delay.
    void deliver_due(double nowS);
    bool empty() const { return inFlight_.empty(); }

  private:
    RandomSource random_;
    double slowMessageShare_;
    std::multimap<double, std::function<void()>> inFlight_;  // by time of arrival
};

}  // namespace wellstair::test
