#include "placement/cache.hpp"

#include <algorithm>

namespace wellstair::placement {

void ImageCache::fetch(const std::string& image, double gb, double now, double readyAt) {
    auto [it, fresh] = images_.try_emplace(image);
    Entry& e = it->second;
    if (fresh) {
        e.gb = gb;
        e.readyAt = readyAt;
        total_ += gb;
    }
    e.used = now;
    ++e.pins;
    if (fresh) evict();
}

void ImageCache::ready(const std::string& image, double gb, double now) {
    auto [it, fresh] = images_.try_emplace(image);
    if (fresh) {
        it->second.gb = gb;
        total_ += gb;
    }
    it->second.readyAt = std::min(fresh ? now : it->second.readyAt, now);
    it->second.used = now;
    if (fresh) evict();
}

void ImageCache::release(const std::string& image, double now) {
    auto it = images_.find(image);
    if (it == images_.end()) return;
    if (it->second.pins > 0) --it->second.pins;
    if (it->second.pins == 0 && it->second.readyAt > now) {
        total_ -= it->second.gb;
        images_.erase(it);
    }
}

double ImageCache::ready_at(const std::string& image, double now) const {
    auto it = images_.find(image);
    return it == images_.end() ? -1 : std::max(now, it->second.readyAt);
}

void ImageCache::evict() {
    while (total_ > capacity_) {
        auto victim = images_.end();
        for (auto it = images_.begin(); it != images_.end(); ++it)
            if (it->second.pins == 0 && (victim == images_.end() || it->second.used < victim->second.used)) victim = it;
        if (victim == images_.end()) return;
        total_ -= victim->second.gb;
        images_.erase(victim);
    }
}

}  // namespace wellstair::placement
