// What the next round has to look at: hosts with something to do, and whether placement has to be planned anew.
//
// Any component may ask for more; the round itself takes off what is done. Single-threaded, free of I/O.
#pragma once

#include <set>
#include <string>

#include "state/state_cache.hpp"

namespace wellstair::leadership {

class RoundSchedule {
  public:
    bool round_due() const { return roundDue_; }
    void request_round() { roundDue_ = true; }
    // A round begins: whatever asks for another one from here on is heard.
    void begin_round() { roundDue_ = false; }

    // Something that placement depends on has changed.
    bool plan_due() const { return planDue_; }
    void request_plan() { planDue_ = true; }
    void begin_plan() { planDue_ = false; }
    // A transaction was not applied: everything is proposed again.
    void request_replan() { roundDue_ = planDue_ = true; }

    // Hosts, by name, that may have commands to get or tasks to release. A round looks at these alone.
    std::set<std::string>& due_hosts() { return dueHosts_; }
    void mark_due(const std::string& host) { dueHosts_.insert(host); }
    void mark_due(const state::HostRecord& host) { dueHosts_.insert(host.name); }
    // Marks all hosts that tasks of the job are placed on, and asks for a round.
    void mark_job_due(const state::Job& job);

  private:
    bool roundDue_ = true;
    bool planDue_ = true;
    std::set<std::string> dueHosts_;
};

}  // namespace wellstair::leadership
