// Which hosts go back to the cloud: surplus, faulty and lost ones, and silent ones that something waits for.
//
// A host is first marked in the state service, then returned to the cloud, then recorded as gone; its record is removed
// much later. Every controller marks the hosts it leads; the holder of the cloud role marks the others and does the
// rest. Owns the machine list of the cloud and how long hosts have been unowned. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "autoscaling/cloud_role.hpp"
#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "state/transaction_builder.hpp"
#include "wire/messages.hpp"
#include "workers/host_table.hpp"

namespace wellstair::autoscaling {

// Hosts that neither work nor headroom needs, with the steady time in seconds since when.
using IdleHosts = std::map<std::string, double>;

class ScaleInPolicy {
  public:
    ScaleInPolicy(leadership::ControllerContext& context, const leadership::CancellationRegistry& cancellations,
                  const workers::HostTable& hosts, const CloudRole& role, const IdleHosts& idleHosts);

    // The cloud's list of machines, as received now.
    void set_machines(std::vector<wire::Machine> machines) { machines_ = std::move(machines); }

    // Marks hosts for return as far as the transaction has room.
    void propose(state::TransactionBuilder& builder, Timestamp now);
    // Marked hosts that are to be returned to the cloud now, at most as many as one call may name.
    std::vector<std::string> hosts_due_for_return(Timestamp now) const;
    // The cloud has confirmed the return of these hosts.
    void mark_gone(state::TransactionBuilder& builder, const std::vector<std::string>& hosts, Timestamp now);

  private:
    struct SilentCount {
        std::size_t silent = 0, all = 0;
    };
    // Silent hosts among those led here.
    struct Silence {
        std::unordered_map<std::string, SilentCount> byZone;
        SilentCount total;
    };
    // Why a host led here has to go.
    enum class Reason { none, faulty, lost, unreachable, holds_up_gang, holds_replica, holds_cancelled };
    struct Verdict {
        Reason reason = Reason::none;
        bool maySave = false;  // what runs there gets the time to write checkpoints
    };

    Silence count_silent(Timestamp now) const;
    Verdict judge_led(const state::HostRecord& host, const workers::HostTracker& tracker, const Silence& silence,
                      Timestamp now) const;
    bool lost(const workers::HostTracker& tracker, Timestamp now) const;
    bool unreachable_for_long(const workers::HostTracker& tracker, Timestamp now) const;
    bool holds_service(const state::HostRecord& host) const;
    static const char* to_string(Reason reason);

    // Each returns false once the transaction has no room left.
    bool mark_led(state::TransactionBuilder& builder, Timestamp now);
    bool mark_unowned_and_surplus(state::TransactionBuilder& builder, Timestamp now);
    bool remove_gone(state::TransactionBuilder& builder, const std::vector<state::HostRecord*>& hosts) const;
    bool mark_unregistered(state::TransactionBuilder& builder, Timestamp now) const;

    leadership::ControllerContext& context_;
    const leadership::CancellationRegistry& cancellations_;
    const workers::HostTable& hosts_;
    const CloudRole& role_;
    const IdleHosts& idleHosts_;

    std::vector<wire::Machine> machines_;
    std::map<std::string, double> unownedSinceS_;  // hosts of failed leaders: steady time
    double lastProposalS_ = -1e9;
};

}  // namespace wellstair::autoscaling
