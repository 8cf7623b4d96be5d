// Divides the HTTP server's connections between workers and users. Owns the counts. Does no I/O and reports no errors.
#pragma once

#include <cstddef>
#include <cstdint>

namespace wellstair::api {

// The kind of client of a connection. A connection that has not sent a request yet counts as a user's.
enum class Caller : std::uint8_t { user, worker };

// Limits the number of connections and chooses whose connection is closed first at the limit. Workers and users each
// have a guaranteed share, and may also use what the others leave free.
class ConnectionQuota {
  public:
    // `capacity`: the limit on the connections of all callers together.
    explicit ConnectionQuota(std::size_t capacity) : capacity_(capacity) {}

    // Adds a connection to the caller's count.
    void acquire(Caller caller) { ++open_[index(caller)]; }

    // Removes a connection from the caller's count.
    void release(Caller caller) { --open_[index(caller)]; }

    // Whether a connection must be closed before another can be accepted.
    bool full() const { return open_[0] + open_[1] >= capacity_; }

    // Returns the callers that exceed their share: one of their idle connections is closed first.
    Caller over_quota() const {
        return open_[index(Caller::user)] > kUserShare * capacity_ ? Caller::user : Caller::worker;
    }

  private:
    static constexpr double kUserShare = 0.1;  // of the capacity; the rest is the workers' share
    static std::size_t index(Caller caller) { return caller == Caller::worker; }

    std::size_t capacity_, open_[2] = {0, 0};
};

}  // namespace wellstair::api
