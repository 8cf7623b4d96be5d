#include "placement/cache.hpp"

#include <algorithm>

namespace wellstair::placement {

void ImageCache::begin_fetch(const std::string& image, double gb, double now, double readyAt) {
    auto [it, isNew] = images_.try_emplace(image);
    Entry& entry = it->second;
    if (isNew) {
        entry.gb = gb;
        entry.readyAt = readyAt;
        totalGb_ += gb;
    }
    entry.usedAt = now;
    ++entry.pins;
    if (isNew) evict();
}

void ImageCache::mark_cached(const std::string& image, double gb, double now) {
    auto [it, isNew] = images_.try_emplace(image);
    Entry& entry = it->second;
    if (isNew) {
        entry.gb = gb;
        totalGb_ += gb;
    }
    entry.readyAt = std::min(isNew ? now : entry.readyAt, now);
    entry.usedAt = now;
    if (isNew) evict();
}

void ImageCache::release(const std::string& image, double now) {
    auto it = images_.find(image);
    if (it == images_.end()) return;
    Entry& entry = it->second;
    if (entry.pins > 0) --entry.pins;
    if (entry.pins == 0 && entry.readyAt > now) {
        totalGb_ -= entry.gb;
        images_.erase(it);
    }
}

double ImageCache::ready_at(const std::string& image, double now) const {
    auto it = images_.find(image);
    return it == images_.end() ? kNotCached : std::max(now, it->second.readyAt);
}

void ImageCache::evict() {
    while (totalGb_ > capacityGb_) {
        auto victim = images_.end();
        for (auto it = images_.begin(); it != images_.end(); ++it) {
            const Entry& entry = it->second;
            if (entry.pins == 0 && (victim == images_.end() || entry.usedAt < victim->second.usedAt)) victim = it;
        }
        if (victim == images_.end()) return;
        totalGb_ -= victim->second.gb;
        images_.erase(victim);
    }
}

}  // namespace wellstair::placement
