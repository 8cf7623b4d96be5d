#include "world.hpp"

#include <sstream>
#include <stdexcept>

#include "leadership/availability.hpp"

namespace wellstair::test {

using controller::HeartbeatResponse;
using wire::Json;

std::uint64_t Store::revision_of(const std::string& path) const {
    auto it = keys_.find(path);
    return it == keys_.end() ? 0 : it->second.second;
}

void Store::impose(const config::StateLimits& next) {
    limits = next;
    writesLeft_ = next.writeRps;
}

void Store::at(double seconds) {
    if (limits && now_)
        writesLeft_ = std::min(limits->writeRps, writesLeft_ + std::max(0.0, seconds - *now_) * limits->writeRps);
    now_ = seconds;
}

std::string Store::too_large(const Json& transaction) const {
    constexpr std::size_t kTransactionBytes = 64 * 1024;
    if (transaction["apply"].size() > static_cast<std::size_t>(limits->transactionOperations)) return "operations";
    if (transaction["when"].size() > static_cast<std::size_t>(limits->conditions())) return "conditions";
    if (transaction.dump().size() > kTransactionBytes) return "transaction";
    for (const Json& op : transaction["apply"])
        if (op.contains("data") && op["data"].dump().size() > limits->value_bytes()) return op["set"];
    return "";
}

std::string Store::commit(const Json& transaction) {
    if (limits) {
        if (std::string what = too_large(transaction); !what.empty()) return ++refusedAsMalformed, "malformed " + what;
        const auto writes = static_cast<double>(transaction["apply"].size());
        if (now_ && writesLeft_ < writes) return "busy";
        writesLeft_ -= writes;
    }
    std::string failed;
    for (const Json& w : transaction["when"])
        if (revision_of(w["path"]) != w["stamp"].get<std::uint64_t>()) failed += " " + w["path"].get<std::string>();
    if (!failed.empty()) return "conflict" + failed;
    ++revision;
    for (const Json& op : transaction["apply"]) {
        if (op.contains("set")) {
            keys_[op["set"]] = {op["data"], revision};
            log.push_back({op["set"], op["data"], revision});
        } else {
            keys_.erase(op["remove"].get<std::string>());
            log.push_back({op["remove"], std::nullopt, revision});
        }
    }
    return "ok " + std::to_string(revision);
}

void read_changes(const Store& store, state::StateCache& state, double wallS) {
    for (const auto& change : store.log)
        if (change.revision > state.revision())
            state.apply(change.path, change.data ? &*change.data : nullptr, change.revision, wallS);
    state.advance(store.revision);
}

std::vector<std::string> written_keys(const Json& transaction) {
    std::vector<std::string> keys;
    for (const Json& op : transaction["apply"]) keys.push_back(op[op.contains("set") ? "set" : "remove"]);
    return keys;
}

Json machine_types() {
    return {{"builds",
             {{{"sku", "c8"},
               {"cores", 8},
               {"gpus", 0},
               {"ramGb", 32},
               {"cacheGb", 50},
               {"fetchGbPerS", 1},
               {"rate", 1},
               {"lowPrice", 0.3},
               {"startupS", 20},
               {"halls", {"a", "b"}}},
              {{"sku", "g8"},
               {"cores", 8},
               {"gpus", 2},
               {"ramGb", 32},
               {"cacheGb", 50},
               {"fetchGbPerS", 1},
               {"rate", 9},
               {"lowPrice", 3},
               {"startupS", 20},
               {"halls", {"a", "b"}}}}}};
}

config::Settings site_settings() {
    config::Settings s;
    s.location = "a";
    s.teams = {{"red", 16, 16, 2, 4}, {"blue", 8, 0, 0, 0}};
    s.heartbeatIntervalS = 3, s.leaseS = 20, s.gangWaitS = 30, s.gangPeerS = 8;
    s.cancelS = 45;
    s.stateRps = 100, s.stateWriteRps = 50, s.valueKb = 8, s.transactionOperations = 16;
    s.cloudRps = 5, s.listLagS = 3, s.cores = 1, s.ramMb = 100;
    s.maxSockets = 1000;
    return s;
}

World::World() : settings_(site_settings()) {}

World::Controller& World::at(const std::string& name) {
    auto it = controllers_.find(name);
    if (it == controllers_.end()) throw std::runtime_error("no controller " + name);
    return it->second;
}

void World::sync(Controller& c) {
    if (c.refused) return;
    c.lastReadS = c.servedS = time_;
    read_changes(store_, c.core->state(), now().wall);
    c.core->request_replan();
}

std::string World::commit(Controller& c, const state::TransactionBuilder& builder) {
    if (builder.empty()) return "nothing";
    if (c.refused) return "503";
    auto transaction = builder.build();
    std::string result = store_.commit(transaction.body);
    if (result.starts_with("ok")) sync(c);
    std::string out;
    for (const auto& a : transaction.summary) out += a + "; ";
    return out + (result.starts_with("ok") ? "applied" : result);
}

// Its standing as the service judges it, with what the other controllers say of the state service.
std::string World::update_availability(Controller& c) {
    if (!c.refused) c.servedS = time_;
    leadership::AvailabilitySignals h;
    h.registered = c.core->member_revision() != 0;
    h.storeAgeS = time_ - c.servedS;
    h.stateReadAgeS = time_ - std::max(c.lastReadS, c.readBarrier.acknowledged_until(c.core->others()));
    for (auto& [name, other] : controllers_) {
        if (&other == &c || !other.core) continue;
        h.hasPeers = true;
        if (!other.refused) other.servedS = time_;
        c.core->set_peer_status(other.core->own_peer_status(time_ - other.servedS, now()), now());
    }
    h.peerHeard = c.core->peer_heard(now()), h.peerHasStore = c.core->peer_has_store(now());
    c.core->set_availability(
        leadership::next_availability(c.core->availability(), h, {settings_.cancelS, settings_.leaseS}), now());
    return state::AvailabilityTraits::name(c.core->availability());
}

namespace {

std::string show(const std::vector<wire::Command>& commands) {
    static const char* types[] = {"start", "stop", "acknowledge"};
    std::string out;
    for (const auto& o : commands) {
        out += std::string(out.empty() ? "" : ", ") + types[static_cast<int>(o.type)] + " " +
               wire::task_id(o.job, o.index) + "#" + std::to_string(o.attempt);
        if (o.type == wire::CommandType::stop && o.gracePeriodS > 0) out += " saving";
    }
    return out.empty() ? "none" : out;
}

wire::JobSpec spec_of(const std::string& ref, std::istringstream& in) {
    Json j = {{"ref", ref},        {"lane", "work"},    {"crew", "blue"},   {"shape", "batch"}, {"rank", "standard"},
              {"steps", 1},        {"cores", 4.0},      {"gpus", 0.0},      {"ramGb", 4.0},     {"bundle", "img"},
              {"imageGb", 1.0},    {"together", false}, {"scatter", false}, {"loaners", false}, {"expectS", 60.0},
              {"snapshotS", 10.0}, {"flushS", 2.0}};
    std::string pair;
    while (in >> pair) {
        auto eq = pair.find('=');
        std::string key = pair.substr(0, eq), value = pair.substr(eq + 1);
        Json parsed = Json::parse(value, nullptr, false);
        j[key] = parsed.is_discarded() ? Json(value) : parsed;
    }
    auto parsed = wire::parse_job(j);
    if (auto* bad = std::get_if<wire::Invalid>(&parsed)) throw std::runtime_error(bad->reason);
    return std::get<wire::JobSpec>(parsed);
}

// HOST TENURE TICK BATON [notice=S] [j-1/0#1=running ...]
wire::Heartbeat heartbeat_of(std::istringstream& in) {
    wire::Heartbeat r;
    in >> r.host >> r.agentEpoch >> r.sequence >> r.fencingToken;
    r.address = "10.1.0.1:9000";
    r.machineType = "c8", r.zone = "a";
    std::string word;
    while (in >> word) {
        auto eq = word.find('=');
        std::string key = word.substr(0, eq), value = word.substr(eq + 1);
        if (key == "notice") {
            r.preemptionNoticeS = std::stod(value);
            continue;
        }
        if (key == "build") {
            r.machineType = value;
            continue;
        }
        if (key == "hall") {
            r.zone = value;
            continue;
        }
        auto hash = key.find('#');
        auto task = wire::parse_task_id(key.substr(0, hash));
        wire::TaskStatus t;
        t.job = task->job, t.index = task->index;
        t.attempt = static_cast<std::uint32_t>(std::stoul(key.substr(hash + 1)));
        if (value == "running") t.phase = wire::TaskPhase::running;
        if (value == "waiting") t.phase = wire::TaskPhase::waiting;
        if (value == "done") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::done;
        if (value == "stopped") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::stopped;
        if (value == "error") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::error;
        if (value == "gang_peer_lost") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::gang_peer_lost;
        r.tasks.push_back(t);
    }
    return r;
}

std::string show(const controller::Answer& a) {
    std::string out = std::to_string(a.status);
    if (a.body.contains("phase")) out += " " + a.body["phase"].get<std::string>();
    if (a.body.contains("done"))
        out += " done=" + std::to_string(a.body["done"].get<int>()) +
               " running=" + std::to_string(a.body["running"].get<int>());
    return out;
}

}  // namespace

std::string World::run(const std::string& line) {
    std::istringstream in(line);
    std::string verb, name;
    in >> verb;
    if (verb == "controllers") {
        std::vector<std::string> names;
        while (in >> name) names.push_back(name);
        for (const auto& n : names) {
            Controller& c = controllers_[n];
            c.settings = settings_;
            c.settings.member = n;
            c.settings.location = n;  // a machine in zone a prefers controller a
            for (const auto& other : names)
                if (other != n) c.settings.members.push_back({other, other, {}});
        }
        store_.commit({{"when", Json::array()}, {"apply", {{{"set", "ws/types"}, {"data", machine_types()}}}}});
        return "";
    }
    if (verb == "wait") {
        double s = 0;
        in >> s;
        time_ += s;
        return "";
    }
    if (verb == "expire") {  // the state service ends a member's lease
        in >> name;
        store_.commit({{"when", Json::array()}, {"apply", {{{"remove", "ws/members/" + name}}}}});
        return "";
    }
    if (verb == "outage" || verb == "outage-over") {
        for (auto& [each, c] : controllers_) c.refused = verb == "outage";
        return "";
    }
    in >> name;
    if (verb == "join") {  // a new process under this name
        Controller& c = at(name);
        c.core = std::make_unique<controller::Core>(c.settings, controller::Tunables{}, ++incarnations_);
        sync(c);
        store_.commit({{"when", Json::array()},
                       {"apply", {{{"set", "ws/members/" + name}, {"data", {{"inc", incarnations_}}}}}}});
        sync(c);
        c.core->set_state_ready(true);
        c.core->set_availability(state::Availability::serving, now());
        return "";
    }
    Controller& c = at(name);
    controller::Core& core = *c.core;
    std::string arg;
    if (verb == "sync") return sync(c), "";
    if (verb == "refuse") return c.refused = true, "";
    if (verb == "serve-no-reads") {  // renewals and commits are answered, reads hang
        c.servedS = time_;
        return "";
    }
    if (verb == "update-availability") return update_availability(c);
    if (verb == "ask") {  // NAME asks all others, or those named, what they have confirmed, and has their answers
        auto requestNumber = c.readBarrier.next_request(time_);
        std::set<std::string> of;
        while (in >> arg) of.insert(arg);
        for (auto& [each, other] : controllers_) {
            if (&other == &c || !other.core || (!of.empty() && !of.count(each))) continue;
            core.record_cancellations(other.core->cancellations());
            c.readBarrier.acknowledge(each, other.core->incarnation(), requestNumber);
        }
        return "";
    }
    if (verb == "due") {  // what goes straight to hosts now, of all that the controller keeps; no answers yet
        std::string out;
        for (auto& [host, commands] : core.commands_due(now())) {
            core.commands_sent(host, commands, now());
            c.sent[host] = commands;
            out += (out.empty() ? "" : "; ") + host + ": " + show(commands);
        }
        return out.empty() ? "nothing" : out;
    }
    if (verb == "state") {
        in >> arg;
        core.set_availability(arg == "serving"        ? state::Availability::serving
                              : arg == "disconnected" ? state::Availability::disconnected
                                                      : state::Availability::isolated,
                              now());
        return "";
    }
    if (verb == "submit") {
        in >> arg;
        auto spec = spec_of(arg, in);
        sync(c);
        if (auto known = core.known(arg)) return show(*known);
        bool unsure = false;
        if (core.never_runs(spec, unsure)) return "422";
        auto builder = core.new_transaction();
        builder.submit(spec, name, static_cast<std::int64_t>(now().wall));
        return commit(c, builder).find("applied") != std::string::npos ? "201" : "conflict";
    }
    if (verb == "cancel") {
        in >> arg;
        auto* job = core.state().job(arg);
        if (!job || job->state != state::JobState::active) return show(core.poll(arg));
        auto builder = core.new_transaction();
        builder.cancel(*job, static_cast<std::int64_t>(now().wall));
        return commit(c, builder);
    }
    if (verb == "poll") {  // reads up to this moment, as every poll does
        in >> arg;
        sync(c);
        return show(core.poll(arg));
    }
    if (verb == "heartbeat") {
        auto r = heartbeat_of(in);
        auto a = core.handle_heartbeat(r, now());
        if (a.kind == HeartbeatResponse::redirect) return "421 " + a.leader;
        if (a.kind == HeartbeatResponse::refuse) return "503";
        if (a.kind == HeartbeatResponse::acquiring) return "acquire";
        return "200 " + std::to_string(a.token) + ": " + show(a.commands);
    }
    if (verb == "round") {  // rounds come at least this far apart
        time_ += 0.2;
        core.advance_time(now());
        return commit(c, core.round(now()));
    }
    if (verb == "build") {  // a round whose transaction is held back on the way
        core.advance_time(now());
        c.held = core.round(now()).build().body;
        return "";
    }
    if (verb == "deliver") {
        if (c.held["apply"].empty()) return "nothing";
        return store_.commit(c.held).substr(0, 8) == "conflict" ? "conflict" : "applied";
    }
    if (verb == "command") {  // what goes straight to the host now
        in >> arg;
        auto commands = core.commands_for(arg, true, now());
        core.commands_sent(arg, commands, now());
        c.sent[arg] = commands;
        return show(commands);
    }
    if (verb == "unanswered") {
        in >> arg;
        core.commands_answered(arg, c.sent[arg], false, core.state().host(arg)->fencingToken);
        return "";
    }
    if (verb == "answered") {  // NAME HOST TENURE TICK BATON tasks
        auto r = heartbeat_of(in);
        core.handle_command_reply(r, now());
        core.commands_answered(r.host, c.sent[r.host], true, core.state().host(r.host)->fencingToken);
        return "";
    }
    if (verb == "gone") {  // the cloud said 200 to the return of this host
        in >> arg;
        auto* h = core.state().host(arg);
        auto builder = core.new_transaction();
        builder.mark_for_return(arg, h ? h->zone : "a", static_cast<std::int64_t>(now().wall), true, "test");
        return commit(c, builder);
    }
    if (verb == "peer-status") {  // NAME hears OTHER say how long ago the store answered it
        double age = 0;
        in >> arg >> age;
        core.set_peer_status({arg, 1, age, true, {}}, now());
        return "";
    }
    if (verb == "store-heard") return core.peer_has_store(now()) ? "yes" : "no";
    if (verb == "role") {  // takes the cloud role
        auto builder = core.new_transaction();
        if (!core.may_take_cloud_role()) return "taken";
        core.take_cloud_role(builder, 0);
        return commit(c, builder);
    }
    if (verb == "build-role") {  // as above, with the transaction held back on the way
        auto builder = core.new_transaction();
        core.take_cloud_role(builder, 0);
        c.held = builder.build().body;
        return "";
    }
    if (verb == "may-call-cloud") return core.may_call_cloud() ? "yes" : "no";
    if (verb == "holds-role") return sync(c), core.holds_cloud_role() ? "yes" : "no";
    if (verb == "team") {
        in >> arg;
        sync(c);
        auto it = core.state().teams().find(arg);
        if (it == core.state().teams().end()) return "0 cores";
        return std::to_string(it->second.total.cores / 1000) + " cores";
    }
    throw std::runtime_error("unknown command: " + line);
}

}  // namespace wellstair::test
