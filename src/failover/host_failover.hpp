// Which controller leads which host: admits or redirects workers, acquires hosts whose leader has failed, and transfers
// them back once the controller they are assigned to has returned.
//
// Owns the acquisition requests and what is remembered of redirects and takeovers. A leadership exists only once its
// registration is durable in the state service; fencing tokens are chosen there (TransactionBuilder::acquire).
// Single-threaded, free of I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "leadership/shard_assignment.hpp"
#include "peers/peer_table.hpp"
#include "state/transaction_builder.hpp"
#include "wire/messages.hpp"
#include "workers/host_table.hpp"

namespace wellstair::failover {

// What becomes of a worker that sends its heartbeats here.
struct Admission {
    enum class Decision {
        accept,    // this controller is its leader
        acquire,   // this controller should become its leader
        redirect,  // another controller is
        refuse,    // nothing can be said now
    } decision = Decision::refuse;
    std::string leader;  // redirect: whom the worker should send its heartbeats to
};

class HostFailover {
  public:
    HostFailover(leadership::ControllerContext& context, const leadership::ShardAssignment& assignment,
                 const leadership::CancellationRegistry& cancellations, const workers::HostTable& hosts,
                 const peers::PeerTable& peers, leadership::RoundSchedule& schedule);

    Admission admit(const wire::Heartbeat& heartbeat, Timestamp now);
    // Asks the next round to register the host here.
    void request_acquisition(const wire::Heartbeat& heartbeat);

    // Registers the hosts that were asked for, hosts that need a higher fencing token, and hosts of failed leaders that
    // are assigned here. Whole shards go together, since each registration rewrites its shard.
    void acquire_hosts(state::TransactionBuilder& builder, Timestamp now);
    // Transfers one shard to the controller it is assigned to, if that has returned. Without this a rolling restart
    // would leave all hosts with whoever was restarted first.
    void transfer_hosts(state::TransactionBuilder& builder, Timestamp now);

  private:
    // The newest heartbeat of a worker that was redirected, and since when it has been.
    struct Redirect {
        double sinceS = -1e9;
        std::uint64_t agentEpoch = 0, sequence = 0;
    };
    using ShardSet = std::set<state::HostShard*>;

    Admission admit_own(const wire::Heartbeat& heartbeat, const state::HostRecord& host) const;
    Admission admit_of_peer(const wire::Heartbeat& heartbeat, const std::string& leader, Timestamp now);
    // Registers the hosts that were asked for, with all unowned ones of their shards, which are added to `rewritten`.
    // False if the transaction has no room left.
    bool acquire_requested(state::TransactionBuilder& builder, ShardSet& rewritten, Timestamp now);
    bool acquire_unowned(state::TransactionBuilder& builder, const state::HostShard& shard);
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
    std::unordered_map<std::string, double> takenOverAtS_;        // hosts taken from a live leader: steady time
    std::map<std::string, double> unreachedAtS_;                  // controllers that some worker could not reach
    double lastAcquisitionS_ = -1e9, lastTransferS_ = -1e9;
    std::uint64_t membersRevision_ = 0;  // of the members when hosts of failed leaders were last acquired
};

}  // namespace wellstair::failover
