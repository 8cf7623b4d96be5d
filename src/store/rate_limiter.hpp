// A controller's share of a request rate that all controllers draw on (PROTOCOL, state service: requests and writes a
// second). Owns its tokens. Time is passed in, seconds on the steady clock; no I/O, no errors.
#pragma once

namespace wellstair::store {

// A token bucket whose rate adapts: it grows slowly while requests are served and is halved when one is refused, never
// below the even share.
class RateLimiter {
  public:
    // `total`: what all members together may use, per second.
    RateLimiter(double total, int members, double nowS);

    // Takes `count` tokens; the bucket may be overdrawn.
    void consume(double count, double nowS);

    // Seconds until `count` tokens can be spent; more than the burst is waited for as if it were the burst.
    double seconds_until(double count, double nowS);

    // A request was served: the rate may grow.
    void record_served(double nowS);

    // A request was refused for its rate: the rate is cut, and the bucket is empty.
    void record_throttled(double nowS);

    // The rate of all members has changed.
    void set_total(double total, double nowS);

  private:
    void refill(double nowS);

    int members_;
    double total_;     // of all members, per second
    double evenRate_;  // this member's even share, per second
    double rate_;      // in use, per second; also the burst
    double tokens_;
    double refilledAtS_;
};

}  // namespace wellstair::store
