// Read barrier over the other controllers: once all of them have acknowledged a request, this controller knows every
// cancellation that was confirmed before it sent the request, without the state service. Time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <string>

namespace wellstair::leadership {

class CancellationReadBarrier {
  public:
    // `firstNumber`: neither it nor any higher number was used by an earlier process of this member name.
    explicit CancellationReadBarrier(std::uint64_t firstNumber) : nextNumber_(firstNumber) {}

    // Returns the number of a request that is sent now.
    std::uint64_t next_request(double nowS);
    // The member has acknowledged the request of that number with all cancellations that it had confirmed by then. A
    // packet that was delayed acknowledges an old request, and counts as of the time of that request.
    void acknowledge(const std::string& member, std::uint64_t incarnation, std::uint64_t requestNumber);
    // Steady time up to which the cancellations confirmed by all of these processes are known. Minus infinity if
    // `others` is empty, or if one of the processes has not acknowledged anything. An acknowledgement by an earlier
    // process of the same name does not count: cancellations that only that process knew were lost with it.
    double acknowledged_until(const std::map<std::string, std::uint64_t>& others) const;

  private:
    struct Acknowledgement {
        std::uint64_t incarnation = 0;
        double requestedS = 0;
    };
    std::uint64_t nextNumber_;
    std::deque<std::pair<std::uint64_t, double>> requests_;    // number and steady time of the newest requests
    std::map<std::string, Acknowledgement> acknowledgements_;  // by member
};

}  // namespace wellstair::leadership
