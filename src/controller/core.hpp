// Every decision of a controller, free of I/O: heartbeats, requests and the watch come in, transactions, commands and
// answers go out. Time is passed in, so that kept traces replay on a virtual clock.
//
// Reconciliation is level-triggered: each round compares what the state service holds with what the heartbeats of the
// hosts show, and proposes the next transaction. Whatever was lost, late or done by another process shows in the next
// comparison. Core owns the components and orders them in a round; each component owns its state. Single-threaded.
#pragma once

#include <memory>
#include <unordered_map>

#include "autoscaling/cloud_role.hpp"
#include "autoscaling/scale_in_policy.hpp"
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

// The answer to a user's request: HTTP status, body, and seconds after which to retry (0: no such header).
struct UserResponse {
    int status = 200;
    wire::Json body;
    double retryAfterS = 0;
};

// What a worker's heartbeat is answered with.
struct HeartbeatResponse {
    enum Kind {
        renewed,    // 200: the worker's lease is renewed, and counted here
        acquiring,  // the host's registration is on its way to the state service: ask again
        redirect,   // 421: another controller leads it
        refuse,     // 503
    } kind = refuse;
    std::string leader;       // redirect: whom it should send its heartbeats to
    std::uint64_t token = 0;  // renewed: the fencing token
    std::vector<wire::Command> commands;
};

// Machines of one type and zone, ordinary or spot, to be rented.
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
    // The watch lost its place: everything is read again.
    void reset_state();
    void set_state_ready(bool ready) { context_.set_state_ready(ready); }
    bool state_ready() const { return context_.state_ready(); }
    // 0: this process is not registered.
    std::uint64_t member_revision() const { return context_.member_revision(); }
    void set_availability(state::Availability next, Timestamp now) { context_.set_availability(next, now); }
    state::Availability availability() const { return context_.availability(); }
    std::uint64_t incarnation() const { return context_.incarnation(); }

    // --- users
    // The answer to a repeat of a known submission: the job is final, or open and the cached state is current.
    std::optional<UserResponse> find_submission(const std::string& id);
    // The cached state must be current, unless the job is final.
    UserResponse job_status(const std::string& id);
    // Why the job can never run; nothing if it can. `undetermined` when the machine types are not known yet.
    std::optional<std::string> infeasibility_reason(const wire::JobSpec& spec, bool& undetermined) const;

    // --- workers
    // Answers a worker's heartbeat. The only place that grants an answer of 200, which renews the worker's lease, and
    // counts that lease from the same moment.
    HeartbeatResponse handle_heartbeat(const wire::Heartbeat& r, Timestamp now);
    // The status that a command was answered with: it shows what is on the host and renews no lease.
    void handle_command_reply(const wire::Heartbeat& r, Timestamp now);
    std::vector<wire::Command> commands_for(const std::string& host, bool byCommand, Timestamp now);
    // Commands that should go out now rather than with their hosts' next heartbeats.
    std::vector<std::pair<std::string, std::vector<wire::Command>>> commands_due(Timestamp now);
    void on_commands_sent(const std::string& host, const std::vector<wire::Command>& commands, Timestamp now);
    void on_commands_answered(const std::string& host, const std::vector<wire::Command>& commands, bool answered,
                              std::uint64_t fencingToken);
    HeartbeatStatistics& heartbeat_statistics() { return heartbeatStatistics_; }
    // Asks the next round to register the host here.
    void request_acquisition(const wire::Heartbeat& r) { failover_.request_acquisition(r); }
    workers::HostTracker* tracker(const std::string& host) { return hosts_.find(host); }

    // --- rounds
    // The next transaction of this controller, empty if there is nothing to do.
    state::TransactionBuilder round(Timestamp now);
    // Finds hosts that have become silent and leases that have expired. Returns whether there are any.
    bool advance_time(Timestamp now);
    bool round_due() const { return schedule_.round_due(); }
    void request_round() { schedule_.request_round(); }
    // A transaction was not applied: everything is proposed again.
    void request_replan() { schedule_.request_replan(); }
    state::TransactionBuilder new_transaction();
    // What transactions keep to: the present limits of the state service, or the lower of these and the announced ones.
    config::StateLimits state_limits() const { return limits_.limits(); }
    // The state service refused a transaction that wrote these keys as malformed.
    void handle_rejected_transaction(const std::vector<std::string>& keys, Timestamp now) {
        limits_.handle_rejected_transaction(keys, now);
    }
    // What a registration under this process's lease says.
    state::MemberData member_data() const { return limits_.member_data(); }
    // The layout of the stored keys that this process's settings lead to.
    state::LayoutRecord own_layout() const { return limits_.own_layout(); }

    // --- cloud (the holder of the role)
    bool holds_cloud_role() const { return cloudRole_.held_here(); }
    bool may_take_cloud_role() const { return cloudRole_.may_acquire(); }
    bool take_cloud_role(state::TransactionBuilder& builder, std::uint64_t leaseId) const {
        return cloudRole_.acquire(builder, leaseId);
    }
    bool may_call_cloud() const { return cloudRole_.may_call_cloud(); }
    void set_machines(std::vector<wire::Machine> machines, Timestamp now);
    // Finds what lacks room; once for a series of scale-out requests.
    void plan_scale_out(Timestamp now);
    std::vector<ScaleOutRequest> scale_out_requests(Timestamp now);
    void record_rented(const ScaleOutRequest& order, const std::vector<std::string>& hosts, Timestamp now);
    void record_refused(const ScaleOutRequest& order, Timestamp now);
    std::vector<std::string> scale_in_due(Timestamp now) const { return scaleIn_.due(now); }
    void mark_gone(state::TransactionBuilder& builder, const std::vector<std::string>& hosts, Timestamp now) {
        scaleIn_.mark_gone(builder, hosts, now);
    }

    // --- peers
    void set_peer_status(const peers::PeerStatus& peerStatus, Timestamp now) { peers_.receive(peerStatus, now); }
    peers::PeerStatus own_peer_status(double storeAgeS, Timestamp now) const;
    bool peer_has_state_service(Timestamp now) const { return peers_.any_has_state_service(now); }
    // All cancellations that are confirmed, as far as this controller knows.
    std::vector<std::string> cancellations() const { return cancellations_.all(); }
    void record_cancellations(const std::vector<std::string>& ids) { cancellations_.record(ids); }
    // The incarnation of each other controller by the last read, 0 for one that is not registered.
    std::map<std::string, std::uint64_t> peer_incarnations() const;
    bool peer_heard(Timestamp now) const { return peers_.any_heard(now); }

    static const char* phase_name(const state::Job& job);

  private:
    // Whether a heartbeat of a host led here may be answered with 200; then the lease is counted from now.
    bool renew_lease(const wire::Heartbeat& r, Timestamp now);
    bool in_sync(const state::HostRecord& h, const workers::HostTracker& n) const;
    void log_start(const state::HostRecord& h, const wire::Command& start, const char* sentBy, Timestamp now) const;
    void add_blind_stops(const state::HostRecord& h, const workers::HostTracker& n,
                         std::vector<wire::Command>& all) const;

    const config::Settings& settings_;
    Tunables tunables_;
    leadership::ControllerContext context_;
    leadership::RoundSchedule schedule_;
    workers::HostTable hosts_;
    peers::PeerTable peers_;
    reconciliation::JobHistories jobHistories_;
    leadership::CancellationRegistry cancellations_;
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
    int firstStage_ = 0;  // of a round: rotates while transactions are full
    struct PendingHost {
        ScaleOutRequest what;
        double sinceS;
    };
    std::map<std::string, PendingHost> pendingHosts_;
    struct Backoff {
        double untilS = -1e9;
    };
    std::map<std::string, Backoff> backoffs_;
    std::vector<std::pair<wire::JobSpec, std::uint32_t>> unmetDemand_;  // tasks without room: what they need, how many
};

}  // namespace wellstair::controller
