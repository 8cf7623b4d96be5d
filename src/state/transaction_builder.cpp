#include "state/transaction_builder.hpp"

#include <algorithm>

namespace wellstair::state {

using state::Job;
using state::JobState;
using state::Task;
using state::TaskState;
using wire::Json;

namespace keys = state::keys;

namespace {

constexpr std::size_t kTaskBytes = 80;  // one entry of a chunk, as JSON
constexpr std::int64_t kNoLimit = std::int64_t{1} << 60;

Json submission(const wire::JobSpec& spec, std::int64_t atS) {
    return {{"s", to_json(spec)}, {"at", atS}};
}

}  // namespace

TransactionBuilder::TransactionBuilder(state::StateCache& state, const config::Settings& settings, WriteRules rules,
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
           static_cast<int>(preconditions_.size()) + conditions <= rules_.limits.conditions() &&
           bytes_ + shards + bytes <= wire::kBodyLimit * 2 / 3;
}

bool TransactionBuilder::has(const std::string& path) const {
    return std::any_of(sets_.begin(), sets_.end(), [&](const auto& s) { return s.first == path; });
}

void TransactionBuilder::set(const std::string& path, Json data, std::uint64_t leaseId) {
    if (leaseId) leaseIds_[path] = leaseId;
    sets_.emplace_back(path, std::move(data));
}

std::vector<Task>& TransactionBuilder::edit(Job& job, std::uint32_t c) {
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

// Each controller has a part of each team's limit, and its placements are serial (each writes placers/ME). While its
// own part suffices, nobody else's placements can make this one wrong, and none of theirs can fail by it. To get more,
// the parts are dealt anew: that rests on the placers' revisions of all who give something up.
bool TransactionBuilder::reserve_quota(const std::string& teamName, state::Use more) {
    const config::Team* team = settings_.team(teamName);
    if (!team) return true;
    static const state::TeamRecord kNone;
    auto it = state_.teams().find(teamName);
    const state::TeamRecord& record = it == state_.teams().end() ? kNone : it->second;
    auto [entry, fresh] = quotaReservations_.try_emplace(teamName);
    QuotaReservation& c = entry->second;
    if (fresh) c.shares = record.shares;
    auto used_by = [&](const std::string& name) {
        auto u = record.used.find(name);
        return u == record.used.end() ? state::Use{} : u->second;
    };
    state::Use mine = used_by(member_) + c.more + more;
    state::Use limit{team->cpusMax > 0 ? state::milli(team->cpusMax) : kNoLimit,
                     team->gpusMax > 0 ? state::milli(team->gpusMax) : kNoLimit};
    state::Use all = record.total + c.more + more;
    if (all.cores > limit.cores || all.gpus > limit.gpus) {
        if (fresh) quotaReservations_.erase(entry);
        return false;
    }
    state::Use& part = c.shares[member_];
    if (mine.cores > part.cores || mine.gpus > part.gpus) {
        state::Use assigned;
        for (const auto& [name, p] : c.shares) assigned += p;
        auto n = static_cast<std::int64_t>(settings_.size());
        // What nobody has yet: what is needed, and a share of the rest.
        auto grow = [&](std::int64_t& p, std::int64_t need, std::int64_t given, std::int64_t most) {
            std::int64_t free = most - given, lack = std::max<std::int64_t>(0, need - p);
            if (lack > free) return false;
            p += lack + (free - lack) / n;
            return true;
        };
        state::Use grown = part;
        if (grow(grown.cores, mine.cores, assigned.cores, limit.cores) &&
            grow(grown.gpus, mine.gpus, assigned.gpus, limit.gpus)) {
            part = grown;
        } else {
            // Dealt anew: everybody keeps what is in use and gets an equal share of what is not.
            state::Use share{(limit.cores - all.cores) / n, (limit.gpus - all.gpus) / n};
            std::map<std::string, state::Use> next;
            for (const auto& [name, u] : record.used)
                if (u.cores > 0 || u.gpus > 0) next[name] = u;
            for (const auto& m : settings_.members) next[m.name] += share;
            next[member_] = mine + share;
            for (const auto& [name, p] : c.shares) {
                state::Use now = next.count(name) ? next[name] : state::Use{};
                if (name != member_ && (now.cores < p.cores || now.gpus < p.gpus))
                    require(keys::placer(name), state_.placer_revision(name));
            }
            c.shares = std::move(next);
        }
        c.moved = true;
    }
    c.more += more;
    require(keys::team(teamName), record.revision);
    require(keys::placer(member_), state_.placer_revision(member_));
    return true;
}

void TransactionBuilder::require_unchanged(const state::HostShard& shard) {
    require(shard.key, shard.revision);
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
    set(keys::active(spec.id), state::ActiveRecord{owner, std::nullopt, false, 0}.encode());
    summary_.push_back("submit " + spec.id + " " + spec.jobClass + " of " + spec.team);
    return true;
}

bool TransactionBuilder::cancel(Job& job, std::int64_t atS) {
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, 100)) return false;
    bytes_ += 100;
    require(keys::active(job.id), job.activeRevision);
    set(keys::active(job.id), state::ActiveRecord{job.owner, std::nullopt, true, atS}.encode());
    summary_.push_back("cancel " + job.id);
    return true;
}

bool TransactionBuilder::stop_attempt(Job& job, std::uint32_t attempt) {
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, 100)) return false;
    bytes_ += 100;
    require(keys::active(job.id), job.activeRevision);
    set(keys::active(job.id), state::ActiveRecord{job.owner, attempt, false, 0}.encode());
    summary_.push_back("stop " + job.id);
    return true;
}

bool TransactionBuilder::place(Job& job, const std::vector<std::pair<std::uint32_t, state::HostRecord*>>& tasks,
                               std::uint32_t attempt, std::int64_t atS) {
    std::set<std::uint32_t> chunks;
    std::set<const state::HostShard*> shards;
    for (const auto& [index, host] : tasks) {
        chunks.insert(state_.chunk_of(index));
        shards.insert(host->shard);
    }
    int fresh = 0;
    for (std::uint32_t c : chunks) fresh += !chunks_.count({&job, c});
    if (quotaReservations_.empty()) ++fresh;
    // The team's parts may have to be dealt anew, also by a later job of a team that has had room in its part so far:
    // counted for the team's first job only, the transactions of many teams came out too large, and none was applied.
    if (auto c = quotaReservations_.find(job.spec->team); c == quotaReservations_.end() || !c->second.moved) ++fresh;
    // Tasks bound to one another by zone are checked against the whole job: its chunks must not change apart.
    bool bound = (job.spec->coLocated || job.spec->spread) && job.chunks.size() > 1;
    if (bound) ++fresh;
    std::size_t bytes = kTaskBytes * tasks.size() + chunks.size() * 200;
    int conditions = static_cast<int>(chunks.size() + 3) + settings_.size();
    bool onShards = room(fresh, conditions + static_cast<int>(shards.size()), bytes);
    // A wide gang on as many ranges has more keys to compare than a transaction may under lower limits. The ranges are
    // compared so that fewer placements turn out stale; what makes a stale one harmless is the fencing token that it
    // names: a leader starts nothing under another one, and an absent task of another fencing token, or on a machine
    // whose record was removed, is proven to be gone. Earlier versions rely on the comparison, so it stays until none
    // can run.
    bool wideUnderLowLimits = rules_.splitShards && tasks.size() > 1;
    if (!onShards && !(wideUnderLowLimits && room(fresh, conditions, bytes))) return false;
    for (std::uint32_t c : chunks) {
        std::size_t more = 0;
        for (const auto& [index, host] : tasks)
            if (state_.chunk_of(index) == c)
                more += state::ChunkRecord::Entry{index % state_.chunk_size(), attempt, host->name,
                                                  host->fencingToken,          atS,     member_}
                            .size_bound();
        if (!chunk_has_room(job, c, more)) return true;  // waits until others of its chunk have ended
    }
    auto n = static_cast<std::int64_t>(tasks.size());
    if (!reserve_quota(job.spec->team, {n * state::milli(job.spec->cores), n * state::milli(job.spec->gpus)}))
        return true;
    if (bound && !has(keys::active(job.id))) {
        require(keys::active(job.id), job.activeRevision);
        set(keys::active(job.id), state::ActiveRecord{job.owner, job.stopAttempt, false, 0}.encode());
    }
    for (const auto& [index, host] : tasks) {
        Task& s = edit(job, state_.chunk_of(index))[index % state_.chunk_size()];
        s.state.become(TaskState::placed);
        s.attempt = attempt;
        s.host = host;
        s.fencingToken = host->fencingToken;
        s.atS = atS;
        s.quotaOwner = member_;
        if (onShards) require_unchanged(*host->shard);
    }
    bytes_ += kTaskBytes * tasks.size();
    summary_.push_back("place " + job.id);
    return true;
}

bool TransactionBuilder::chunk_has_room(Job& job, std::uint32_t c, std::size_t more) {
    if (rules_.rejectedKeys.count(keys::chunk(job.id, c))) return false;
    auto it = chunks_.find({&job, c});
    const std::vector<Task>& tasks = it == chunks_.end() ? job.chunks[c].tasks : it->second;
    return state::StateCache::chunk_record(tasks).size_bound() + more <= rules_.limits.value_bytes();
}

bool TransactionBuilder::release_task(Job& job, std::uint32_t index, TaskState to) {
    std::uint32_t c = state_.chunk_of(index);
    if (rules_.rejectedKeys.count(keys::chunk(job.id, c))) return true;
    if (!room(!chunks_.count({&job, c}), 4, kTaskBytes * (job.chunks[c].placed + 1) + 100)) return false;
    Task& s = edit(job, c)[index % state_.chunk_size()];
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
    // A job of many chunks leaves them behind for the sweep: what says that it is over fits one transaction always.
    bool never = 2 + chunks > rules_.limits.transactionOperations || conditions >= rules_.limits.conditions();
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

bool TransactionBuilder::switch_layout(const state::LayoutRecord& layout) {
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
        add(keys::chunk(key.first->id, key.second), state::StateCache::chunk_record(tasks).encode());
    for (const auto& [key, edit] : shards_) {
        std::vector<state::HostEntry> hosts;
        for (const auto& [name, h] : edit.hosts) hosts.push_back(h);
        if (hosts.empty())
            apply.push_back({{"remove", key}});
        else
            add(key, state::encode_shard(hosts));
    }
    for (const auto& [team, reservation] : quotaReservations_)
        if (reservation.moved) add(keys::team(team), state::encode_quota_shares(reservation.shares));
    if (!quotaReservations_.empty()) add(keys::placer(member_), Json::object());
    for (const std::string& path : removes_) apply.push_back({{"remove", path}});
    Transaction transaction;
    transaction.writes = writes();
    transaction.body = {{"when", std::move(preconditions)}, {"apply", std::move(apply)}};
    transaction.summary = summary_;
    return transaction;
}

}  // namespace wellstair::state
