// The decision logic of a controller, free of I/O. Its inputs are heartbeats, user requests and changes watched in the
// state service; its outputs are transactions, commands and responses. Time is passed in, so that recorded traces can
// be replayed on a virtual clock.
//
// Reconciliation is level-triggered: each round compares the state service with the heartbeats of the hosts and
// proposes the next transaction. Messages that were lost or late, and changes by other processes, are covered by the
// next comparison. Core owns the components and orders them within a round; each component owns its state.
// Single-threaded.
#pragma once

#include <memory>
#include <unordered_map>

#include "autoscaling/cloud_role.hpp"
#include "autoscaling/scale_in_policy.hpp"
#include "commands/host_commands.hpp"
#include "common/timestamp.hpp"
#include "config/settings.hpp"
#include "controller/heartbeat_statistics.hpp"
#include "failover/host_failover.hpp"
#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "leadership/shard_assignment.hpp"
#include "leadership/state_limit_policy.hpp"
#include "peers/packet.hpp"
#include "peers/peer_table.hpp"
#include "placement/scale_out.hpp"
#include "reconciliation/decision_statistics.hpp"
#include "reconciliation/job_history.hpp"
#include "reconciliation/task_reconciler.hpp"
#include "scheduling/demand_history.hpp"
#include "scheduling/held_back_jobs.hpp"
#include "scheduling/host_eligibility.hpp"
#include "scheduling/placement_model.hpp"
#include "scheduling/preemption.hpp"
#include "scheduling/queue_order.hpp"
#include "scheduling/scheduling_planner.hpp"
#include "scheduling/tuning_options.hpp"
#include "state/state_cache.hpp"
#include "state/transaction_builder.hpp"
#include "workers/host_table.hpp"
#include "workers/host_tracker.hpp"

namespace wellstair::controller {

using wellstair::Timestamp;

using Tunables = scheduling::TuningOptions;

// The response to a user's request: HTTP status, body, and seconds for the Retry-After header (0: no such header).
struct UserResponse {
    int status = 200;
    wire::Json body;
    double retryAfterS = 0;
};

// The response to a worker's heartbeat.
struct HeartbeatResponse {
    enum Kind {
        renewed,    // 200: the worker's lease is renewed, and the leader measures it from now
        acquiring,  // the host is being registered in the state service; the heartbeat has to be handled again
        redirect,   // 421: another controller leads the host
        refuse,     // 503
    } kind = refuse;
    std::string leader;                   // redirect: the controller that leads the host
    std::uint64_t token = 0;              // renewed: the leader's fencing token
    std::vector<wire::Command> commands;  // renewed: commands for the host
};

// A request to rent machines of one type in one zone, on-demand or spot.
struct ScaleOutRequest {
    std::string machineType, zone;
    bool spot = false;
    std::uint32_t number = 0;
};

class Core {
  public:
    Core(const config::Settings& settings, Tunables tunables, std::uint64_t incarnation);

    // --- the cached state
    state::StateCache& state() { return context_.state(); }
    // Discards the cached state because the watch cannot be resumed; everything is then read again.
    void reset_state();
    void set_state_ready(bool ready) { context_.set_state_ready(ready); }
    bool state_ready() const { return context_.state_ready(); }
    // Revision of this process's registration; 0 if it is not registered.
    std::uint64_t member_revision() const { return context_.member_revision(); }
    void set_availability(state::Availability next, Timestamp now) { context_.set_availability(next, now); }
    state::Availability availability() const { return context_.availability(); }
    std::uint64_t incarnation() const { return context_.incarnation(); }

    // --- users
    // The response to a repeated submission, or nothing if the job is unknown. The cached state must be current unless
    // the job is final.
    std::optional<UserResponse> find_submission(const std::string& id);
    // The response to a status request. The cached state must be current unless the job is final.
    UserResponse job_status(const std::string& id);
    // Why the job can never run, or nothing if it can. Sets `undetermined` if the machine types are not known yet.
    std::optional<std::string> infeasibility_reason(const wire::JobSpec& spec, bool& undetermined) const;

    // --- workers
    // Answers a worker's heartbeat. Only this function grants a response of 200, which renews the worker's lease; the
    // leader measures the lease from the same time.
    HeartbeatResponse handle_heartbeat(const wire::Heartbeat& heartbeat, Timestamp now);
    // Applies the status in a worker's reply to commands. It does not renew the lease.
    void handle_command_reply(const wire::Heartbeat& status, Timestamp now);
    // The commands for hosts, and the record of those sent directly.
    commands::HostCommands& host_commands() { return hostCommands_; }
    HeartbeatStatistics& heartbeat_statistics() { return heartbeatStatistics_; }
    reconciliation::DecisionStatistics& decision_statistics() { return decisionStatistics_; }
    // Requests that the next round register the host with this controller as its leader.
    void request_acquisition(const wire::Heartbeat& heartbeat) { failover_.request_acquisition(heartbeat); }
    // Returns null if the host is not tracked.
    workers::HostTracker* tracker(const std::string& host) { return hosts_.find(host); }

    // --- rounds
    // The next transaction of this controller, empty if there is nothing to do.
    state::TransactionBuilder round(Timestamp now);
    // Detects hosts that have become silent and leases that have expired. Returns whether there are any.
    bool advance_time(Timestamp now);
    bool round_due() const { return schedule_.round_due(); }
    void request_round() { schedule_.request_round(); }
    // Requests a round that proposes everything again, after a transaction was not applied.
    void request_replan() { schedule_.request_replan(); }
    state::TransactionBuilder new_transaction();
    // The limits that transactions obey: the current limits of the state service, or the lower of these and the
    // announced ones.
    config::StateLimits state_limits() const { return limits_.limits(); }
    // Handles a transaction that wrote these keys and was rejected by the state service as malformed.
    void handle_rejected_transaction(const std::vector<std::string>& keys, Timestamp now) {
        limits_.handle_rejected_transaction(keys, now);
    }
    // The contents of this process's registration.
    state::MemberData member_data() const { return limits_.member_data(); }
    // The layout of the stored keys that follows from this process's settings.
    state::LayoutRecord own_layout() const { return limits_.own_layout(); }

    // --- cloud (only for the holder of the cloud role)
    bool holds_cloud_role() const { return cloudRole_.held_here(); }
    bool may_take_cloud_role() const { return cloudRole_.may_acquire(); }
    bool take_cloud_role(state::TransactionBuilder& builder, std::uint64_t leaseId) const {
        return cloudRole_.acquire(builder, leaseId);
    }
    bool may_call_cloud() const { return cloudRole_.may_call_cloud(); }
    void set_machines(std::vector<wire::Machine> machines, Timestamp now);
    // Determines the unmet demand and the idle hosts. Called once before a series of `scale_out_requests`.
    void plan_scale_out(Timestamp now);
    // The machines to rent for the unmet demand.
    std::vector<ScaleOutRequest> scale_out_requests(Timestamp now);
    // Records the hosts that the cloud has granted. Fewer than requested count as a refusal of the rest.
    void record_rented(const ScaleOutRequest& request, const std::vector<std::string>& hosts, Timestamp now);
    // Records a refusal: no more machines of this type, zone and price class are requested for one lease.
    void record_refused(const ScaleOutRequest& request, Timestamp now);
    // The hosts to be returned to the cloud now.
    std::vector<std::string> scale_in_due(Timestamp now) const { return scaleIn_.hosts_due_for_return(now); }
    void mark_gone(state::TransactionBuilder& builder, const std::vector<std::string>& hosts, Timestamp now) {
        scaleIn_.mark_gone(builder, hosts, now);
    }

    // --- peers
    void set_peer_status(const peers::PeerStatus& peerStatus, Timestamp now) { peers_.receive(peerStatus, now); }
    peers::PeerStatus own_peer_status(double storeContactAgeS, Timestamp now) const;
    bool peer_has_state_service(Timestamp now) const { return peers_.any_reaches_store(now); }
    // The ids of all jobs whose cancellation is known here to be confirmed.
    std::vector<std::string> cancellations() const { return cancellations_.all(); }
    void record_cancellations(const std::vector<std::string>& ids) { cancellations_.record(ids); }
    // The incarnation of each controller of the settings in the cached state; 0 for one that is not registered.
    std::map<std::string, std::uint64_t> peer_incarnations() const;
    bool peer_heard(Timestamp now) const { return peers_.any_heard(now); }

    // The phase of the job in responses to users.
    static const char* phase_name(const state::Job& job);

  private:
    // Renews the lease of a host led by this controller. Returns false if the heartbeat is stale; it must then not be
    // answered with 200.
    bool renew_lease(const wire::Heartbeat& heartbeat, Timestamp now);

    const config::Settings& settings_;
    Tunables tunables_;
    leadership::ControllerContext context_;
    leadership::RoundSchedule schedule_;
    workers::HostTable hosts_;
    peers::PeerTable peers_;
    reconciliation::JobHistories jobHistories_;
    reconciliation::DecisionStatistics decisionStatistics_;
    leadership::CancellationRegistry cancellations_;
    commands::HostCommands hostCommands_;
    leadership::ShardAssignment assignment_;
    leadership::StateLimitPolicy limits_;
    failover::HostFailover failover_;
    autoscaling::CloudRole cloudRole_;
    autoscaling::IdleHosts idleHosts_;
    autoscaling::ScaleInPolicy scaleIn_;
    scheduling::HostEligibility eligibility_;
    scheduling::PlacementModel placementModel_;
    scheduling::DemandHistory demand_;
    scheduling::QueueOrder queueOrder_;
    scheduling::HeldBackJobs heldBack_;
    scheduling::Preemption preemption_;
    scheduling::SchedulingPlanner planner_;
    reconciliation::TaskReconciler reconciler_;

    HeartbeatStatistics heartbeatStatistics_;
    int firstStage_ = 0;  // the stage that begins the next round; rotates while transactions are full
    struct PendingHost {
        ScaleOutRequest request;
        double sinceS;
    };
    std::map<std::string, PendingHost> pendingHosts_;  // rented hosts that have not registered yet, by name
    struct Backoff {
        double untilS = kNeverS;
    };
    std::map<std::string, Backoff> backoffs_;                           // after refusals, by offer key
    std::vector<std::pair<wire::JobSpec, std::uint32_t>> unmetDemand_;  // tasks without room: their needs and number
};

}  // namespace wellstair::controller
