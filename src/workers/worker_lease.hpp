// The lease of a worker as its leader counts it.
//
// A worker counts its lease from when it sent the last heartbeat that was answered with 200. The leader does not know
// when that was, but the heartbeat arrives after it was sent: counting from the decision to answer can only end later.
#pragma once

#include <cstdint>
#include <string>

namespace wellstair::workers {

class WorkerLease {
  public:
    // Called for every heartbeat that is about to be answered with 200, and for nothing else: an answer that this
    // refuses must not be given. It refuses heartbeats that are not newer than the last one answered. A worker has one
    // heartbeat in flight, so it no longer waits for those; and their lease, counted from an earlier sending, is within
    // the one counted here. What replies to commands have told meanwhile does not matter: a reply may overtake a
    // heartbeat whose answer the worker still waits for.
    bool renew(std::uint64_t agentEpoch, std::uint64_t sequence, double nowS);

    // A leadership begins: the machine is not silent yet, but nothing was answered.
    void begin(double nowS);

    bool begun() const { return countedFromS_ > 0; }
    double age(double nowS) const { return nowS - countedFromS_; }
    // Not before the worker's own clock says so, whatever of the drift of the two clocks is possible.
    bool expired(double nowS, double leaseS) const;

    std::uint64_t agent_epoch() const { return agentEpoch_; }
    std::uint64_t sequence() const { return sequence_; }
    // Session, number and age of the heartbeat that it was renewed by, for the log.
    std::string describe(double nowS) const;

  private:
    std::uint64_t agentEpoch_ = 0, sequence_ = 0;
    double countedFromS_ = -1e9;
};

}  // namespace wellstair::workers
