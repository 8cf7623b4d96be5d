// Selects the hosts to return to the cloud: surplus, faulty and lost hosts, and silent hosts that block other work.
//
// A host is first marked in the state service, then returned to the cloud, then recorded as gone; its record is removed
// a few leases later. Every controller marks the hosts it leads; the holder of the cloud role marks the others and does
// the remaining steps. Owns the cloud's machine list and the times since which hosts have been unowned.
// Single-threaded, does no I/O.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "autoscaling/cloud_role.hpp"
#include "common/timestamp.hpp"
#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "state/transaction_builder.hpp"
#include "wire/messages.hpp"
#include "workers/host_table.hpp"

namespace wellstair::autoscaling {

// Hosts that neither work nor headroom needs, each with the steady time in seconds since which that holds.
using IdleHosts = std::map<std::string, double>;

class ScaleInPolicy {
  public:
    ScaleInPolicy(leadership::ControllerContext& context, const leadership::CancellationRegistry& cancellations,
                  const workers::HostTable& hosts, const CloudRole& role, const IdleHosts& idleHosts);

    // Replaces the cloud's machine list.
    void set_machines(std::vector<wire::Machine> machines) { machines_ = std::move(machines); }

    // Marks hosts for return, as many as the transaction has room for. Does so at most once in a quarter of a heartbeat
    // interval; other calls do nothing.
    void propose(state::TransactionBuilder& builder, Timestamp now);
    // Marked hosts that can be returned to the cloud now, at most as many as one call may name. Empty unless this
    // process holds the cloud role.
    std::vector<std::string> hosts_due_for_return(Timestamp now) const;
    // Records that the cloud has confirmed the return of these hosts.
    void mark_gone(state::TransactionBuilder& builder, const std::vector<std::string>& hosts, Timestamp now);

  private:
    struct SilentCount {
        std::size_t silent = 0, all = 0;
    };
    // Silent hosts among those that this controller leads.
    struct Silence {
        std::unordered_map<std::string, SilentCount> byZone;
        SilentCount total;
    };
    // Why a host led by this controller is returned.
    enum class Reason { none, faulty, lost, unreachable, blocks_gang, holds_replica, holds_cancelled };
    struct Verdict {
        Reason reason = Reason::none;
        bool allowCheckpoint = false;  // its tasks get time to write checkpoints before the return
    };

    Silence count_silent(Timestamp now) const;
    Verdict evaluate_led_host(const state::HostRecord& host, const workers::HostTracker& tracker,
                              const Silence& silence, Timestamp now) const;
    bool lost(const workers::HostTracker& tracker, Timestamp now) const;
    bool unreachable_too_long(const workers::HostTracker& tracker, Timestamp now) const;
    bool runs_service_replica(const state::HostRecord& host) const;
    static const char* to_string(Reason reason);

    // Each returns false once the transaction has no room left.
    bool mark_led_hosts(state::TransactionBuilder& builder, Timestamp now);
    bool mark_unowned_and_surplus_hosts(state::TransactionBuilder& builder, Timestamp now);
    bool remove_records(state::TransactionBuilder& builder, const std::vector<state::HostRecord*>& hosts) const;
    bool mark_unregistered_machines(state::TransactionBuilder& builder, Timestamp now) const;

    leadership::ControllerContext& context_;
    const leadership::CancellationRegistry& cancellations_;
    const workers::HostTable& hosts_;
    const CloudRole& role_;
    const IdleHosts& idleHosts_;

    std::vector<wire::Machine> machines_;
    std::map<std::string, double> unownedSinceS_;  // steady time since the leader of the host failed
    double lastProposalS_ = kNeverS;
};

}  // namespace wellstair::autoscaling
