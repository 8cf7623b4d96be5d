// Compares what hosts report with what is placed on them: takes in the contents of heartbeats, releases the tasks that
// are proven to be done or gone, and finishes jobs whose tasks have all ended.
//
// It compares states rather than handling events: a message that was lost, late, or overtaken by another controller's
// transaction shows in the next comparison. Owns nothing beside references: the trackers, job histories and due hosts
// that it changes belong to others. Single-threaded, free of I/O.
#pragma once

#include <map>

#include "common/timestamp.hpp"
#include "leadership/cancellation_registry.hpp"
#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "reconciliation/job_history.hpp"
#include "reconciliation/task_failure_recorder.hpp"
#include "reconciliation/termination_proof.hpp"
#include "state/transaction_builder.hpp"
#include "workers/host_table.hpp"

namespace wellstair::reconciliation {

class TaskReconciler {
  public:
    TaskReconciler(leadership::ControllerContext& context, const leadership::CancellationRegistry& cancellations,
                   workers::HostTable& hosts, JobHistories& histories, leadership::RoundSchedule& schedule);

    // Takes in what a host led here reports, unless something newer is known. `source`: only a heartbeat that the
    // worker sent itself confirms a fencing token.
    void apply_status(const wire::Heartbeat& heartbeat, workers::StatusSource source, Timestamp now);
    // The cached state shows a change of the task. Called during the event that ControllerContext::now is about.
    void on_task_change(state::Job& job, std::uint32_t index, const state::Task& before, const state::Task& after);

    // Stops what runs on hosts that are being returned, and releases the tasks of the due hosts that are proven to be
    // done or gone. A full transaction asks for another round.
    void release_finished_tasks(state::TransactionBuilder& builder, Timestamp now);
    // Ends the jobs whose tasks have all ended and that this controller is responsible for, then removes the task
    // chunks of jobs that are over, if `collectGarbage`. A full transaction asks for another round.
    void finish_jobs(state::TransactionBuilder& builder, bool collectGarbage);

    // Whether the host holds a replica of a service that is not cancelled.
    bool holds_service(const state::HostRecord& host) const;

  private:
    using ObservedTasks = std::map<workers::TaskKey, workers::ObservedTask>;

    // Handles the tasks whose attempt or phase differs from `before`. Whether there are any.
    bool apply_task_changes(state::HostRecord& host, workers::HostTracker& tracker, const ObservedTasks& before,
                            Timestamp now);
    void record_running(state::HostRecord& host, const workers::TaskKey& key, Timestamp now);
    // False if the transaction has no room left.
    bool release_tasks_of(state::HostRecord& host, state::TransactionBuilder& builder, Timestamp now);
    void stop_for_return(const state::TaskRef& ref, workers::HostTracker& tracker, state::TransactionBuilder& builder,
                         Timestamp now);
    // Whether the replica may be stopped to start elsewhere: replicas move one at a time.
    bool may_move_replica(const state::Job& job, std::uint32_t index, Timestamp now) const;

    leadership::ControllerContext& context_;
    const leadership::CancellationRegistry& cancellations_;
    workers::HostTable& hosts_;
    JobHistories& histories_;
    leadership::RoundSchedule& schedule_;
    TaskFailureRecorder failureRecorder_;
    TerminationProver prover_;
};

}  // namespace wellstair::reconciliation
