// The sockets of the HTTP server, divided among workers and users. Owns the counts; no I/O, no errors.
#pragma once

#include <cstddef>
#include <cstdint>

namespace wellstair::api {

// Who is at the other end of a connection; whoever has not asked for anything yet counts as a user.
enum class Caller : std::uint8_t { user, worker };

// How many connections there may be, and whose goes first when there are too many: neither workers nor users may take
// the other's part, but each may use what the other leaves.
class ConnectionQuota {
  public:
    // `capacity`: connections of all callers together.
    explicit ConnectionQuota(std::size_t capacity) : capacity_(capacity) {}

    // Counts a connection.
    void acquire(Caller caller) { ++open_[index(caller)]; }

    // No longer counts a connection.
    void release(Caller caller) { --open_[index(caller)]; }

    // Whether another connection has to wait until one is closed.
    bool full() const { return open_[0] + open_[1] >= capacity_; }

    // Who has more than its part: an idle connection of theirs is closed first.
    Caller over_quota() const {
        return open_[index(Caller::user)] > kUserShare * capacity_ ? Caller::user : Caller::worker;
    }

  private:
    static constexpr double kUserShare = 0.1;
    static std::size_t index(Caller caller) { return caller == Caller::worker; }

    std::size_t capacity_, open_[2] = {0, 0};
};

}  // namespace wellstair::api
