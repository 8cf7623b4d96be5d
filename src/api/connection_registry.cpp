#include "api/connection_registry.hpp"

#include <utility>

namespace wellstair::api {

bool ConnectionRegistry::make_room() {
    if (!quota_.full()) return true;
    auto& idle = idle_[quota_.over_quota()];
    if (idle.empty()) return false;
    ConnectionSlot& oldest = *idle.front();
    oldest.release();
    oldest.close_();
    return true;
}

ConnectionSlot::ConnectionSlot(std::shared_ptr<ConnectionRegistry> registry, std::function<void()> close)
    : registry_(std::move(registry)), close_(std::move(close)) {
    registry_->quota_.acquire(caller_);
}

void ConnectionSlot::begin_idle() {
    auto& idle = registry_->idle_[caller_];
    idlePlace_ = idle.insert(idle.end(), this);
}

void ConnectionSlot::end_idle() {
    if (idlePlace_) registry_->idle_[caller_].erase(*idlePlace_);
    idlePlace_.reset();
}

void ConnectionSlot::set_caller(Caller caller) {
    registry_->quota_.release(std::exchange(caller_, caller));
    registry_->quota_.acquire(caller_);
}

void ConnectionSlot::release() {
    end_idle();
    if (std::exchange(counted_, false)) registry_->quota_.release(caller_);
}

}  // namespace wellstair::api
