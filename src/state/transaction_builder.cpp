#include "state/transaction_builder.hpp"

#include <algorithm>
#include <utility>

#include "state/quota_shares.hpp"

namespace wellstair::state {

using wire::Json;

namespace {

constexpr std::size_t kTaskBytes = 80;     // one entry of a chunk, as JSON
constexpr std::size_t kActiveBytes = 100;  // the active record of a job, with its key

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
    int moved = 0;
    for (const auto& [team, reservation] : quotaReservations_) moved += reservation.moved;
    return static_cast<int>(sets_.size() + removes_.size() + chunks_.size() + shards_.size()) + moved +
           !quotaReservations_.empty();
}

bool TransactionBuilder::room(int writes, int conditions, std::size_t bytes) const {
    // A transaction may hold 64 KiB; two thirds leave room for keys and for what the estimate misses.
    std::size_t shards = 0;
    for (const auto& [key, edit] : shards_) shards += edit.size.bytes();
    return this->writes() + writes <= rules_.limits.transactionOperations &&
           static_cast<int>(preconditions_.size()) + conditions <= rules_.limits.max_preconditions() &&
           bytes_ + shards + bytes <= wire::kMaxBodyBytes * 2 / 3;
}

bool TransactionBuilder::has(const std::string& path) const {
    return std::any_of(sets_.begin(), sets_.end(), [&](const auto& s) { return s.first == path; });
}

void TransactionBuilder::set(const std::string& path, Json data, std::uint64_t leaseId) {
    if (leaseId) leaseIds_[path] = leaseId;
    sets_.emplace_back(path, std::move(data));
}

std::vector<Task>& TransactionBuilder::edit_chunk(Job& job, std::uint32_t c) {
    auto [it, fresh] = chunks_.try_emplace({&job, c});
    if (fresh) {
        const auto& chunk = job.chunks[c];
        it->second = chunk.tasks;
        if (it->second.empty())
            it->second.resize(std::min(state_.chunk_size(), job.spec->taskCount - c * state_.chunk_size()));
        require(keys::chunk(job.id, c), chunk.revision);
        require(keys::active(job.id), job.activeRevision);
        bytes_ += 100 + kTaskBytes * (chunk.placed + 1);
    }
    return it->second;
}

// Each controller has a share of each team's quota, and its placements are serial (each writes placers/ME). While its
// own share suffices, no other controller's placements can make this one wrong or fail by it. To get more, the shares
// are assigned anew, on condition that nobody who loses something has placed anything meanwhile.
bool TransactionBuilder::reserve_quota(const std::string& teamName, Use more) {
    const config::Team* team = settings_.team(teamName);
    if (!team) return true;
    static const TeamRecord kNone;
    auto it = state_.teams().find(teamName);
    const TeamRecord& record = it == state_.teams().end() ? kNone : it->second;
    auto [entry, isNew] = quotaReservations_.try_emplace(teamName);
    QuotaReservation& reservation = entry->second;
    if (isNew) reservation.shares = record.shares;
    const Use limit = quota_limit(*team);
    const Use total = record.total + reservation.more + more;
    if (exceeds(total, limit)) {
        if (isNew) quotaReservations_.erase(entry);
        return false;
    }
    const Use needed = used_by(record, member_) + reservation.more + more;
    if (exceeds(needed, reservation.shares[member_])) {
        const QuotaNeed need{member_, needed, total, limit};
        if (!grow_share(reservation.shares, need, settings_)) {
            QuotaShares next = redistribute_shares(record, need, settings_);
            require_no_placements_by_losers(reservation.shares, next);
            reservation.shares = std::move(next);
        }
        reservation.moved = true;
    }
    reservation.more += more;
    require(keys::team(teamName), record.revision);
    require(keys::placer(member_), state_.placer_revision(member_));
    return true;
}

void TransactionBuilder::require_no_placements_by_losers(const QuotaShares& before, const QuotaShares& after) {
    for (const auto& [name, share] : before) {
        auto it = after.find(name);
        const Use next = it == after.end() ? Use{} : it->second;
        const bool loses = next.cores < share.cores || next.gpus < share.gpus;
        if (name != member_ && loses) require(keys::placer(name), state_.placer_revision(name));
    }
}

std::size_t TransactionBuilder::submission_size(const wire::JobSpec& spec) {
    constexpr std::int64_t kAnyTimeOfDay = 9'999'999'999;  // as many digits as any that is written
    return submission(spec, kAnyTimeOfDay).dump().size();
}

bool TransactionBuilder::submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS) {
    if (has(keys::active(spec.id))) return true;
    Json body = submission(spec, atS);
    std::size_t bytes = body.dump().size() + 200;
    if (!room(2, 2, bytes)) return false;
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
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, kActiveBytes)) return false;
    bytes_ += kActiveBytes;
    set_active(job, {job.owner, std::nullopt, true, atS});
    summary_.push_back("cancel " + job.id);
    return true;
}

bool TransactionBuilder::stop_attempt(Job& job, std::uint32_t attempt) {
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, kActiveBytes)) return false;
    bytes_ += kActiveBytes;
    set_active(job, {job.owner, attempt, false, 0});
    summary_.push_back("stop " + job.id);
    return true;
}

bool TransactionBuilder::bound_across_chunks(const Job& job) {
    return (job.spec->coLocated || job.spec->spread) && job.chunks.size() > 1;
}

TransactionBuilder::PlacementCost TransactionBuilder::placement_cost(Job& job, const Placements& tasks) const {
    PlacementCost cost;
    std::set<const HostShard*> shards;
    for (const auto& [index, host] : tasks) {
        cost.chunks.insert(state_.chunk_of(index));
        shards.insert(host->shard);
    }
    for (std::uint32_t chunk : cost.chunks) cost.writes += !chunks_.count({&job, chunk});
    if (quotaReservations_.empty()) ++cost.writes;
    // The team's shares may have to be assigned anew, also by a later job of a team that has had room in its share so
    // far: counted for the team's first job only, transactions of many teams came out too large and none was applied.
    auto reservation = quotaReservations_.find(job.spec->team);
    if (reservation == quotaReservations_.end() || !reservation->second.moved) ++cost.writes;
    if (bound_across_chunks(job)) ++cost.writes;
    cost.bytes = kTaskBytes * tasks.size() + cost.chunks.size() * 200;
    cost.conditions = static_cast<int>(cost.chunks.size() + 3) + settings_.controller_count();
    cost.shards = static_cast<int>(shards.size());
    return cost;
}

bool TransactionBuilder::chunks_have_room(Job& job, const Placements& tasks, const std::set<std::uint32_t>& chunks,
                                          std::uint32_t attempt, std::int64_t atS) {
    for (std::uint32_t chunk : chunks) {
        std::size_t more = 0;
        for (const auto& [index, host] : tasks) {
            if (state_.chunk_of(index) != chunk) continue;
            const ChunkRecord::Entry entry{index % state_.chunk_size(), attempt, host->name,
                                           host->fencingToken,          atS,     member_};
            more += entry.size_bound();
        }
        if (!chunk_has_room(job, chunk, more)) return false;
    }
    return true;
}

// A wide gang on as many shards has more keys to compare than a transaction may under lower limits. The shards are
// compared so that fewer placements turn out stale; what makes a stale one harmless is the fencing token that it names:
// a leader starts nothing under another one, and an absent task of another token, or on a host whose record was
// removed, is proven to be gone. Earlier versions rely on the comparison, so it stays until none can run.
bool TransactionBuilder::place(Job& job, const Placements& tasks, std::uint32_t attempt, std::int64_t atS) {
    const PlacementCost cost = placement_cost(job, tasks);
    const bool compareShards = room(cost.writes, cost.conditions + cost.shards, cost.bytes);
    const bool wideUnderLowLimits = rules_.splitShards && tasks.size() > 1;
    if (!compareShards && !(wideUnderLowLimits && room(cost.writes, cost.conditions, cost.bytes))) return false;
    if (!chunks_have_room(job, tasks, cost.chunks, attempt, atS)) return true;  // waits until others there have ended
    const auto count = static_cast<std::int64_t>(tasks.size());
    const Use more{count * milli(job.spec->cores), count * milli(job.spec->gpus)};
    if (!reserve_quota(job.spec->team, more)) return true;  // waits until others of the team have ended
    if (bound_across_chunks(job) && !has(keys::active(job.id))) set_active(job, {job.owner, job.stopAttempt, false, 0});
    for (const auto& [index, host] : tasks) {
        Task& task = edit_chunk(job, state_.chunk_of(index))[index % state_.chunk_size()];
        task.state.become(TaskState::placed);
        task.attempt = attempt;
        task.host = host;
        task.fencingToken = host->fencingToken;
        task.atS = atS;
        task.quotaOwner = member_;
        if (compareShards) require_unchanged(*host->shard);
    }
    bytes_ += kTaskBytes * tasks.size();
    summary_.push_back("place " + job.id);
    return true;
}

bool TransactionBuilder::chunk_has_room(Job& job, std::uint32_t c, std::size_t more) {
    if (rules_.rejectedKeys.count(keys::chunk(job.id, c))) return false;
    auto it = chunks_.find({&job, c});
    const std::vector<Task>& tasks = it == chunks_.end() ? job.chunks[c].tasks : it->second;
    return StateCache::chunk_record(tasks).size_bound() + more <= rules_.limits.value_bytes();
}

bool TransactionBuilder::release_task(Job& job, std::uint32_t index, TaskState to) {
    std::uint32_t c = state_.chunk_of(index);
    if (rules_.rejectedKeys.count(keys::chunk(job.id, c))) return true;
    if (!room(!chunks_.count({&job, c}), 4, kTaskBytes * (job.chunks[c].placed + 1) + 100)) return false;
    Task& s = edit_chunk(job, c)[index % state_.chunk_size()];
    if (s.host->shard) require_unchanged(*s.host->shard);  // else its record was removed, for good
    summary_.push_back("release " + wire::task_id(job.id, index) + " from " + s.host->name);
    s.state.become(to);
    s.host = nullptr;
    s.fencingToken = 0;
    s.atS = 0;
    s.quotaOwner.clear();
    return true;
}

bool TransactionBuilder::finish(Job& job, JobState to) {
    int chunks = 0;
    for (const auto& c : job.chunks) chunks += c.revision != 0;
    int conditions = 1 + static_cast<int>(job.chunks.size());
    bool all = room(2 + chunks, conditions, 400);
    // A job of many chunks leaves them behind for garbage collection: what says that it is over always fits one
    // transaction.
    bool never = 2 + chunks > rules_.limits.transactionOperations || conditions >= rules_.limits.max_preconditions();
    if (!all && !((never || writes() == 0) && room(2, 1, 400))) return false;
    require(keys::active(job.id), job.activeRevision);
    set(keys::job(job.id), {{"f", to == JobState::done ? "done" : "aborted"}});
    removes_.insert(keys::active(job.id));
    if (all)
        for (std::uint32_t c = 0; c < job.chunks.size(); ++c)
            if (job.chunks[c].revision) {
                require(keys::chunk(job.id, c), job.chunks[c].revision);
                removes_.insert(keys::chunk(job.id, c));
            }
    summary_.push_back(std::string("finish ") + job.id);
    return true;
}

bool TransactionBuilder::garbage_collect(const std::string& path, std::uint64_t revision) {
    if (!room(1, 1, 100)) return false;
    require(path, revision);
    removes_.insert(path);
    return true;
}

bool TransactionBuilder::switch_layout(const LayoutRecord& layout) {
    if (!room(1, 1 + static_cast<int>(state_.members().size()), 200)) return false;
    for (const auto& [name, member] : state_.members()) require(keys::member(name), member.revision);
    require(keys::kLayout, state_.layout_revision());
    set(keys::kLayout, layout.encode());
    summary_.push_back("switch to layout " + std::to_string(layout.version));
    return true;
}

bool TransactionBuilder::put(const std::string& path, std::uint64_t revision, Json data, std::uint64_t leaseId) {
    if (has(path)) return true;
    if (!room(1, 1, 8192)) return false;
    bytes_ += 8192;
    require(path, revision);
    set(path, std::move(data), leaseId);
    summary_.push_back("put " + path);
    return true;
}

Transaction TransactionBuilder::build() const {
    Json preconditions = Json::array(), apply = Json::array();
    for (const auto& [path, revision] : preconditions_) preconditions.push_back({{"path", path}, {"stamp", revision}});
    auto add = [&](const std::string& path, Json data) {
        Json op = {{"set", path}, {"data", std::move(data)}};
        if (auto it = leaseIds_.find(path); it != leaseIds_.end()) op["hold"] = it->second;
        apply.push_back(std::move(op));
    };
    for (const auto& [path, data] : sets_) add(path, data);
    for (const auto& [key, tasks] : chunks_)
        add(keys::chunk(key.first->id, key.second), StateCache::chunk_record(tasks).encode());
    for (const auto& [key, edit] : shards_) {
        std::vector<HostEntry> hosts;
        for (const auto& [name, h] : edit.hosts) hosts.push_back(h);
        if (hosts.empty())
            apply.push_back({{"remove", key}});
        else
            add(key, encode_shard(hosts));
    }
    for (const auto& [team, reservation] : quotaReservations_)
        if (reservation.moved) add(keys::team(team), encode_quota_shares(reservation.shares));
    if (!quotaReservations_.empty()) add(keys::placer(member_), Json::object());
    for (const std::string& path : removes_) apply.push_back({{"remove", path}});
    Transaction transaction;
    transaction.writes = writes();
    transaction.body = {{"when", std::move(preconditions)}, {"apply", std::move(apply)}};
    transaction.summary = summary_;
    return transaction;
}

}  // namespace wellstair::state
