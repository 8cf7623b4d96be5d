// What a machine's image cache holds, derived from the states of its tasks: heartbeats carry no image list.
#pragma once

#include <map>
#include <string>

namespace wellstair::placement {

class ImageCache {
  public:
    explicit ImageCache(double capacityGb = 0) : capacity_(capacityGb) {}
    void set_capacity(double gb) { capacity_ = gb; }

    // A task that needs the image was placed: unless cached, its fetch ends at `readyAt`.
    void fetch(const std::string& image, double gb, double now, double readyAt);
    // A task with the image was seen running: it is there.
    void ready(const std::string& image, double gb, double now);
    // The task no longer needs it; an unfinished fetch that nobody waits for is given up.
    void release(const std::string& image, double now);

    // When the image is usable: `now` if cached, the end of a fetch under way, or nothing (-1) if absent.
    double ready_at(const std::string& image, double now) const;
    double total_gb() const { return total_; }
    std::size_t size() const { return images_.size(); }

  private:
    struct Entry {
        double gb = 0, readyAt = 0, used = 0;
        int pins = 0;
    };
    void evict();

    double capacity_ = 0, total_ = 0;
    std::map<std::string, Entry> images_;
};

}  // namespace wellstair::placement
