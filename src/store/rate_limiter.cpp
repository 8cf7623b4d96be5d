#include "store/rate_limiter.hpp"

#include <algorithm>

namespace wellstair::store {

namespace {

// Fractions of the total rate: a controller's rate at the start, and its upper bound while the others send little.
constexpr double kInitialShare = 0.5, kMaxShare = 0.7;
// Growth of the rate, as a fraction of the total per second of successful use, and the time that a served request
// counts for.
constexpr double kGrowthPerS = 0.05, kSecondsPerRequest = 0.02;
// Part of the total that the even shares add up to. Below 1 because the service measures rates by its own clock.
constexpr double kEvenShareSum = 0.9;

}  // namespace

RateLimiter::RateLimiter(double total, int members, double nowS)
    : members_(members),
      total_(total),
      evenRate_(kEvenShareSum * total / members),
      rate_(std::max(evenRate_, kInitialShare * total)),
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
    rate_ = std::min(kMaxShare * total_, rate_ + kGrowthPerS * total_ * kSecondsPerRequest);
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
    evenRate_ = kEvenShareSum * total / members_;
    rate_ = std::clamp(rate_, evenRate_, std::max(evenRate_, kMaxShare * total));
    tokens_ = std::min(tokens_, rate_);
}

}  // namespace wellstair::store
