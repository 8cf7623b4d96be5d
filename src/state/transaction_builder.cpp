#include "state/transaction_builder.hpp"

#include <algorithm>
#include <utility>

#include "state/quota_shares.hpp"

namespace wellstair::state {

using wire::Json;

namespace {

// Estimated sizes in the JSON body of a transaction, keys included.
constexpr std::size_t kTaskBytes = 80;         // an entry of a chunk
constexpr std::size_t kActiveBytes = 100;      // the active record of a job
constexpr std::size_t kChunkBytes = 100;       // a chunk without its entries
constexpr std::size_t kSubmissionBytes = 200;  // a submission without the job description
constexpr std::size_t kFinishBytes = 400;      // the end of a job
constexpr std::size_t kRemoveBytes = 100;      // the removal of a key
constexpr std::size_t kLayoutBytes = 200;      // the layout record
constexpr std::size_t kPutBytes = 8192;        // any other value

// Two thirds of the 64 KiB that a transaction may hold: the rest covers keys and the error of the estimate.
constexpr std::size_t kMaxTransactionBytes = wire::kMaxBodyBytes * 2 / 3;

Json submission(const wire::JobSpec& spec, std::int64_t atS) {
    return {{"s", to_json(spec)}, {"at", atS}};
}

}  // namespace

TransactionBuilder::TransactionBuilder(StateCache& state, const config::Settings& settings, WriteRules rules,
                                       const std::string& member, std::uint64_t memberRevision)
    : state_(state), settings_(settings), rules_(std::move(rules)), member_(member) {
    require(keys::member(member), memberRevision);
}

int TransactionBuilder::writes() const {
    int changedShares = 0;
    for (const auto& [team, reservation] : quotaReservations_) changedShares += reservation.sharesChanged;
    return static_cast<int>(sets_.size() + removes_.size() + chunks_.size() + shards_.size()) + changedShares +
           !quotaReservations_.empty();
}

bool TransactionBuilder::has_room(int writes, int conditions, std::size_t bytes) const {
    std::size_t shardBytes = 0;
    for (const auto& [key, edit] : shards_) shardBytes += edit.size.bytes();
    return this->writes() + writes <= rules_.limits.transactionOperations &&
           static_cast<int>(preconditions_.size()) + conditions <= rules_.limits.max_preconditions() &&
           bytes_ + shardBytes + bytes <= kMaxTransactionBytes;
}

bool TransactionBuilder::sets_key(const std::string& path) const {
    return std::any_of(sets_.begin(), sets_.end(), [&](const auto& entry) { return entry.first == path; });
}

void TransactionBuilder::set(const std::string& path, Json data, std::uint64_t leaseId) {
    if (leaseId) leaseIds_[path] = leaseId;
    sets_.emplace_back(path, std::move(data));
}

std::vector<Task>& TransactionBuilder::edit_chunk(Job& job, std::uint32_t chunkIndex) {
    auto [it, isNew] = chunks_.try_emplace({&job, chunkIndex});
    if (isNew) {
        const auto& chunk = job.chunks[chunkIndex];
        it->second = chunk.tasks;
        if (it->second.empty())
            it->second.resize(std::min(state_.chunk_size(), job.spec->taskCount - chunkIndex * state_.chunk_size()));
        require(keys::chunk(job.id, chunkIndex), chunk.revision);
        require(keys::active(job.id), job.activeRevision);
        bytes_ += kChunkBytes + kTaskBytes * (chunk.placed + 1);
    }
    return it->second;
}

// Each controller has a share of each team's quota, and its placements are serialized because each writes its placer
// key. As long as its own share suffices, placements of other controllers can neither invalidate its placements nor
// conflict with them. To get more quota it redistributes the shares, on condition that no controller whose share
// shrinks has made a placement in the meantime.
bool TransactionBuilder::reserve_quota(const std::string& teamName, QuotaAmount amount) {
    const config::Team* team = settings_.team(teamName);
    if (!team) return true;
    static const TeamRecord kEmptyRecord;
    auto it = state_.teams().find(teamName);
    const TeamRecord& record = it == state_.teams().end() ? kEmptyRecord : it->second;
    auto [entry, isNew] = quotaReservations_.try_emplace(teamName);
    QuotaReservation& reservation = entry->second;
    if (isNew) reservation.shares = record.shares;
    const QuotaAmount limit = quota_limit(*team);
    const QuotaAmount total = record.total + reservation.reserved + amount;
    if (exceeds(total, limit)) {
        if (isNew) quotaReservations_.erase(entry);
        return false;
    }
    const QuotaAmount needed = used_by(record, member_) + reservation.reserved + amount;
    if (exceeds(needed, reservation.shares[member_])) {
        const QuotaNeed need{member_, needed, total, limit};
        if (!grow_share(reservation.shares, need, settings_)) {
            QuotaShares next = redistribute_shares(record, need, settings_);
            require_no_placements_by_shrinking_shares(reservation.shares, next);
            reservation.shares = std::move(next);
        }
        reservation.sharesChanged = true;
    }
    reservation.reserved += amount;
    require(keys::team(teamName), record.revision);
    require(keys::placer(member_), state_.placer_revision(member_));
    return true;
}

void TransactionBuilder::require_no_placements_by_shrinking_shares(const QuotaShares& before,
                                                                   const QuotaShares& after) {
    for (const auto& [name, share] : before) {
        auto it = after.find(name);
        const QuotaAmount next = it == after.end() ? QuotaAmount{} : it->second;
        const bool shrinks = next.cores < share.cores || next.gpus < share.gpus;
        if (name != member_ && shrinks) require(keys::placer(name), state_.placer_revision(name));
    }
}

std::size_t TransactionBuilder::submission_size(const wire::JobSpec& spec) {
    constexpr std::int64_t kLongestWallS = 9'999'999'999;  // has at least as many digits as any time that is written
    return wire::to_text(submission(spec, kLongestWallS)).size();
}

std::size_t TransactionBuilder::max_submission_size(const config::StateLimits& limits) {
    return std::min(limits.value_bytes(), kMaxTransactionBytes - kSubmissionBytes);
}

bool TransactionBuilder::submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS) {
    if (sets_key(keys::active(spec.id))) return true;
    Json body = submission(spec, atS);
    std::size_t bytes = wire::to_text(body).size() + kSubmissionBytes;
    if (!has_room(2, 2, bytes)) return false;
    bytes_ += bytes;
    require(keys::job(spec.id), 0);
    set(keys::job(spec.id), std::move(body));
    set(keys::active(spec.id), ActiveRecord{owner, std::nullopt, false, 0}.encode());
    summary_.push_back("submit " + spec.id + " " + spec.jobClass + " of " + spec.team);
    return true;
}

void TransactionBuilder::set_active(const Job& job, const ActiveRecord& record) {
    require(keys::active(job.id), job.activeRevision);
    set(keys::active(job.id), record.encode());
}

bool TransactionBuilder::cancel(Job& job, std::int64_t atS) {
    if (sets_key(keys::active(job.id))) return true;
    if (!has_room(1, 1, kActiveBytes)) return false;
    bytes_ += kActiveBytes;
    set_active(job, {job.owner, std::nullopt, true, atS});
    summary_.push_back("cancel " + job.id);
    return true;
}

bool TransactionBuilder::stop_attempt(Job& job, std::uint32_t attempt) {
    if (sets_key(keys::active(job.id))) return true;
    if (!has_room(1, 1, kActiveBytes)) return false;
    bytes_ += kActiveBytes;
    set_active(job, {job.owner, attempt, false, 0});
    summary_.push_back("stop " + job.id);
    return true;
}

bool TransactionBuilder::zone_constraint_spans_chunks(const Job& job) {
    return (job.spec->coLocated || job.spec->spread) && job.chunks.size() > 1;
}

TransactionBuilder::PlacementCost TransactionBuilder::placement_cost(Job& job, const Placements& tasks) const {
    constexpr std::size_t kPlacementChunkBytes = 200;  // estimate per chunk, besides the placed tasks
    PlacementCost cost;
    std::set<const HostShard*> shards;
    for (const auto& [index, host] : tasks) {
        cost.chunks.insert(state_.chunk_of(index));
        shards.insert(host->shard);
    }
    for (std::uint32_t chunk : cost.chunks) cost.writes += !chunks_.count({&job, chunk});
    if (quotaReservations_.empty()) ++cost.writes;
    // Any job of a team may require its shares to be redistributed, even if earlier ones fitted into the present share.
    // Counting this write only for the team's first job let transactions with many teams exceed the limit, so that none
    // of them was applied.
    auto reservation = quotaReservations_.find(job.spec->team);
    if (reservation == quotaReservations_.end() || !reservation->second.sharesChanged) ++cost.writes;
    if (zone_constraint_spans_chunks(job)) ++cost.writes;
    cost.bytes = kTaskBytes * tasks.size() + cost.chunks.size() * kPlacementChunkBytes;
    cost.conditions = static_cast<int>(cost.chunks.size() + 3) + settings_.controller_count();
    cost.shards = static_cast<int>(shards.size());
    return cost;
}

bool TransactionBuilder::chunks_have_room(Job& job, const Placements& tasks, const std::set<std::uint32_t>& chunks,
                                          std::uint32_t attempt, std::int64_t atS) {
    for (std::uint32_t chunk : chunks) {
        std::size_t addedBytes = 0;
        for (const auto& [index, host] : tasks) {
            if (state_.chunk_of(index) != chunk) continue;
            const ChunkRecord::Entry entry{index % state_.chunk_size(), attempt, host->name,
                                           host->fencingToken,          atS,     member_};
            addedBytes += entry.size_bound();
        }
        if (!chunk_has_room(job, chunk, addedBytes)) return false;
    }
    return true;
}

// Under the lowered limits, a gang whose tasks are spread over many shards has more keys to compare than a transaction
// may hold. Comparing the shards only reduces the number of stale placements. A stale placement is harmless because it
// names the host's fencing token: a leader starts no task under a different token, and a task that is absent and has a
// different token, or whose host's record was removed, is proven to be terminated. Earlier versions rely on the
// comparison, so it stays until none of them can run.
bool TransactionBuilder::place(Job& job, const Placements& tasks, std::uint32_t attempt, std::int64_t atS) {
    const PlacementCost cost = placement_cost(job, tasks);
    const bool compareShards = has_room(cost.writes, cost.conditions + cost.shards, cost.bytes);
    const bool maySkipComparison = rules_.splitShards && tasks.size() > 1;
    if (!compareShards && !(maySkipComparison && has_room(cost.writes, cost.conditions, cost.bytes))) return false;
    if (!chunks_have_room(job, tasks, cost.chunks, attempt, atS))
        return true;  // retried once other tasks of the chunk end
    const auto count = static_cast<std::int64_t>(tasks.size());
    const QuotaAmount amount{count * to_thousandths(job.spec->cores), count * to_thousandths(job.spec->gpus)};
    if (!reserve_quota(job.spec->team, amount)) return true;  // retried once other tasks of the team end
    if (zone_constraint_spans_chunks(job) && !sets_key(keys::active(job.id)))
        set_active(job, {job.owner, job.stopAttempt, false, 0});
    for (const auto& [index, host] : tasks) {
        Task& task = edit_chunk(job, state_.chunk_of(index))[index % state_.chunk_size()];
        task.state.transition_to(TaskState::placed);
        task.attempt = attempt;
        task.host = host;
        task.fencingToken = host->fencingToken;
        task.placedAtS = atS;
        task.quotaOwner = member_;
        if (compareShards) require_unchanged(*host->shard);
    }
    bytes_ += kTaskBytes * tasks.size();
    summary_.push_back("place " + job.id);
    return true;
}

bool TransactionBuilder::chunk_has_room(Job& job, std::uint32_t chunkIndex, std::size_t addedBytes) {
    if (rules_.rejectedKeys.count(keys::chunk(job.id, chunkIndex))) return false;
    auto it = chunks_.find({&job, chunkIndex});
    const std::vector<Task>& tasks = it == chunks_.end() ? job.chunks[chunkIndex].tasks : it->second;
    return StateCache::chunk_record(tasks).size_bound() + addedBytes <= rules_.limits.value_bytes();
}

bool TransactionBuilder::release_task(Job& job, std::uint32_t index, TaskState to) {
    std::uint32_t chunkIndex = state_.chunk_of(index);
    if (rules_.rejectedKeys.count(keys::chunk(job.id, chunkIndex))) return true;
    if (!has_room(!chunks_.count({&job, chunkIndex}), 4,
                  kTaskBytes * (job.chunks[chunkIndex].placed + 1) + kChunkBytes))
        return false;
    Task& task = edit_chunk(job, chunkIndex)[index % state_.chunk_size()];
    if (task.host->shard) require_unchanged(*task.host->shard);  // a removed record stays removed
    summary_.push_back("release " + wire::task_id(job.id, index) + " from " + task.host->name);
    task.state.transition_to(to);
    task.host = nullptr;
    task.fencingToken = 0;
    task.placedAtS = 0;
    task.quotaOwner.clear();
    return true;
}

bool TransactionBuilder::finish(Job& job, JobState to) {
    int chunks = 0;
    for (const auto& chunk : job.chunks) chunks += chunk.revision != 0;
    int conditions = 1 + static_cast<int>(job.chunks.size());
    bool withChunks = has_room(2 + chunks, conditions, kFinishBytes);
    // A job with more chunks than fit into one transaction leaves them to garbage collection, so that the end of the
    // job always fits.
    bool neverFits =
        2 + chunks > rules_.limits.transactionOperations || conditions >= rules_.limits.max_preconditions();
    if (!withChunks && !((neverFits || writes() == 0) && has_room(2, 1, kFinishBytes))) return false;
    require(keys::active(job.id), job.activeRevision);
    set(keys::job(job.id), {{"f", to == JobState::done ? "done" : "aborted"}});
    removes_.insert(keys::active(job.id));
    if (withChunks)
        for (std::uint32_t i = 0; i < job.chunks.size(); ++i)
            if (job.chunks[i].revision) {
                require(keys::chunk(job.id, i), job.chunks[i].revision);
                removes_.insert(keys::chunk(job.id, i));
            }
    summary_.push_back(std::string("finish ") + job.id);
    return true;
}

bool TransactionBuilder::garbage_collect(const std::string& path, std::uint64_t revision) {
    if (!has_room(1, 1, kRemoveBytes)) return false;
    require(path, revision);
    removes_.insert(path);
    return true;
}

bool TransactionBuilder::switch_layout(const LayoutRecord& layout) {
    if (!has_room(1, 1 + static_cast<int>(state_.members().size()), kLayoutBytes)) return false;
    for (const auto& [name, member] : state_.members()) require(keys::member(name), member.revision);
    require(keys::kLayout, state_.layout_revision());
    set(keys::kLayout, layout.encode());
    summary_.push_back("switch to layout " + std::to_string(layout.version));
    return true;
}

bool TransactionBuilder::put(const std::string& path, std::uint64_t revision, Json data, std::uint64_t leaseId) {
    if (sets_key(path)) return true;
    if (!has_room(1, 1, kPutBytes)) return false;
    bytes_ += kPutBytes;
    require(path, revision);
    set(path, std::move(data), leaseId);
    summary_.push_back("put " + path);
    return true;
}

Transaction TransactionBuilder::build() const {
    Json preconditions = Json::array(), apply = Json::array();
    for (const auto& [path, revision] : preconditions_) preconditions.push_back({{"path", path}, {"stamp", revision}});
    auto add = [&](const std::string& path, Json data) {
        Json operation = {{"set", path}, {"data", std::move(data)}};
        if (auto it = leaseIds_.find(path); it != leaseIds_.end()) operation["hold"] = it->second;
        apply.push_back(std::move(operation));
    };
    for (const auto& [path, data] : sets_) add(path, data);
    for (const auto& [key, tasks] : chunks_)
        add(keys::chunk(key.first->id, key.second), StateCache::chunk_record(tasks).encode());
    for (const auto& [key, edit] : shards_) {
        std::vector<HostEntry> hosts;
        for (const auto& [name, host] : edit.hosts) hosts.push_back(host);
        if (hosts.empty())
            apply.push_back({{"remove", key}});
        else
            add(key, encode_shard(hosts));
    }
    for (const auto& [team, reservation] : quotaReservations_)
        if (reservation.sharesChanged) add(keys::team(team), encode_quota_shares(reservation.shares));
    if (!quotaReservations_.empty()) add(keys::placer(member_), Json::object());
    for (const std::string& path : removes_) apply.push_back({{"remove", path}});
    Transaction transaction;
    transaction.writes = writes();
    transaction.body = {{"when", std::move(preconditions)}, {"apply", std::move(apply)}};
    transaction.summary = summary_;
    return transaction;
}

}  // namespace wellstair::state
