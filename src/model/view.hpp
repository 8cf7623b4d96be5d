// The typed picture of what the state service holds. Built from reads and from the watch alone; nothing here is a
// guess.
#pragma once

#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/records.hpp"
#include "model/states.hpp"
#include "placement/cache.hpp"
#include "wire/messages.hpp"

namespace wellstair::model {

// The keys, all below one prefix so that a single watch sees every change.
namespace keys {
inline constexpr const char* kPrefix = "ws/";
std::string member(const std::string& name);
std::string job(const std::string& id);
std::string active(const std::string& id);
std::string chunk(const std::string& id, std::uint32_t chunk);
std::string team(const std::string& name);
std::string placer(const std::string& member);
inline constexpr const char* kCloudRole = "ws/roles/cloud";
inline constexpr const char* kTypes = "ws/types";
inline constexpr const char* kLayout = "ws/layout";
// A part of a range that was divided. Its key sorts after the range's and after those of earlier parts, and
// production's readers take the range's number from it.
std::string range_part(const std::string& range, std::uint32_t part);
// The range that a part belongs to; the range itself if it is none.
std::string undivided_range(const std::string& key);
}  // namespace keys

// The table of machines is kept in ranges, many machines to a key: their registrations are few writes, also when a
// controller takes over hundreds of them. A range holds machines of one zone, by number.
std::string range_key(const std::string& host, const std::string& hall, std::uint32_t width);

struct HostRecord;
struct HostRange;

struct Step {
    StateMachine<StepState, StepTraits> state{StepState::open};
    std::uint32_t attempt = 0;   // the last one given out
    HostRecord* host = nullptr;  // while placed
    std::uint64_t baton = 0;     // of the keepership under which it was placed
    std::int64_t atS = 0;        // time of day of the intent
    std::string payer;           // the member whose part of the team's limit it uses
};

struct Chunk {
    std::uint64_t stamp = 0;  // 0: not written yet, all steps open
    std::vector<Step> steps;  // empty until first written
    std::uint32_t done = 0, placed = 0;
};

struct Job {
    std::string id;
    std::optional<wire::JobSpec> spec;
    StateMachine<JobState, JobTraits> state{JobState::active};
    std::uint64_t jobStamp = 0, activeStamp = 0;
    std::uint64_t order = 0;  // revision of the submission
    std::int64_t atS = 0;     // time of day of the submission
    std::string owner;
    std::uint32_t stopAttempt = 0;  // gang: this attempt is being stopped in an orderly way
    std::int64_t withdrawnAtS = 0;  // time of day, not later than the confirmation to the user
    std::vector<Chunk> chunks;
    std::uint32_t done = 0, placed = 0;

    bool known() const { return spec && activeStamp; }
    std::uint32_t open() const { return spec->steps - done - placed; }
    bool gang() const { return spec->shape == wire::Shape::gang; }
    // Tasks that run all together or not at all; a gang of one is like a batch of one.
    bool wide_gang() const { return gang() && spec->steps > 1; }
    bool service() const { return spec->service(); }
    // A service that has lost a replica: some open task has run before.
    bool lost_replica() const;
    Step step(std::uint32_t index, std::uint32_t chunkSize) const;
};

struct StepRef {
    Job* job;
    std::uint32_t index;
    bool operator==(const StepRef&) const = default;
};

struct HostRange {
    std::string key, hall;
    std::uint64_t stamp = 0;
    std::uint32_t number = 0;  // spreads the ranges over the controllers
    std::uint32_t part = 0;    // 0: the range itself, where new machines are registered
    std::vector<HostRecord*> hosts;
    RangeSize size;  // of the value as it is stored
};

struct HostRecord : HostEntry {
    std::string hall;
    HostRange* range = nullptr;  // nothing: known only by tasks that were placed there
    double registeredS = 0;      // time of day at which the registration was seen
    std::vector<StepRef> placed;
    placement::ImageCache cache;

    bool registered() const { return baton != 0; }
    bool leaves() const { return leaving != Leaving::no; }
    bool gone() const { return leaving == Leaving::gone; }
    // In no range: its record was removed, which is done only after the cloud has said that the machine is gone.
    bool removed() const { return !range && !registered(); }
};

// A team's limit is divided among the controllers, so that each can place without the others' leave. What is used
// follows from the placed tasks: each names the controller whose part it uses.
struct TeamRecord {
    std::uint64_t stamp = 0;
    TeamParts parts;
    std::map<std::string, Use> used;
    Use total;  // of `used`
};

struct MemberRecord {
    std::uint64_t stamp = 0, incarnation = 0;
    double sinceS = 0;         // time of day at which it was seen to join
    std::uint32_t layout = 0;  // the newest layout that the process can write
};

struct Final {
    JobState state;
    std::uint64_t stamp;
};

inline std::int64_t milli(double amount) {
    return std::llround(amount * 1000);
}

class View {
  public:
    // `chunkSize`: tasks per chunk; `rangeWidth`: machines per range; both from the size limit of a value.
    View(std::uint32_t chunkSize, std::uint32_t rangeWidth) : chunkSize_(chunkSize), rangeWidth_(rangeWidth) {}
    View(const View&) = delete;

    // One key as read or watched; `data` null means removed. Older than what is known: ignored.
    void apply(const std::string& path, const Json* data, std::uint64_t stamp, double wallS);
    // The watch has delivered everything up to this revision.
    void advance(std::uint64_t epoch);
    std::uint64_t epoch() const { return epoch_; }

    std::uint32_t chunk_size() const { return chunkSize_; }
    std::uint32_t chunk_of(std::uint32_t index) const { return index / chunkSize_; }

    Job* job(const std::string& id);
    const Final* final(const std::string& id) const;
    HostRecord* host(const std::string& name);
    const std::map<std::string, std::unique_ptr<HostRange>>& ranges() const { return ranges_; }
    // The number for the next part of a range: higher than that of each part there is.
    std::uint32_t next_part(const HostRange& range) const;
    // The entry of a range or part by its key, made if it is new; nothing is written by that.
    HostRange& range_entry(const std::string& key);
    // The range of a machine, made if it is new; nothing is written by that.
    HostRange& range_of(const std::string& host, const std::string& hall);
    const wire::MachineType* type(const std::string& sku) const;
    double fetch_rate(const std::string& sku) const;

    // Open jobs in submission order.
    const std::map<std::uint64_t, Job*>& queue() const { return queue_; }
    const std::unordered_map<std::string, std::unique_ptr<HostRecord>>& hosts() const { return hosts_; }
    const std::map<std::string, MemberRecord>& members() const { return members_; }
    const std::map<std::string, TeamRecord>& teams() const { return teams_; }
    std::uint64_t placer_stamp(const std::string& member) const;
    const std::map<std::string, wire::MachineType>& types() const { return types_; }
    std::uint64_t types_stamp() const { return typesStamp_; }
    const std::string& cloud_role() const { return cloudRole_; }
    std::uint64_t cloud_role_incarnation() const { return cloudRoleIncarnation_; }
    std::uint64_t cloud_role_stamp() const { return cloudRoleStamp_; }
    const LayoutRecord& layout() const { return layout_; }
    std::uint64_t layout_stamp() const { return layoutStamp_; }
    // Chunks whose job is over, by key: to be removed.
    const std::map<std::string, std::uint64_t>& leftovers() const { return leftovers_; }
    bool member_live(const std::string& name) const { return members_.count(name) > 0; }

    static ChunkRecord chunk_record(const std::vector<Step>& steps);

    // Called for every step that changes: the controller keeps its own notes by these.
    std::function<void(Job&, std::uint32_t index, const Step& before, const Step& after)> on_step;
    // Called when a host is registered anew: everything noted under the last baton proves nothing any more.
    std::function<void(HostRecord&)> on_registered;
    // Called when a host is being returned, or gone.
    std::function<void(HostRecord&)> on_leaving;
    // Called when the record of a machine was removed: it is gone for good.
    std::function<void(HostRecord&)> on_removed;
    // Called when a job is withdrawn, or its attempt is to stop.
    std::function<void(Job&)> on_stop;

  private:
    Job& job_entry(const std::string& id);
    void enqueue(Job& job);
    void drop_if_over(const std::string& id);
    void apply_job(const std::string& id, const Json* data, std::uint64_t stamp);
    void apply_active(const std::string& id, const Json* data, std::uint64_t stamp);
    void apply_chunk(const std::string& path, const std::string& rest, const Json* data, std::uint64_t stamp,
                     double wallS);
    void set_steps(Job& job, std::uint32_t chunk, std::vector<Step> steps, double wallS);
    void change_step(Job& job, std::uint32_t index, Step& step, const Step& next, double wallS);
    void apply_range(const std::string& key, const std::string& rest, const Json* data, std::uint64_t stamp,
                     double wallS);
    void change_host(HostRecord& host, const HostEntry& next, HostRange& range, double wallS);
    void charge(const Job& job, const Step& step, int by);
    HostRecord& host_entry(const std::string& name);
    void drop_host_if_unused(const std::string& name);

    std::uint32_t chunkSize_, rangeWidth_;
    std::uint64_t epoch_ = 0;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::unordered_map<std::string, Final> finals_;
    std::map<std::uint64_t, Job*> queue_;
    std::unordered_map<std::string, std::unique_ptr<HostRecord>> hosts_;
    std::map<std::string, std::unique_ptr<HostRange>> ranges_;
    std::map<std::string, std::uint64_t> placers_;
    std::map<std::string, MemberRecord> members_;
    std::map<std::string, TeamRecord> teams_;
    std::map<std::string, wire::MachineType> types_;
    std::uint64_t typesStamp_ = 0;
    std::string cloudRole_;
    std::uint64_t cloudRoleStamp_ = 0, cloudRoleIncarnation_ = 0;
    std::map<std::string, std::uint64_t> leftovers_;
    LayoutRecord layout_;
    std::uint64_t layoutStamp_ = 0;
    // Machines that a range no longer lists. A machine that was moved is listed by another key of the same revision:
    // whether it has gone is known when the revision is complete.
    std::vector<std::string> unlisted_;
};

}  // namespace wellstair::model
