// Models the image cache of a machine from the states of its tasks, since heartbeats do not list cached images.
//
// Owns its entries; not thread-safe. Times are seconds on the caller's clock, sizes are gigabytes.
#pragma once

#include <map>
#include <string>

namespace wellstair::placement {

// LRU cache of images. Images that a task needs are pinned and never evicted, so the cache may exceed its capacity.
class ImageCache {
  public:
    // What ready_at() returns for an image that is neither cached nor being fetched; real times are not negative.
    static constexpr double kNotCached = -1;

    explicit ImageCache(double capacityGb = 0) : capacityGb_(capacityGb) {}
    // Does not evict; the next added image does.
    void set_capacity(double gb) { capacityGb_ = gb; }

    // Pins the image for a task that was placed. An image that is not cached yet is fetched until `readyAt`.
    void begin_fetch(const std::string& image, double gb, double now, double readyAt);
    // Records that the image is cached, because a task that uses it was observed running. Does not pin it.
    void mark_cached(const std::string& image, double gb, double now);
    // Drops the pin of one task. A fetch that no other task waits for is abandoned.
    void release(const std::string& image, double now);

    // When the image is usable: `now` if it is cached, the end of a fetch in progress, or kNotCached.
    double ready_at(const std::string& image, double now) const;
    // Total size of all images, including those that are being fetched.
    double total_gb() const { return totalGb_; }
    std::size_t size() const { return images_.size(); }

  private:
    struct Entry {
        double gb = 0;
        double readyAt = 0;
        double usedAt = 0;  // last time a task needed it; orders eviction
        int pins = 0;       // tasks that need it
    };
    // Evicts unpinned images, least recently used first, until the cache is within its capacity.
    void evict();

    double capacityGb_ = 0;
    double totalGb_ = 0;
    std::map<std::string, Entry> images_;
};

}  // namespace wellstair::placement
