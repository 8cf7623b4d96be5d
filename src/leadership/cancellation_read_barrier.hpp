// What the other controllers have confirmed, asked by ourselves: with the answers of all of them, a controller knows
// every cancellation up to the moment of its question without the state service. Time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <string>

namespace wellstair::leadership {

class CancellationReadBarrier {
  public:
    // `first`: no other process of this name has used the numbers from here on.
    explicit CancellationReadBarrier(std::uint64_t first) : next_(first) {}

    // The number of a question that is asked now.
    std::uint64_t next_request(double nowS);
    // A member has answered the question of that number with all cancellations that it had confirmed by then. A packet
    // that was held back answers an old question, and proves no more than that.
    void acknowledge(const std::string& member, std::uint64_t incarnation, std::uint64_t requestNumber);
    // Up to when all of these processes have told everything; never, if one has not answered, or another process of its
    // name has: what the one before had confirmed died with it.
    double acknowledged_until(const std::map<std::string, std::uint64_t>& others) const;

  private:
    struct Answer {
        std::uint64_t incarnation = 0;
        double requestedS = 0;
    };
    std::uint64_t next_;
    std::deque<std::pair<std::uint64_t, double>> requests_;
    std::map<std::string, Answer> answers_;
};

}  // namespace wellstair::leadership
