// Which hosts can take new tasks now, by what this controller and its peers know of them.
//
// Owns the notes on hosts of peers where a planned start does not happen. Single-threaded, free of I/O.
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

    // Whether new tasks may be planned for the host, whoever leads it.
    bool eligible(const state::HostRecord& host, Timestamp now) const;

    // A start is planned for this host of a peer, and the peer is the one to carry it out.
    void expect_start(const std::string& host, Timestamp now);
    // Some task was started on the host.
    void record_start(const std::string& host) { unstartedSinceS_.erase(host); }

  private:
    bool own_host_eligible(const state::HostRecord& host, Timestamp now) const;
    bool peer_host_eligible(const state::HostRecord& host, Timestamp now) const;
    // Whether the host's leader has not carried out a planned start for a while.
    bool start_overdue(const std::string& host, Timestamp now) const;

    const leadership::ControllerContext& context_;
    const workers::HostTable& hosts_;
    const peers::PeerTable& peers_;
    std::unordered_map<std::string, double> unstartedSinceS_;  // by host: steady time in seconds
};

}  // namespace wellstair::scheduling
