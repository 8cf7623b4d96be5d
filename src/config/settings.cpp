#include "config/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <set>

namespace wellstair::config {
namespace {

class Reader {
  public:
    explicit Reader(std::string file) : file_(std::move(file)) {}

    [[noreturn]] void fail(const std::string& field, const std::string& expected) const {
        throw SettingsError(file_ + ": " + field + ": expected " + expected);
    }

    std::string text(const toml::table& t, const std::string& where, const char* key) const {
        auto v = t[key].value_exact<std::string>();
        if (!v || v->empty()) fail(where + key, "a text that is not empty");
        return *v;
    }

    double number(const toml::table& t, const std::string& where, const char* key, double least, bool open) const {
        auto node = t[key];
        if (!node.is_number()) fail(where + key, open ? "a number above 0" : "a number of at least 0");
        double v = *node.value<double>();
        if (!(open ? v > least : v >= least) || !(v < 1e12))
            fail(where + key, open ? "a number above 0" : "a number of at least 0");
        return v;
    }

    double amount_or_0(const toml::table& t, const std::string& where, const char* key) const {
        return t.contains(key) ? number(t, where, key, 0, false) : 0;
    }

    int whole(const toml::table& t, const std::string& where, const char* key) const {
        auto v = t[key].value_exact<std::int64_t>();
        if (!v || *v < 1 || *v > 1'000'000'000) fail(where + key, "an integer of at least 1");
        return static_cast<int>(*v);
    }

    Endpoint endpoint(const toml::table& t, const std::string& where, const char* key) const {
        std::string s = text(t, where, key);
        auto colon = s.rfind(':');
        unsigned port = 0;
        boost::system::error_code ec;
        if (colon != std::string::npos) {
            auto [p, e] = std::from_chars(s.data() + colon + 1, s.data() + s.size(), port);
            if (e == std::errc() && p == s.data() + s.size() && port >= 1 && port <= 65535) {
                boost::asio::ip::make_address_v4(s.substr(0, colon), ec);
                if (!ec) return {s.substr(0, colon), static_cast<std::uint16_t>(port)};
            }
        }
        fail(where + key, "an IPv4 address and port such as 10.0.0.1:8080");
    }

    const toml::table& table(const toml::table& t, const std::string& where, const char* key) const {
        auto* sub = t[key].as_table();
        if (!sub) fail(where + key, "a table");
        return *sub;
    }

    std::vector<const toml::table*> tables(const toml::table& t, const std::string& where, const char* key) const {
        std::vector<const toml::table*> out;
        if (!t.contains(key)) return out;
        auto* arr = t[key].as_array();
        if (!arr) fail(where + key, "a list of tables");
        for (auto& e : *arr) {
            if (!e.is_table()) fail(where + key, "a list of tables");
            out.push_back(e.as_table());
        }
        return out;
    }

  private:
    std::string file_;
};

}  // namespace

const Team* Settings::team(const std::string& name) const {
    for (const Team& t : teams)
        if (t.name == name) return &t;
    return nullptr;
}

StateLimits Settings::lowest_state_limits() const {
    StateLimits limits = state_limits();
    if (!nextState) return limits;
    limits.valueKb = std::min(limits.valueKb, nextState->valueKb);
    limits.writeRps = std::min(limits.writeRps, nextState->writeRps);
    limits.transactionOperations = std::min(limits.transactionOperations, nextState->transactionOperations);
    return limits;
}

namespace {

// A transaction that places tasks changes a chunk, the team's parts, the placer and, of tasks bound to one another, the
// job's record.
constexpr int kLeastTransactionOperations = 4;

int transaction_operations(const Reader& r, const toml::table& t, const std::string& where) {
    int operations = r.whole(t, where, "txn_ops");
    if (operations < kLeastTransactionOperations)
        r.fail(where + "txn_ops", "an integer of at least " + std::to_string(kLeastTransactionOperations));
    return operations;
}

// `state.next`: each field may be missing and then stays as it is.
StateLimits next_limits(const Reader& r, const toml::table& t, const StateLimits& now) {
    const std::string where = "deployment.state.next.";
    StateLimits next = now;
    if (t.contains("value_kb")) next.valueKb = r.number(t, where, "value_kb", 0, true);
    if (t.contains("write_rps")) next.writeRps = r.number(t, where, "write_rps", 0, true);
    if (t.contains("txn_ops")) next.transactionOperations = transaction_operations(r, t, where);
    // The largest value that is stored has to be divided in one transaction.
    if (next.valueKb * next.transactionOperations < now.valueKb)
        r.fail(where + "value_kb", "at least state.value_kb divided by state.next.txn_ops");
    return next;
}

}  // namespace

Settings load_settings(const std::string& path) {
    toml::table root;
    try {
        root = toml::parse_file(path);
    } catch (const toml::parse_error& e) {
        std::string why(e.description());
        for (char& c : why)
            if (c == '\n') c = ' ';
        auto line = e.source().begin.line;
        throw SettingsError(path + ": " + (line ? "line " + std::to_string(line) + ": " : "") +
                            "expected a readable TOML file (" + why + ")");
    }
    Reader r(path);
    Settings s;
    s.member = r.text(root, "", "member");
    s.location = r.text(root, "", "location");
    s.front = r.endpoint(root, "", "front");
    s.internal = r.endpoint(root, "", "internal_addr");
    std::set<std::string> names = {s.member};
    for (auto* t : r.tables(root, "", "members")) {
        MemberAddress m{r.text(*t, "members.", "member"), r.text(*t, "members.", "location"),
                        r.endpoint(*t, "members.", "peer_addr")};
        if (m.name == s.member) continue;
        if (!names.insert(m.name).second) r.fail("members.member", "each name once");
        s.members.push_back(std::move(m));
    }
    const auto& ends = r.table(root, "", "endpoints");
    s.cloud = r.endpoint(ends, "endpoints.", "cloud");
    s.state = r.endpoint(ends, "endpoints.", "state");
    const auto& d = r.table(root, "", "deployment");
    s.skewS = r.amount_or_0(d, "deployment.", "skew_ms") / 1000;
    for (auto* t : r.tables(d, "deployment.", "teams")) {
        const std::string w = "deployment.teams.";
        Team team{r.text(*t, w, "name"), r.amount_or_0(*t, w, "cpus"), r.amount_or_0(*t, w, "cpus_max"),
                  r.amount_or_0(*t, w, "gpus"), r.amount_or_0(*t, w, "gpus_max")};
        if (s.team(team.name)) r.fail(w + "name", "each name once");
        s.teams.push_back(std::move(team));
    }
    if (s.teams.empty()) r.fail("deployment.teams", "at least one team");
    for (auto* t : r.tables(d, "deployment.", "objectives")) {
        const std::string w = "deployment.objectives.";
        Objective o{r.text(*t, w, "kind"), (*t)["class"].value_or(std::string()), r.amount_or_0(*t, w, "within_s"),
                    r.amount_or_0(*t, w, "times")};
        s.objectives.push_back(std::move(o));
    }
    const auto& w = r.table(d, "deployment.", "workers");
    const std::string ww = "deployment.workers.";
    s.heartbeatIntervalS = r.number(w, ww, "report_s", 0, true);
    s.leaseS = r.number(w, ww, "lease_s", 0, true);
    s.gangWaitS = r.number(w, ww, "gang_wait_s", 0, true);
    s.gangPeerS = r.number(w, ww, "gang_peer_s", 0, true);
    s.cancelS = r.number(w, ww, "cancel_s", 0, true);
    const auto& st = r.table(d, "deployment.", "state");
    const std::string sw = "deployment.state.";
    s.stateRps = r.number(st, sw, "rps", 0, true);
    s.stateWriteRps = r.number(st, sw, "write_rps", 0, true);
    s.valueKb = r.number(st, sw, "value_kb", 0, true);
    s.transactionOperations = transaction_operations(r, st, sw);
    if (st.contains("next")) s.nextState = next_limits(r, r.table(st, sw, "next"), s.state_limits());
    const auto& c = r.table(d, "deployment.", "cloud");
    s.cloudRps = r.number(c, "deployment.cloud.", "rps", 0, true);
    s.listLagS = r.amount_or_0(c, "deployment.cloud.", "list_lag_s");
    const auto& q = r.table(d, "deployment.", "quota");
    s.cores = r.number(q, "deployment.quota.", "cores", 0, true);
    s.ramMb = r.number(q, "deployment.quota.", "ram_mb", 0, true);
    s.maxSockets = r.whole(q, "deployment.quota.", "max_sockets");
    return s;
}

}  // namespace wellstair::config
