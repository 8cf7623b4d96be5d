// The trackers of all hosts that this controller leads or has led recently, by host name.
//
// Owns the trackers. Single-threaded, free of I/O.
#pragma once

#include <string>
#include <unordered_map>

#include "common/timestamp.hpp"
#include "config/settings.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::workers {

class HostTable {
  public:
    using Trackers = std::unordered_map<std::string, HostTracker>;

    explicit HostTable(const config::Settings& settings) : settings_(settings) {}

    // Returns null if the host is not tracked.
    HostTracker* find(const std::string& host);
    const HostTracker* find(const std::string& host) const;
    // Returns the host's tracker; creates one if the host is not tracked yet.
    HostTracker& track(const std::string& host) { return trackers_[host]; }
    Trackers& all() { return trackers_; }
    const Trackers& all() const { return trackers_; }

    // Whether the last answered heartbeat of the host is older than `silent_after()`, which a healthy host never
    // exceeds.
    bool is_silent(const HostTracker& host, Timestamp now) const;
    // Time without an answered heartbeat after which a host counts as silent, in seconds.
    double silent_after() const { return kSilentHeartbeats * settings_.heartbeatIntervalS; }

  private:
    // In heartbeat intervals. Workers vary the interval by a quarter (PROTOCOL, "Workers -> controller nodes"), and one
    // heartbeat may be late.
    static constexpr double kSilentHeartbeats = 1.6;

    const config::Settings& settings_;
    Trackers trackers_;
};

}  // namespace wellstair::workers
