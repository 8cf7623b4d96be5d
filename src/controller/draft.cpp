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
constexpr std::size_t kStepBytes = 64;  // one entry of a chunk, as JSON
}

Draft::Draft(model::View& view, const app::Settings& settings, const std::string& member, std::uint64_t memberStamp)
    : view_(view), settings_(settings) {
    when(keys::member(member), memberStamp);
}

int Draft::writes() const {
    return static_cast<int>(sets_.size() + removes_.size() + chunks_.size() + charges_.size());
}

bool Draft::room(int writes, int conditions, std::size_t bytes) const {
    // A transaction may hold 64 KiB; two thirds leave room for keys and for what the estimate misses.
    return this->writes() + writes <= settings_.txnOps &&
           static_cast<int>(when_.size()) + conditions <= 4 * settings_.txnOps &&
           bytes_ + bytes <= wire::kBodyLimit * 2 / 3;
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

void Draft::charge(Job& job, std::int64_t tasks) {
    auto& [cores, gpus] = charges_[job.spec->crew];
    cores += tasks * model::milli(job.spec->cores);
    gpus += tasks * model::milli(job.spec->gpus);
    auto it = view_.teams().find(job.spec->crew);
    when(keys::team(job.spec->crew), it == view_.teams().end() ? 0 : it->second.stamp);
}

bool Draft::submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS) {
    if (has(keys::active(spec.ref))) return true;
    Json body = {{"s", to_json(spec)}, {"at", atS}};
    std::size_t bytes = body.dump().size() + 200;
    if (!room(2, 2, bytes)) return false;
    bytes_ += bytes;
    when(keys::job(spec.ref), 0);
    set(keys::job(spec.ref), std::move(body));
    set(keys::active(spec.ref), {{"o", owner}});
    about_.push_back("submit " + spec.ref + " " + spec.lane + " of " + spec.crew);
    return true;
}

bool Draft::withdraw(Job& job) {
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, 100)) return false;
    bytes_ += 100;
    when(keys::active(job.id), job.activeStamp);
    set(keys::active(job.id), {{"o", job.owner}, {"w", true}});
    about_.push_back("withdraw " + job.id);
    return true;
}

bool Draft::stop_attempt(Job& job, std::uint32_t attempt) {
    if (has(keys::active(job.id))) return true;
    if (!room(1, 1, 100)) return false;
    bytes_ += 100;
    when(keys::active(job.id), job.activeStamp);
    set(keys::active(job.id), {{"o", job.owner}, {"stop", attempt}});
    about_.push_back("stop " + job.id);
    return true;
}

bool Draft::place(Job& job, const std::vector<std::pair<std::uint32_t, model::HostRecord*>>& tasks,
                  std::uint32_t attempt, std::int64_t atS) {
    std::set<std::uint32_t> chunks;
    std::set<std::string> hosts;
    for (const auto& [index, host] : tasks) {
        chunks.insert(view_.chunk_of(index));
        hosts.insert(host->name);
    }
    int fresh = 0;
    for (std::uint32_t c : chunks) fresh += !chunks_.count({&job, c});
    if (!charges_.count(job.spec->crew)) ++fresh;
    // Tasks bound to one another by zone are checked against the whole job: its chunks must not change apart.
    bool bound = (job.spec->together || job.spec->scatter) && job.chunks.size() > 1;
    if (bound) ++fresh;
    if (!room(fresh, static_cast<int>(2 * hosts.size() + chunks.size() + 2),
              kStepBytes * tasks.size() + chunks.size() * 200))
        return false;
    if (bound && !has(keys::active(job.id))) {
        when(keys::active(job.id), job.activeStamp);
        set(keys::active(job.id), {{"o", job.owner}, {"stop", job.stopAttempt}});
    }
    for (const auto& [index, host] : tasks) {
        Step& s = edit(job, view_.chunk_of(index))[index % view_.chunk_size()];
        s.state.become(StepState::placed);
        s.attempt = attempt;
        s.host = host;
        s.baton = host->stamp;
        s.atS = atS;
        when(keys::host(host->name), host->stamp);
        when(keys::returned(host->name), 0);
    }
    bytes_ += kStepBytes * tasks.size();
    charge(job, static_cast<std::int64_t>(tasks.size()));
    about_.push_back("place " + job.id);
    return true;
}

bool Draft::clear(Job& job, std::uint32_t index, StepState to, bool fence) {
    std::uint32_t c = view_.chunk_of(index);
    int fresh = !chunks_.count({&job, c}) + !charges_.count(job.spec->crew);
    if (!room(fresh, 4, kStepBytes * (job.chunks[c].placed + 1) + 100)) return false;
    Step& s = edit(job, c)[index % view_.chunk_size()];
    if (fence)
        when(keys::host(s.host->name), s.host->stamp);
    else
        when(keys::returned(s.host->name), s.host->returnStamp);
    about_.push_back("clear " + wire::step_name(job.id, index) + " from " + s.host->name);
    s.state.become(to);
    s.host = nullptr;
    s.baton = 0;
    s.atS = 0;
    charge(job, -1);
    return true;
}

bool Draft::finish(Job& job, JobState to) {
    int chunks = 0;
    for (const auto& c : job.chunks) chunks += c.stamp != 0;
    bool all = room(2 + chunks, 1 + static_cast<int>(job.chunks.size()), 400);
    // A job of many chunks leaves them behind for the sweep: what says that it is over fits one transaction always.
    if (!all && !(writes() == 0 && room(2, 1, 400))) return false;
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

bool Draft::claim(const wire::Report& r, const std::string& keeper, std::uint64_t incarnation, std::uint64_t stamp) {
    if (has(keys::host(r.host))) return true;
    if (!room(1, 1, 300)) return false;
    bytes_ += 300;
    when(keys::host(r.host), stamp);
    set(keys::host(r.host), {{"keeper", keeper},
                             {"inc", incarnation},
                             {"address", r.address},
                             {"build", r.build},
                             {"hall", r.hall},
                             {"loaners", r.loaners}});
    about_.push_back("claim " + r.host);
    return true;
}

bool Draft::mark_return(const std::string& host, std::uint64_t stamp, std::int64_t atS, bool gone,
                        const std::string& why) {
    if (has(keys::returned(host))) return true;
    if (!room(1, 1, 150)) return false;
    bytes_ += 150;
    when(keys::returned(host), stamp);
    set(keys::returned(host), {{"gone", gone}, {"at", atS}, {"why", why}});
    about_.push_back((gone ? "returned " : "return ") + host);
    return true;
}

bool Draft::forget_host(const model::HostRecord& h) {
    if (!room(2, 2, 200)) return false;
    if (h.stamp) {
        when(keys::host(h.name), h.stamp);
        removes_.insert(keys::host(h.name));
    }
    if (h.returnStamp) {
        when(keys::returned(h.name), h.returnStamp);
        removes_.insert(keys::returned(h.name));
    }
    about_.push_back("forget " + h.name);
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
        add(keys::chunk(key.first->id, key.second), model::View::encode_chunk(steps));
    for (const auto& [team, change] : charges_) {
        auto it = view_.teams().find(team);
        std::int64_t cores = it == view_.teams().end() ? 0 : it->second.cores;
        std::int64_t gpus = it == view_.teams().end() ? 0 : it->second.gpus;
        add(keys::team(team), {{"c", cores + change.first}, {"g", gpus + change.second}});
    }
    for (const std::string& path : removes_) apply.push_back({{"remove", path}});
    Txn txn;
    txn.writes = writes();
    txn.body = {{"when", std::move(when)}, {"apply", std::move(apply)}};
    txn.about = about_;
    return txn;
}

}  // namespace wellstair::controller
