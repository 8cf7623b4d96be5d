#include "store/rate_limiter.hpp"

#include <algorithm>

namespace wellstair::store {

namespace {

// Of the whole rate: what one controller takes at the start, and when the others are quiet.
constexpr double kFirstShare = 0.5, kMostShare = 0.7;
// Of the whole rate: what is regained per second of being served; each served request counts as so many seconds.
constexpr double kRegainPerS = 0.05, kSecondsPerRequest = 0.02;
// Less than everything: rates are counted over there, by another clock.
constexpr double kEvenPart = 0.9;

}  // namespace

RateLimiter::RateLimiter(double total, int members, double nowS)
    : members_(members),
      total_(total),
      evenRate_(kEvenPart * total / members),
      rate_(std::max(evenRate_, kFirstShare * total)),
      tokens_(rate_),
      refilledAtS_(nowS) {}

void RateLimiter::refill(double nowS) {
    if (nowS > refilledAtS_) tokens_ = std::min(rate_, tokens_ + (nowS - refilledAtS_) * rate_);
    refilledAtS_ = std::max(refilledAtS_, nowS);
}

void RateLimiter::consume(double count, double nowS) {
    refill(nowS);
    tokens_ -= count;
}

double RateLimiter::seconds_until(double count, double nowS) {
    refill(nowS);
    return std::max(0.0, (std::min(count, rate_) - tokens_) / rate_);
}

void RateLimiter::record_served(double nowS) {
    refill(nowS);
    rate_ = std::min(kMostShare * total_, rate_ + kRegainPerS * total_ * kSecondsPerRequest);
}

void RateLimiter::record_throttled(double nowS) {
    refill(nowS);
    rate_ = std::max(evenRate_, rate_ / 2);
    tokens_ = std::min(tokens_, 0.0);
}

void RateLimiter::set_total(double total, double nowS) {
    if (total == total_) return;
    refill(nowS);
    total_ = total;
    evenRate_ = kEvenPart * total / members_;
    rate_ = std::clamp(rate_, evenRate_, std::max(evenRate_, kMostShare * total));
    tokens_ = std::min(tokens_, rate_);
}

}  // namespace wellstair::store
