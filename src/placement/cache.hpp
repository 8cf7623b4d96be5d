// What a machine's image cache holds, derived from the states of its tasks, since heartbeats carry no list of images.
//
// Owns its entries; not safe for use by several threads. Times are seconds on the clock of the caller, sizes gigabytes.
#pragma once

#include <map>
#include <string>

namespace wellstair::placement {

// A cache with eviction of the image that was used least recently; images that a task needs are never evicted.
class ImageCache {
  public:
    explicit ImageCache(double capacityGb = 0) : capacityGb_(capacityGb) {}
    // Evicts nothing by itself: the next image that is added does.
    void set_capacity(double gb) { capacityGb_ = gb; }

    // A task that needs the image was placed: unless cached, its fetch ends at `readyAt`.
    void begin_fetch(const std::string& image, double gb, double now, double readyAt);
    // A task with the image was seen running: the image is there.
    void mark_cached(const std::string& image, double gb, double now);
    // The task no longer needs it; an unfinished fetch that nobody waits for is given up.
    void release(const std::string& image, double now);

    // When the image is usable: `now` if cached, the end of a fetch under way, or nothing (-1) if absent.
    double ready_at(const std::string& image, double now) const;
    // Of all images, those being fetched included.
    double total_gb() const { return totalGb_; }
    std::size_t size() const { return images_.size(); }

  private:
    struct Entry {
        double gb = 0;
        double readyAt = 0;
        double usedAt = 0;  // last time that a task needed it
        int pins = 0;       // tasks that need it
    };
    void evict();

    double capacityGb_ = 0;
    double totalGb_ = 0;
    std::map<std::string, Entry> images_;
};

}  // namespace wellstair::placement
