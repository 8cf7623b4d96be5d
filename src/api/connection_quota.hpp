// The sockets of the front, divided among workers and users.
#pragma once

#include <cstddef>

namespace wellstair::api {

enum class Caller { user, worker };  // whoever has not asked for anything yet counts as a user

// How many connections there may be, and whose goes first when there are too many: neither workers nor users may take
// the other's part, but each may use what the other leaves.
class ConnectionQuota {
  public:
    explicit ConnectionQuota(std::size_t most) : most_(most) {}
    void acquire(Caller c) { ++open_[index(c)]; }
    void release_one(Caller c) { --open_[index(c)]; }
    bool full() const { return open_[0] + open_[1] >= most_; }
    Caller over_quota() const {
        return open_[index(Caller::user)] > kUsersPart * most_ ? Caller::user : Caller::worker;
    }

  private:
    static constexpr double kUsersPart = 0.1;
    static std::size_t index(Caller c) { return c == Caller::worker; }
    std::size_t most_, open_[2] = {0, 0};
};

}  // namespace wellstair::api
