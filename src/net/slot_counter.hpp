// Counts slots of a limited resource that are in use, such as connections. Single-threaded; no errors.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace wellstair::net {

class SlotCounter {
  public:
    // A slot in use; its destructor gives the slot back, whether or not the counter still exists.
    class Slot {
      public:
        explicit Slot(std::shared_ptr<std::size_t> used) : used_(std::move(used)) { ++*used_; }
        ~Slot() { --*used_; }
        Slot(const Slot&) = delete;
        Slot& operator=(const Slot&) = delete;

      private:
        std::shared_ptr<std::size_t> used_;
    };

    Slot acquire() { return Slot(used_); }
    std::size_t used() const { return *used_; }

  private:
    std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

}  // namespace wellstair::net
