// Determines which hosts can take new tasks now, from the state of this controller and the status of its peers.
//
// Tracks hosts of peers on which a planned start has not been carried out. Not thread-safe; does no I/O.
#pragma once

#include <string>
#include <unordered_map>

#include "leadership/controller_context.hpp"
#include "peers/peer_table.hpp"
#include "workers/host_table.hpp"

namespace wellstair::scheduling {

class HostEligibility {
  public:
    HostEligibility(const leadership::ControllerContext& context, const workers::HostTable& hosts,
                    const peers::PeerTable& peers)
        : context_(context), hosts_(hosts), peers_(peers) {}

    // Whether new tasks may be planned for the host, whichever controller leads it.
    bool eligible(const state::HostRecord& host, Timestamp now) const;

    // Records that a start was planned on this host, which the peer that leads it has to carry out.
    void expect_start(const std::string& host, Timestamp now);
    // Records that a task was started on the host, so that no start is outstanding.
    void record_start(const std::string& host) { unstartedSinceS_.erase(host); }

  private:
    bool own_host_eligible(const state::HostRecord& host, Timestamp now) const;
    bool peer_host_eligible(const state::HostRecord& host, Timestamp now) const;
    // Whether the host's leader has left a planned start undone for too long. False again after some intervals, so that
    // the host is retried.
    bool start_overdue(const std::string& host, Timestamp now) const;

    const leadership::ControllerContext& context_;
    const workers::HostTable& hosts_;
    const peers::PeerTable& peers_;
    std::unordered_map<std::string, double> unstartedSinceS_;  // by host: steady time of the planned start, in seconds
};

}  // namespace wellstair::scheduling
