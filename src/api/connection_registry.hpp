// The open connections of the HTTP server: how many each kind of caller has, and which of them are idle. Decides which
// one is closed when another arrives at the limit.
// A connection holds its place through a ConnectionSlot, whose destructor gives it back, however the connection ends.
// Single-threaded; no I/O, no errors.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

#include "api/connection_quota.hpp"

namespace wellstair::api {

class ConnectionSlot;

class ConnectionRegistry {
  public:
    explicit ConnectionRegistry(std::size_t maxConnections) : quota_(maxConnections) {}

    // At the limit, closes the connection that has been idle longest among the callers that exceed their share. With
    // one controller left for all machines, workers must not lock users out, nor users workers, and sockets for the
    // state service and for commands must stay available. Returns whether another connection may be accepted.
    bool make_room();

  private:
    friend class ConnectionSlot;

    ConnectionQuota quota_;
    std::map<Caller, std::list<ConnectionSlot*>> idle_;  // waiting for a request, longest first
};

// The place of one connection in the registry. It counts as a user's until `set_caller` is called.
class ConnectionSlot {
  public:
    // `close`: closes the connection, so that its pending read ends. Called at most once, while the slot is idle.
    ConnectionSlot(std::shared_ptr<ConnectionRegistry> registry, std::function<void()> close);
    ~ConnectionSlot() { release(); }
    ConnectionSlot(const ConnectionSlot&) = delete;
    ConnectionSlot& operator=(const ConnectionSlot&) = delete;

    // The connection waits for a request, and may be closed to admit another one.
    void begin_idle();
    void end_idle();
    // Counts the connection under the kind of caller that sent its latest request.
    void set_caller(Caller caller);
    Caller caller() const { return caller_; }
    // Whether the connection has been closed to admit another one.
    bool evicted() const { return !counted_; }

  private:
    friend class ConnectionRegistry;
    void release();

    std::shared_ptr<ConnectionRegistry> registry_;
    std::function<void()> close_;
    Caller caller_ = Caller::user;
    bool counted_ = true;
    std::optional<std::list<ConnectionSlot*>::iterator> idlePlace_;  // in ConnectionRegistry::idle_
};

}  // namespace wellstair::api
