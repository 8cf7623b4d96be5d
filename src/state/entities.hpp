// What the state service holds, as linked objects: jobs with their tasks, hosts with what is placed on them, teams and
// members. Owned by StateCache and changed by it alone; everybody else reads.
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

// A task of a job. `placed` from the durable intent to start it until the proof that it is gone.
struct Task {
    StateMachine<TaskState, TaskTraits> state{TaskState::open};
    std::uint32_t attempt = 0;       // the last one given out
    HostRecord* host = nullptr;      // while placed
    std::uint64_t fencingToken = 0;  // of its host when it was placed
    std::int64_t placedAtS = 0;      // time of day of the intent
    std::string quotaOwner;          // the member whose share of the team's quota it uses
};

// Tasks that are stored under one key.
struct Chunk {
    std::uint64_t revision = 0;  // 0: not written yet, all tasks open
    std::vector<Task> tasks;     // empty until first written
    std::uint32_t done = 0, placed = 0;
};

struct Job {
    std::string id;
    std::optional<wire::JobSpec> spec;
    StateMachine<JobState, JobTraits> state{JobState::active};
    std::uint64_t jobRevision = 0, activeRevision = 0;
    std::uint64_t submissionRevision = 0;  // revision of the submission
    std::int64_t submittedAtS = 0;         // time of day of the submission
    std::string owner;
    std::uint32_t stopAttempt = 0;  // gang: this attempt is being stopped with time for checkpoints
    std::int64_t cancelledAtS = 0;  // time of day, not later than the confirmation to the user
    std::vector<Chunk> chunks;
    std::uint32_t done = 0, placed = 0;

    // Whether both of its records have been read.
    bool loaded() const { return spec && activeRevision; }
    std::uint32_t open() const { return spec->taskCount - done - placed; }
    bool gang() const { return spec->kind == wire::JobKind::gang; }
    // Follows from the states of the tasks.
    GangState gang_state() const;
    // Tasks that run all together or not at all; a gang of one is like a batch of one.
    bool multi_task_gang() const { return gang() && spec->taskCount > 1; }
    bool service() const { return spec->service(); }
    // Whether it is a service that has lost a replica: some open task has run before.
    bool lost_replica() const;
    // A copy: chunks that were never written have no tasks to refer to.
    Task task(std::uint32_t index, std::uint32_t chunkSize) const;
};

struct TaskRef {
    Job* job;
    std::uint32_t index;
    bool operator==(const TaskRef&) const = default;
};

// Hosts of one zone that are stored under one key.
struct HostShard {
    std::string key, zone;
    std::uint64_t revision = 0;
    std::uint32_t number = 0;  // spreads the shards over the controllers
    std::uint32_t part = 0;    // 0: where new hosts are registered; others were split off
    std::vector<HostRecord*> hosts;
    ShardSize size;  // of the value as it is stored
};

struct HostRecord : HostEntry {
    std::string zone;
    HostShard* shard = nullptr;  // nothing: known only by tasks that were placed there
    double registeredS = 0;      // time of day at which the registration was seen
    std::vector<TaskRef> placed;
    placement::ImageCache cache;

    bool registered() const { return fencingToken != 0; }
    bool returning() const { return returnState != ReturnState::none; }
    bool gone() const { return returnState == ReturnState::gone; }
    // Its record was removed, which is done only after the cloud has confirmed that the machine is gone.
    bool removed() const { return !shard && !registered(); }
};

// A team's quota is divided into shares, one for each controller, so that each can place tasks without asking the
// others. What is used follows from the placed tasks: each names the controller whose share it uses.
struct TeamRecord {
    std::uint64_t revision = 0;
    QuotaShares shares;
    std::map<std::string, QuotaAmount> used;
    QuotaAmount total;  // of `used`
};

// A controller process that is registered, as long as its lease lasts.
struct MemberRecord {
    std::uint64_t revision = 0, incarnation = 0;
    double joinedAtS = 0;      // time of day at which it was seen to join
    std::uint32_t layout = 0;  // the newest layout that the process can write
};

// How a job has ended; kept for ever.
struct JobOutcome {
    JobState state;
    std::uint64_t revision;
};

// Amounts are stored and added up in thousandths.
inline std::int64_t to_thousandths(double amount) {
    return std::llround(amount * 1000);
}

}  // namespace wellstair::state
