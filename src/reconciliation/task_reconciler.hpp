// Reconciles the tasks that hosts report with those placed on them: applies statuses, releases tasks that are proven to
// be done or gone, and finishes jobs whose tasks have all ended.
//
// Reconciliation compares states rather than handling events, so a message that was lost, late, or overtaken by another
// controller's transaction is corrected by the next comparison. Owns only references: the trackers, job histories and
// due hosts that it changes belong to other components. Single-threaded, free of I/O.
#pragma once

#include <map>

#include "common/timestamp.hpp"
#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "reconciliation/decision_statistics.hpp"
#include "reconciliation/job_history.hpp"
#include "reconciliation/release_log.hpp"
#include "reconciliation/task_failure_recorder.hpp"
#include "reconciliation/termination_proof.hpp"
#include "state/transaction_builder.hpp"
#include "workers/host_table.hpp"

namespace wellstair::reconciliation {

class TaskReconciler {
  public:
    TaskReconciler(leadership::ControllerContext& context, const leadership::CancellationRegistry& cancellations,
                   workers::HostTable& hosts, JobHistories& histories, leadership::RoundSchedule& schedule,
                   DecisionStatistics& statistics);

    // Applies the status of a host led by this controller, unless a newer one has been applied. Only a heartbeat sent
    // by the worker confirms a fencing token; the reply to a command does not.
    void apply_status(const wire::Heartbeat& heartbeat, workers::StatusSource source, Timestamp now);
    // Handles a change of the task in the cached state. ControllerContext::now is the time of that change.
    void on_task_change(state::Job& job, std::uint32_t index, const state::Task& before, const state::Task& after);

    // Handles that the cached state is discarded and read again.
    void reset_state() { releaseLog_.clear(); }

    // For the due hosts, stops the tasks on those that are being returned and releases the tasks that are proven to be
    // done or gone. Requests another round if the transaction is full.
    void release_finished_tasks(state::TransactionBuilder& builder, Timestamp now);
    // Finishes the jobs of this controller whose tasks have all ended and requests another round if the transaction is
    // full. With `collectGarbage`, also removes the task chunks of jobs that have ended.
    void finish_jobs(state::TransactionBuilder& builder, bool collectGarbage);

    // Whether a replica of a service that is not cancelled is placed on the host.
    bool holds_service(const state::HostRecord& host) const;

  private:
    using ObservedTasks = std::map<workers::TaskKey, workers::ObservedTask>;

    // Handles the tasks whose attempt or phase differs from `before`. Returns whether there are any.
    bool apply_task_changes(state::HostRecord& host, workers::HostTracker& tracker, const ObservedTasks& before,
                            Timestamp now);
    void record_running(state::HostRecord& host, const workers::TaskKey& key, Timestamp now);
    // Returns false if the transaction is full.
    bool release_tasks_of(state::HostRecord& host, state::TransactionBuilder& builder, Timestamp now);
    void stop_for_return(const state::TaskRef& ref, workers::HostTracker& tracker, state::TransactionBuilder& builder,
                         Timestamp now);
    // Whether the replica may be stopped in order to start on another host. Replicas of a service move one at a time.
    bool may_move_replica(const state::Job& job, std::uint32_t index, Timestamp now) const;

    leadership::ControllerContext& context_;
    const leadership::CancellationRegistry& cancellations_;
    workers::HostTable& hosts_;
    JobHistories& histories_;
    leadership::RoundSchedule& schedule_;
    TaskFailureRecorder failureRecorder_;
    TerminationProver prover_;
    ReleaseLog releaseLog_;
};

}  // namespace wellstair::reconciliation
