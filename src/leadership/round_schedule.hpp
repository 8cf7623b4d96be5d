// Work for the next scheduling round: the hosts to process, and whether placement has to be planned again.
//
// Any component may add work; the round removes what it has done. Single-threaded, free of I/O.
#pragma once

#include <set>
#include <string>

#include "state/state_cache.hpp"

namespace wellstair::leadership {

class RoundSchedule {
  public:
    bool round_due() const { return roundDue_; }
    void request_round() { roundDue_ = true; }
    // To be called at the start of a round: a request that is made during the round leads to another one.
    void begin_round() { roundDue_ = false; }

    // Whether an input of placement has changed since the last plan.
    bool plan_due() const { return planDue_; }
    void request_plan() { planDue_ = true; }
    void begin_plan() { planDue_ = false; }
    // To be called when a transaction was not applied: the next round proposes all changes again.
    void request_replan() { roundDue_ = planDue_ = true; }

    // Names of the hosts that may need commands or have tasks to release. A round processes only these.
    std::set<std::string>& due_hosts() { return dueHosts_; }
    void mark_due(const std::string& host) { dueHosts_.insert(host); }
    void mark_due(const state::HostRecord& host) { dueHosts_.insert(host.name); }
    // Marks all hosts on which tasks of the job are placed, and requests a round.
    void mark_job_due(const state::Job& job);

  private:
    bool roundDue_ = true;
    bool planDue_ = true;
    std::set<std::string> dueHosts_;
};

}  // namespace wellstair::leadership
