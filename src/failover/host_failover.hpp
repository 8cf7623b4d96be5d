// Host leadership: admits or redirects workers, acquires hosts whose leader has failed, and transfers them back once
// the controller that they are assigned to has returned.
//
// Owns the acquisition requests and the records of redirects and takeovers. A leadership exists only once its
// registration is durable in the state service; fencing tokens are chosen by TransactionBuilder::acquire.
// Single-threaded, free of I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "common/timestamp.hpp"
#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "leadership/shard_assignment.hpp"
#include "peers/peer_table.hpp"
#include "state/transaction_builder.hpp"
#include "wire/messages.hpp"
#include "workers/host_table.hpp"

namespace wellstair::failover {

// Decision on a worker that sends its heartbeats to this controller.
struct Admission {
    enum class Decision {
        accept,    // this controller leads the host
        acquire,   // this controller should become the host's leader
        redirect,  // another controller leads the host
        refuse,    // this controller cannot or must not answer the worker now
    } decision = Decision::refuse;
    std::string leader;  // for `redirect`: the member that the worker should send its heartbeats to
};

class HostFailover {
  public:
    HostFailover(leadership::ControllerContext& context, const leadership::ShardAssignment& assignment,
                 const leadership::CancellationRegistry& cancellations, const workers::HostTable& hosts,
                 const peers::PeerTable& peers, leadership::RoundSchedule& schedule);

    // Decides on the sender of the heartbeat. Remembers redirects, to detect workers that cannot reach their leader.
    Admission admit(const wire::Heartbeat& heartbeat, Timestamp now);
    // Requests that the next round registers the host under this controller.
    void request_acquisition(const wire::Heartbeat& heartbeat);

    // Registers the requested hosts, hosts that need a higher fencing token, and hosts of failed leaders that are
    // assigned to this controller. The hosts of a shard are registered together, since each registration rewrites the
    // shard.
    void acquire_hosts(state::TransactionBuilder& builder, Timestamp now);
    // Transfers at most one shard to the controller that it is assigned to, if that has returned. Without this, a
    // rolling restart would leave all hosts with the controller that was restarted first.
    void transfer_hosts(state::TransactionBuilder& builder, Timestamp now);

  private:
    // The newest heartbeat of a redirected worker, and the steady time of its first redirect within a lease.
    struct Redirect {
        double sinceS = kNeverS;
        std::uint64_t agentEpoch = 0, sequence = 0;
    };
    using ShardSet = std::set<state::HostShard*>;

    Admission admit_own(const wire::Heartbeat& heartbeat, const state::HostRecord& host) const;
    Admission admit_for_peer(const wire::Heartbeat& heartbeat, const std::string& leader, Timestamp now);
    // Registers the requested hosts and the unowned hosts of their shards; adds the shards to `rewritten`. False if the
    // transaction has no room for all of them.
    bool acquire_requested(state::TransactionBuilder& builder, ShardSet& rewritten, Timestamp now);
    bool acquire_unowned(state::TransactionBuilder& builder, const state::HostShard& shard);
    // The following two return false if the transaction has no room left.
    bool renew_fencing_tokens(state::TransactionBuilder& builder);
    bool acquire_assigned(state::TransactionBuilder& builder, const ShardSet& rewritten);
    bool may_acquire_unowned(const state::HostRecord& host) const;
    bool may_transfer_to(const std::string& member, Timestamp now) const;
    bool transfer_shard(state::TransactionBuilder& builder, const state::HostShard& shard, const std::string& member);

    leadership::ControllerContext& context_;
    const leadership::ShardAssignment& assignment_;
    const leadership::CancellationRegistry& cancellations_;
    const workers::HostTable& hosts_;
    const peers::PeerTable& peers_;
    leadership::RoundSchedule& schedule_;

    std::map<std::string, wire::Heartbeat> acquisitionRequests_;  // by host
    std::unordered_map<std::string, Redirect> redirects_;         // by host
    std::unordered_map<std::string, double> takenOverAtS_;        // by host taken from a live leader: steady time
    std::map<std::string, double> unreachableAtS_;  // by member that a worker could not reach: steady time
    double lastAcquisitionS_ = kNeverS, lastTransferS_ = kNeverS;
    // Revision of the members at the last complete acquisition of hosts of failed leaders.
    std::uint64_t acquiredMembersRevision_ = 0;
};

}  // namespace wellstair::failover
