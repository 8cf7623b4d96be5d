// Limits this controller's part of a request rate that all controllers share (PROTOCOL, state service: requests and
// writes per second). The caller passes the time, in seconds on the steady clock. Does no I/O and reports no errors.
#pragma once

namespace wellstair::store {

// A token bucket with an adaptive rate (additive increase, multiplicative decrease): the rate grows slowly while
// requests are served and is halved when one is refused, but does not fall below an even share of the total.
class RateLimiter {
  public:
    // `total`: the rate that all `members` together may use, per second.
    RateLimiter(double total, int members, double nowS);

    // Takes `count` tokens. The balance may become negative.
    void consume(double count, double nowS);

    // Returns the seconds until `count` tokens are available. A count above the burst size is treated as the burst
    // size.
    double seconds_until(double count, double nowS);

    // Records a served request: raises the rate.
    void record_served(double nowS);

    // Records a request that the service refused for exceeding the rate: halves the rate and empties the bucket.
    void record_throttled(double nowS);

    // Sets the rate that all members together may use, per second.
    void set_total(double total, double nowS);

  private:
    void refill(double nowS);

    int members_;
    double total_;     // rate of all members, per second
    double evenRate_;  // lower bound of rate_: this member's even share, per second
    double rate_;      // current rate, per second; also the burst size
    double tokens_;
    double refilledAtS_;
};

}  // namespace wellstair::store
