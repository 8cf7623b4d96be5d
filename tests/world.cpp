#include "world.hpp"

#include <sstream>
#include <stdexcept>

#include "model/standing.hpp"

namespace wellstair::test {

using controller::CheckinAnswer;
using wire::Json;

std::uint64_t Store::stamp(const std::string& path) const {
    auto it = keys_.find(path);
    return it == keys_.end() ? 0 : it->second.second;
}

void Store::impose(const app::StateLimits& next) {
    limits = next;
    writesLeft_ = next.writeRps;
}

void Store::at(double seconds) {
    if (limits && now_)
        writesLeft_ = std::min(limits->writeRps, writesLeft_ + std::max(0.0, seconds - *now_) * limits->writeRps);
    now_ = seconds;
}

std::string Store::too_large(const Json& txn) const {
    constexpr std::size_t kTransactionBytes = 64 * 1024;
    if (txn["apply"].size() > static_cast<std::size_t>(limits->txnOps)) return "operations";
    if (txn["when"].size() > static_cast<std::size_t>(limits->conditions())) return "conditions";
    if (txn.dump().size() > kTransactionBytes) return "transaction";
    for (const Json& op : txn["apply"])
        if (op.contains("data") && op["data"].dump().size() > limits->value_bytes()) return op["set"];
    return "";
}

std::string Store::commit(const Json& txn) {
    if (limits) {
        if (std::string what = too_large(txn); !what.empty()) return ++refusedAsMalformed, "malformed " + what;
        const auto writes = static_cast<double>(txn["apply"].size());
        if (now_ && writesLeft_ < writes) return "busy";
        writesLeft_ -= writes;
    }
    std::string failed;
    for (const Json& w : txn["when"])
        if (stamp(w["path"]) != w["stamp"].get<std::uint64_t>()) failed += " " + w["path"].get<std::string>();
    if (!failed.empty()) return "conflict" + failed;
    ++epoch;
    for (const Json& op : txn["apply"]) {
        if (op.contains("set")) {
            keys_[op["set"]] = {op["data"], epoch};
            log.push_back({op["set"], op["data"], epoch});
        } else {
            keys_.erase(op["remove"].get<std::string>());
            log.push_back({op["remove"], std::nullopt, epoch});
        }
    }
    return "ok " + std::to_string(epoch);
}

void read_changes(const Store& store, model::View& view, double wallS) {
    for (const auto& change : store.log)
        if (change.stamp > view.epoch())
            view.apply(change.path, change.data ? &*change.data : nullptr, change.stamp, wallS);
    view.advance(store.epoch);
}

std::vector<std::string> written_keys(const Json& txn) {
    std::vector<std::string> keys;
    for (const Json& op : txn["apply"]) keys.push_back(op[op.contains("set") ? "set" : "remove"]);
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

app::Settings site_settings() {
    app::Settings s;
    s.location = "a";
    s.teams = {{"red", 16, 16, 2, 4}, {"blue", 8, 0, 0, 0}};
    s.reportS = 3, s.leaseS = 20, s.gangWaitS = 30, s.gangPeerS = 8;
    s.cancelS = 45;
    s.stateRps = 100, s.stateWriteRps = 50, s.valueKb = 8, s.txnOps = 16;
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
    c.contactS = c.servedS = time_;
    read_changes(store_, c.core->view(), now().wall);
    c.core->touch_all();
}

std::string World::commit(Controller& c, const controller::Draft& draft) {
    if (draft.empty()) return "nothing";
    if (c.refused) return "503";
    auto txn = draft.build();
    std::string result = store_.commit(txn.body);
    if (result.starts_with("ok")) sync(c);
    std::string out;
    for (const auto& a : txn.about) out += a + "; ";
    return out + (result.starts_with("ok") ? "applied" : result);
}

// Its standing as the service judges it, with what the other controllers say of the state service.
std::string World::judge(Controller& c) {
    if (!c.refused) c.servedS = time_;
    model::Heard h;
    h.registered = c.core->member_stamp() != 0;
    h.storeAgeS = time_ - c.servedS;
    h.contactAgeS = time_ - std::max(c.contactS, c.inquiry.known_until(c.core->others()));
    for (auto& [name, other] : controllers_) {
        if (&other == &c || !other.core) continue;
        h.hasPeers = true;
        if (!other.refused) other.servedS = time_;
        c.core->set_hint(other.core->own_hint(time_ - other.servedS, now()), now());
    }
    h.peerHeard = c.core->peer_heard(now()), h.peerHasStore = c.core->peer_has_store(now());
    c.core->set_member_state(model::judge(c.core->member_state(), h, {settings_.cancelS, settings_.leaseS}), now());
    return model::MemberTraits::name(c.core->member_state());
}

namespace {

std::string show(const std::vector<wire::Order>& orders) {
    static const char* verbs[] = {"start", "halt", "reap"};
    std::string out;
    for (const auto& o : orders) {
        out += std::string(out.empty() ? "" : ", ") + verbs[static_cast<int>(o.verb)] + " " +
               wire::step_name(o.job, o.index) + "#" + std::to_string(o.attempt);
        if (o.verb == wire::Verb::halt && o.windDownS > 0) out += " saving";
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

// HOST TENURE TICK BATON [reclaim=S] [j-1/0#1=running ...]
wire::Report report_of(std::istringstream& in) {
    wire::Report r;
    in >> r.host >> r.tenure >> r.tick >> r.baton;
    r.address = "10.1.0.1:9000";
    r.build = "c8", r.hall = "a";
    std::string word;
    while (in >> word) {
        auto eq = word.find('=');
        std::string key = word.substr(0, eq), value = word.substr(eq + 1);
        if (key == "reclaim") {
            r.reclaimS = std::stod(value);
            continue;
        }
        if (key == "build") {
            r.build = value;
            continue;
        }
        if (key == "hall") {
            r.hall = value;
            continue;
        }
        auto hash = key.find('#');
        auto step = wire::parse_step(key.substr(0, hash));
        wire::TaskReport t;
        t.job = step->first, t.index = step->second;
        t.attempt = static_cast<std::uint32_t>(std::stoul(key.substr(hash + 1)));
        if (value == "running") t.phase = wire::TaskPhase::running;
        if (value == "waiting") t.phase = wire::TaskPhase::waiting;
        if (value == "done") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::done;
        if (value == "halted") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::halted;
        if (value == "error") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::error;
        if (value == "peers") t.phase = wire::TaskPhase::ended, t.cause = wire::Cause::peers;
        r.steps.push_back(t);
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
            c.settings.location = n;  // a machine in hall a prefers controller a
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
        c.core->set_view_ready(true);
        c.core->set_member_state(model::MemberState::live, now());
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
    if (verb == "judge") return judge(c);
    if (verb == "ask") {  // NAME asks all others, or those named, what they have confirmed, and has their answers
        auto question = c.inquiry.ask(time_);
        std::set<std::string> of;
        while (in >> arg) of.insert(arg);
        for (auto& [each, other] : controllers_) {
            if (&other == &c || !other.core || (!of.empty() && !of.count(each))) continue;
            core.note_cancelled(other.core->cancellations());
            c.inquiry.answered(each, other.core->incarnation(), question);
        }
        return "";
    }
    if (verb == "due") {  // what goes straight to hosts now, of all that the controller keeps; no answers yet
        std::string out;
        for (auto& [host, orders] : core.commands_due(now())) {
            core.commands_sent(host, orders, now());
            c.sent[host] = orders;
            out += (out.empty() ? "" : "; ") + host + ": " + show(orders);
        }
        return out.empty() ? "nothing" : out;
    }
    if (verb == "state") {
        in >> arg;
        core.set_member_state(arg == "live"     ? model::MemberState::live
                              : arg == "adrift" ? model::MemberState::adrift
                                                : model::MemberState::alone,
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
        auto draft = core.new_draft();
        draft.submit(spec, name, static_cast<std::int64_t>(now().wall));
        return commit(c, draft).find("applied") != std::string::npos ? "201" : "conflict";
    }
    if (verb == "withdraw") {
        in >> arg;
        auto* job = core.view().job(arg);
        if (!job || job->state != model::JobState::active) return show(core.poll(arg));
        auto draft = core.new_draft();
        draft.withdraw(*job, static_cast<std::int64_t>(now().wall));
        return commit(c, draft);
    }
    if (verb == "poll") {  // reads up to this moment, as every poll does
        in >> arg;
        sync(c);
        return show(core.poll(arg));
    }
    if (verb == "report") {
        auto r = report_of(in);
        auto a = core.check_in(r, now());
        if (a.kind == CheckinAnswer::redirect) return "421 " + a.keeper;
        if (a.kind == CheckinAnswer::refuse) return "503";
        if (a.kind == CheckinAnswer::claiming) return "claim";
        return "200 " + std::to_string(a.token) + ": " + show(a.orders);
    }
    if (verb == "round") {  // rounds come at least this far apart
        time_ += 0.2;
        core.tick(now());
        return commit(c, core.round(now()));
    }
    if (verb == "draft") {  // a round whose transaction is held back on the way
        core.tick(now());
        c.held = core.round(now()).build().body;
        return "";
    }
    if (verb == "deliver") {
        if (c.held["apply"].empty()) return "nothing";
        return store_.commit(c.held).substr(0, 8) == "conflict" ? "conflict" : "applied";
    }
    if (verb == "command") {  // what goes straight to the host now
        in >> arg;
        auto orders = core.orders(arg, true, now());
        core.commands_sent(arg, orders, now());
        c.sent[arg] = orders;
        return show(orders);
    }
    if (verb == "unanswered") {
        in >> arg;
        core.commands_answered(arg, c.sent[arg], false, core.view().host(arg)->baton);
        return "";
    }
    if (verb == "answered") {  // NAME HOST TENURE TICK BATON tasks
        auto r = report_of(in);
        core.take_command_reply(r, now());
        core.commands_answered(r.host, c.sent[r.host], true, core.view().host(r.host)->baton);
        return "";
    }
    if (verb == "gone") {  // the cloud said 200 to the return of this host
        in >> arg;
        auto* h = core.view().host(arg);
        auto draft = core.new_draft();
        draft.mark_return(arg, h ? h->hall : "a", static_cast<std::int64_t>(now().wall), true, "test");
        return commit(c, draft);
    }
    if (verb == "hint") {  // NAME hears OTHER say how long ago the store answered it
        double age = 0;
        in >> arg >> age;
        core.set_hint({arg, 1, age, true, {}}, now());
        return "";
    }
    if (verb == "store-heard") return core.peer_has_store(now()) ? "yes" : "no";
    if (verb == "role") {  // takes the cloud role
        auto draft = core.new_draft();
        if (!core.may_take_cloud_role()) return "taken";
        core.take_cloud_role(draft, 0);
        return commit(c, draft);
    }
    if (verb == "draft-role") {  // as above, with the transaction held back on the way
        auto draft = core.new_draft();
        core.take_cloud_role(draft, 0);
        c.held = draft.build().body;
        return "";
    }
    if (verb == "may-call-cloud") return core.may_call_cloud() ? "yes" : "no";
    if (verb == "holds-role") return sync(c), core.holds_cloud_role() ? "yes" : "no";
    if (verb == "team") {
        in >> arg;
        sync(c);
        auto it = core.view().teams().find(arg);
        if (it == core.view().teams().end()) return "0 cores";
        return std::to_string(it->second.total.cores / 1000) + " cores";
    }
    throw std::runtime_error("unknown command: " + line);
}

}  // namespace wellstair::test
