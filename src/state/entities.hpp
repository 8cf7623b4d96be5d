// In-memory object model of the stored state: jobs and their tasks, hosts and the tasks placed on them, teams and
// members. StateCache owns these objects and is the only one to modify them; all other code reads.
#pragma once

#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/cache.hpp"
#include "state/records.hpp"
#include "state/states.hpp"
#include "wire/messages.hpp"

namespace wellstair::state {

struct HostRecord;
struct HostShard;

// A task of a job. It is `placed` from the moment the intent to start it is stored until its termination is proven.
struct Task {
    StateMachine<TaskState, TaskTraits> state{TaskState::open};
    std::uint32_t attempt = 0;       // number of the latest attempt; 0: none yet
    HostRecord* host = nullptr;      // set while placed
    std::uint64_t fencingToken = 0;  // the host's fencing token at placement
    std::int64_t placedAtS = 0;      // wall-clock time at which the intent was stored
    std::string quotaOwner;          // the member whose quota share the task is charged to
};

// A range of a job's tasks that is stored under one key.
struct Chunk {
    std::uint64_t revision = 0;  // 0: never written, all tasks are open
    std::vector<Task> tasks;     // empty until the first write
    std::uint32_t done = 0, placed = 0;
};

struct Job {
    std::string id;
    std::optional<wire::JobSpec> spec;
    StateMachine<JobState, JobTraits> state{JobState::active};
    std::uint64_t jobRevision = 0, activeRevision = 0;
    std::uint64_t submissionRevision = 0;  // orders the queue
    std::int64_t submittedAtS = 0;         // wall-clock time of the submission
    std::string owner;
    std::uint32_t stopAttempt = 0;  // gang: the attempt being stopped with a grace period for checkpoints
    std::int64_t cancelledAtS = 0;  // wall-clock time, at or before the confirmation to the user
    std::vector<Chunk> chunks;
    std::uint32_t done = 0, placed = 0;

    // Whether both the description and the active record have been read.
    bool loaded() const { return spec && activeRevision; }
    std::uint32_t open() const { return spec->taskCount - done - placed; }
    bool gang() const { return spec->kind == wire::JobKind::gang; }
    // Derived from the task states.
    GangState gang_state() const;
    // Whether the tasks must be scheduled all or nothing; a gang of one task is treated like a batch job.
    bool multi_task_gang() const { return gang() && spec->taskCount > 1; }
    bool service() const { return spec->service(); }
    // Whether this is a service with a lost replica, i.e. an open task that has run before.
    bool lost_replica() const;
    // Returns a copy because a chunk that was never written holds no tasks to refer to.
    Task task(std::uint32_t index, std::uint32_t chunkSize) const;
};

// Identifies a task by its job and its index in the job.
struct TaskRef {
    Job* job;
    std::uint32_t index;
    bool operator==(const TaskRef&) const = default;
};

// A group of hosts of one zone that is stored under one key.
struct HostShard {
    std::string key, zone;
    std::uint64_t revision = 0;
    std::uint32_t number = 0;  // used to distribute the shards over the controllers
    std::uint32_t part = 0;    // 0: the original shard, where new hosts are registered; others were split off it
    std::vector<HostRecord*> hosts;
    ShardSize size;  // of the encoded value
};

// A host with the state that follows from its shard and its tasks.
struct HostRecord : HostEntry {
    std::string zone;
    HostShard* shard = nullptr;  // null: no shard lists the host, only placed tasks refer to it
    double registeredS = 0;      // wall-clock time at which the registration was observed
    std::vector<TaskRef> placed;
    placement::ImageCache cache;

    bool registered() const { return fencingToken != 0; }
    // Whether it is being returned to the cloud, or has been.
    bool returning() const { return returnState != ReturnState::none; }
    // Whether the cloud has confirmed the return.
    bool gone() const { return returnState == ReturnState::gone; }
    // Whether its record was removed, which happens only after the cloud has confirmed the machine's termination.
    bool removed() const { return !shard && !registered(); }
};

// A team's quota, divided into one share per controller so that each controller places tasks without coordinating with
// the others. The usage is derived from the placed tasks, each of which names the controller whose share it uses.
struct TeamRecord {
    std::uint64_t revision = 0;
    QuotaShares shares;
    std::map<std::string, QuotaAmount> used;  // by controller
    QuotaAmount total;                        // of `used`
};

// A registered controller process; the record exists as long as its lease.
struct MemberRecord {
    std::uint64_t revision = 0, incarnation = 0;
    double joinedAtS = 0;      // wall-clock time at which its registration was observed
    std::uint32_t layout = 0;  // newest layout version that the process can write
};

// The final state of a job; never deleted.
struct JobOutcome {
    JobState state;
    std::uint64_t revision;
};

// Quota amounts are stored and summed as integer thousandths.
inline std::int64_t to_thousandths(double amount) {
    return std::llround(amount * 1000);
}

}  // namespace wellstair::state
