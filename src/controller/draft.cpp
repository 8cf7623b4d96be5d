#include "controller/draft.hpp"

#include <algorithm>

namespace wellstair::controller {

using model::Job;
using model::JobState;
using model::Step;
using model::StepState;
using wire::Json;

namespace keys = model::keys;

namespace {

constexpr std::size_t kStepBytes = 80;  // one entry of a chunk, as JSON
constexpr std::int64_t kNoLimit = std::int64_t{1} << 60;

Json submission(const wire::JobSpec& spec, std::int64_t atS) {
    return {{"s", to_json(spec)}, {"at", atS}};
}

}  // namespace

Draft::Draft(model::View& view, const app::Settings& settings, WriteRules rules, const std::string& member,
             std::uint64_t memberStamp)
    : view_(view), settings_(settings), rules_(std::move(rules)), member_(member) {
    when(keys::member(member), memberStamp);
}

int Draft::writes() const {
    int moved = 0;
    for (const auto& [team, charge] : charges_) moved += charge.moved;
    return static_cast<int>(sets_.size() + removes_.size() + chunks_.size() + ranges_.size()) + moved +
           !charges_.empty();
}

bool Draft::room(int writes, int conditions, std::size_t bytes) const {
    // A transaction may hold 64 KiB; two thirds leave room for keys and for what the estimate misses.
    std::size_t ranges = 0;
    for (const auto& [key, edit] : ranges_) ranges += edit.size.bytes();
    return this->writes() + writes <= rules_.limits.txnOps &&
           static_cast<int>(when_.size()) + conditions <= rules_.limits.conditions() &&
           bytes_ + ranges + bytes <= wire::kBodyLimit * 2 / 3;
}

bool Draft::has(const std::string& path) const {
    return std::any_of(sets_.begin(), sets_.end(), [&](const auto& s) { return s.first == path; });
}

void Draft::set(const std::string& path, Json data, std::uint64_t hold) {
    if (hold) holds_[path] = hold;
    sets_.emplace_back(path, std::move(data));
}

std::vector<Step>& Draft::edit(Job& job, std::uint32_t c) {
    auto [it, fresh] = chunks_.try_emplace({&job, c});
    if (fresh) {
        const auto& chunk = job.chunks[c];
        it->second = chunk.steps;
        if (it->second.empty())
            it->second.resize(std::min(view_.chunk_size(), job.spec->steps - c * view_.chunk_size()));
        when(keys::chunk(job.id, c), chunk.stamp);
        when(keys::active(job.id), job.activeStamp);
        bytes_ += 100 + kStepBytes * (chunk.placed + 1);
    }
    return it->second;
}

// Each controller has a part of each team's limit, and its placements are serial (each writes placers/ME). While its
// own part suffices, nobody else's placements can make this one wrong, and none of theirs can fail by it. To get more,
// the parts are dealt anew: that rests on the placers' stamps of all who give something up.
bool Draft::charge(const std::string& crew, model::Use more) {
    const app::Team* team = settings_.team(crew);
    if (!team) return true;
    static const model::TeamRecord kNone;
    auto it = view_.teams().find(crew);
    const model::TeamRecord& record = it == view_.teams().end() ? kNone : it->second;
    auto [entry, fresh] = charges_.try_emplace(crew);
    Charge& c = entry->second;
    if (fresh) c.parts = record.parts;
    auto used_by = [&](const std::string& name) {
        auto u = record.used.find(name);
        return u == record.used.end() ? model::Use{} : u->second;
    };
    model::Use mine = used_by(member_) + c.more + more;
    model::Use limit{team->cpusMax > 0 ? model::milli(team->cpusMax) : kNoLimit,
                     team->gpusMax > 0 ? model::milli(team->gpusMax) : kNoLimit};
    model::Use all = record.total + c.more + more;
    if (all.cores > limit.cores || all.gpus > limit.gpus) {
        if (fresh) charges_.erase(entry);
        return false;
    }
    model::Use& part = c.parts[member_];
    if (mine.cores > part.cores || mine.gpus > part.gpus) {
        model::Use dealt;
        for (const auto& [name, p] : c.parts) dealt += p;
        auto n = static_cast<std::int64_t>(settings_.size());
        // What nobody has yet: what is needed, and a share of the rest.
        auto grow = [&](std::int64_t& p, std::int64_t need, std::int64_t given, std::int64_t most) {
            std::int64_t free = most - given, lack = std::max<std::int64_t>(0, need - p);
            if (lack > free) return false;
            p += lack + (free - lack) / n;
            return true;
        };
        model::Use grown = part;
        if (grow(grown.cores, mine.cores, dealt.cores, limit.cores) &&
            grow(grown.gpus, mine.gpus, dealt.gpus, limit.gpus)) {
            part = grown;
        } else {
            // Dealt anew: everybody keeps what is in use and gets an equal share of what is not.
            model::Use share{(limit.cores - all.cores) / n, (limit.gpus - all.gpus) / n};
            std::map<std::string, model::Use> next;
            for (const auto& [name, u] : record.used)
                if (u.cores > 0 || u.gpus > 0) next[name] = u;
            for (const auto& m : settings_.members) next[m.name] += share;
            next[member_] = mine + share;
            for (const auto& [name, p] : c.parts) {
                model::Use now = next.count(name) ? next[name] : model::Use{};
                if (name != member_ && (now.cores < p.cores || now.gpus < p.gpus))
                    when(keys::placer(name), view_.placer_stamp(name));
            }
            c.parts = std::move(next);
        }
        c.moved = true;
    }
    c.more += more;
    when(keys::team(crew), record.stamp);
    when(keys::placer(member_), view_.placer_stamp(member_));
    return true;
}

void Draft::rest_on(const model::HostRange& range) {
    when(range.key, range.stamp);
}

std::size_t Draft::submission_size(const wire::JobSpec& spec) {
    constexpr std::int64_t kAnyTimeOfDay = 9'999'999'999;  // as many digits as any that is written
    return submission(spec, kAnyTimeOfDay).dump().size();
}

bool Draft::submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS) {
    if (has(keys::active(spec.ref))) return true;
    Json body = submission(spec, atS);
    std::size_t bytes = body.dump().size() + 200;
    if (!room(2, 2, bytes)) return false;
    bytes_ += bytes;
    when(keys::job(spec.ref), 0);
    set(keys::job(spec.ref), std::move(body));
    set(keys::active(spec.ref), model::ActiveRecord{owner, std::nullopt, false, 0}.encode());
    about_.push_back("submit " + spec.ref + " " + spec.lane + " of " + spec.crew);
    return true;
}

bool Draft::withdraw(Job& job, std::int64_t atS) {
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, 100)) return false;
    bytes_ += 100;
    when(keys::active(job.id), job.activeStamp);
    set(keys::active(job.id), model::ActiveRecord{job.owner, std::nullopt, true, atS}.encode());
    about_.push_back("withdraw " + job.id);
    return true;
}

bool Draft::stop_attempt(Job& job, std::uint32_t attempt) {
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, 100)) return false;
    bytes_ += 100;
    when(keys::active(job.id), job.activeStamp);
    set(keys::active(job.id), model::ActiveRecord{job.owner, attempt, false, 0}.encode());
    about_.push_back("stop " + job.id);
    return true;
}

bool Draft::place(Job& job, const std::vector<std::pair<std::uint32_t, model::HostRecord*>>& tasks,
                  std::uint32_t attempt, std::int64_t atS) {
    std::set<std::uint32_t> chunks;
    std::set<const model::HostRange*> ranges;
    for (const auto& [index, host] : tasks) {
        chunks.insert(view_.chunk_of(index));
        ranges.insert(host->range);
    }
    int fresh = 0;
    for (std::uint32_t c : chunks) fresh += !chunks_.count({&job, c});
    if (charges_.empty()) ++fresh;
    // The team's parts may have to be dealt anew, also by a later job of a team that has had room in its part so far:
    // counted for the team's first job only, the transactions of many teams came out too large, and none was applied.
    if (auto c = charges_.find(job.spec->crew); c == charges_.end() || !c->second.moved) ++fresh;
    // Tasks bound to one another by zone are checked against the whole job: its chunks must not change apart.
    bool bound = (job.spec->together || job.spec->scatter) && job.chunks.size() > 1;
    if (bound) ++fresh;
    std::size_t bytes = kStepBytes * tasks.size() + chunks.size() * 200;
    int conditions = static_cast<int>(chunks.size() + 3) + settings_.size();
    bool onRanges = room(fresh, conditions + static_cast<int>(ranges.size()), bytes);
    // A wide gang on as many ranges has more keys to compare than a transaction may under lower limits. The ranges are
    // compared so that fewer placements turn out stale; what makes a stale one harmless is the baton that it names: a
    // keeper starts nothing under another one, and an absent task of another baton, or on a machine whose record was
    // removed, is proven to be gone. Earlier versions rely on the comparison, so it stays until none can run.
    bool wideUnderLowLimits = rules_.parts && tasks.size() > 1;
    if (!onRanges && !(wideUnderLowLimits && room(fresh, conditions, bytes))) return false;
    for (std::uint32_t c : chunks) {
        std::size_t more = 0;
        for (const auto& [index, host] : tasks)
            if (view_.chunk_of(index) == c)
                more +=
                    model::ChunkRecord::Entry{
                        index % view_.chunk_size(), attempt, host->name, host->baton, atS, member_}
                        .size_bound();
        if (!chunk_has_room(job, c, more)) return true;  // waits until others of its chunk have ended
    }
    auto n = static_cast<std::int64_t>(tasks.size());
    if (!charge(job.spec->crew, {n * model::milli(job.spec->cores), n * model::milli(job.spec->gpus)})) return true;
    if (bound && !has(keys::active(job.id))) {
        when(keys::active(job.id), job.activeStamp);
        set(keys::active(job.id), model::ActiveRecord{job.owner, job.stopAttempt, false, 0}.encode());
    }
    for (const auto& [index, host] : tasks) {
        Step& s = edit(job, view_.chunk_of(index))[index % view_.chunk_size()];
        s.state.become(StepState::placed);
        s.attempt = attempt;
        s.host = host;
        s.baton = host->baton;
        s.atS = atS;
        s.payer = member_;
        if (onRanges) rest_on(*host->range);
    }
    bytes_ += kStepBytes * tasks.size();
    about_.push_back("place " + job.id);
    return true;
}

bool Draft::chunk_has_room(Job& job, std::uint32_t c, std::size_t more) {
    if (rules_.avoid.count(keys::chunk(job.id, c))) return false;
    auto it = chunks_.find({&job, c});
    const std::vector<Step>& steps = it == chunks_.end() ? job.chunks[c].steps : it->second;
    return model::View::chunk_record(steps).size_bound() + more <= rules_.limits.value_bytes();
}

bool Draft::clear(Job& job, std::uint32_t index, StepState to) {
    std::uint32_t c = view_.chunk_of(index);
    if (rules_.avoid.count(keys::chunk(job.id, c))) return true;
    if (!room(!chunks_.count({&job, c}), 4, kStepBytes * (job.chunks[c].placed + 1) + 100)) return false;
    Step& s = edit(job, c)[index % view_.chunk_size()];
    if (s.host->range) rest_on(*s.host->range);  // else its record was removed, for good
    about_.push_back("clear " + wire::step_name(job.id, index) + " from " + s.host->name);
    s.state.become(to);
    s.host = nullptr;
    s.baton = 0;
    s.atS = 0;
    s.payer.clear();
    return true;
}

bool Draft::finish(Job& job, JobState to) {
    int chunks = 0;
    for (const auto& c : job.chunks) chunks += c.stamp != 0;
    int conditions = 1 + static_cast<int>(job.chunks.size());
    bool all = room(2 + chunks, conditions, 400);
    // A job of many chunks leaves them behind for the sweep: what says that it is over fits one transaction always.
    bool never = 2 + chunks > rules_.limits.txnOps || conditions >= rules_.limits.conditions();
    if (!all && !((never || writes() == 0) && room(2, 1, 400))) return false;
    when(keys::active(job.id), job.activeStamp);
    set(keys::job(job.id), {{"f", to == JobState::done ? "done" : "aborted"}});
    removes_.insert(keys::active(job.id));
    if (all)
        for (std::uint32_t c = 0; c < job.chunks.size(); ++c)
            if (job.chunks[c].stamp) {
                when(keys::chunk(job.id, c), job.chunks[c].stamp);
                removes_.insert(keys::chunk(job.id, c));
            }
    about_.push_back(std::string("finish ") + job.id);
    return true;
}

bool Draft::sweep(const std::string& path, std::uint64_t stamp) {
    if (!room(1, 1, 100)) return false;
    when(path, stamp);
    removes_.insert(path);
    return true;
}

bool Draft::switch_layout(const model::LayoutRecord& layout) {
    if (!room(1, 1 + static_cast<int>(view_.members().size()), 200)) return false;
    for (const auto& [name, member] : view_.members()) when(keys::member(name), member.stamp);
    when(keys::kLayout, view_.layout_stamp());
    set(keys::kLayout, layout.encode());
    about_.push_back("switch to layout " + std::to_string(layout.version));
    return true;
}

bool Draft::put(const std::string& path, std::uint64_t stamp, Json data, std::uint64_t hold) {
    if (has(path)) return true;
    if (!room(1, 1, 8192)) return false;
    bytes_ += 8192;
    when(path, stamp);
    set(path, std::move(data), hold);
    about_.push_back("put " + path);
    return true;
}

Txn Draft::build() const {
    Json when = Json::array(), apply = Json::array();
    for (const auto& [path, stamp] : when_) when.push_back({{"path", path}, {"stamp", stamp}});
    auto add = [&](const std::string& path, Json data) {
        Json op = {{"set", path}, {"data", std::move(data)}};
        if (auto it = holds_.find(path); it != holds_.end()) op["hold"] = it->second;
        apply.push_back(std::move(op));
    };
    for (const auto& [path, data] : sets_) add(path, data);
    for (const auto& [key, steps] : chunks_)
        add(keys::chunk(key.first->id, key.second), model::View::chunk_record(steps).encode());
    for (const auto& [key, edit] : ranges_) {
        std::vector<model::HostEntry> hosts;
        for (const auto& [name, h] : edit.hosts) hosts.push_back(h);
        if (hosts.empty())
            apply.push_back({{"remove", key}});
        else
            add(key, model::encode_range(hosts));
    }
    for (const auto& [team, charge] : charges_)
        if (charge.moved) add(keys::team(team), model::encode_team_parts(charge.parts));
    if (!charges_.empty()) add(keys::placer(member_), Json::object());
    for (const std::string& path : removes_) apply.push_back({{"remove", path}});
    Txn txn;
    txn.writes = writes();
    txn.body = {{"when", std::move(when)}, {"apply", std::move(apply)}};
    txn.about = about_;
    return txn;
}

}  // namespace wellstair::controller
