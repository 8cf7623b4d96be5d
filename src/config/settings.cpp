#include "config/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <set>

namespace wellstair::config {
namespace {

constexpr double kAmountBound = 1e12;                // numbers must be below
constexpr std::int64_t kMaxInteger = 1'000'000'000;  // the largest integer accepted
constexpr unsigned kMaxPort = 65535;
constexpr double kMsPerS = 1000;

// A transaction that places tasks changes a chunk, the team's usage, the leader's record and, for gangs, the job's
// record.
constexpr int kMinTransactionOperations = 4;

// Reads the fields of one table of the file. Each function throws a SettingsError with the file and the full name of
// the field if the field is missing or has another type or range. Refers to the parsed file, which must outlive it.
class TableReader {
  public:
    // `prefix`: the table's own name and a dot, "deployment.workers."; empty for the root.
    TableReader(std::string file, const toml::table& table, std::string prefix = "")
        : file_(std::move(file)), table_(table), prefix_(std::move(prefix)) {}

    [[noreturn]] void fail(const std::string& key, const std::string& expected) const {
        throw SettingsError(file_ + ": " + prefix_ + key + ": expected " + expected);
    }

    bool contains(const char* key) const { return table_.contains(key); }

    std::string text(const char* key) const {
        auto value = table_[key].value_exact<std::string>();
        if (!value || value->empty()) fail(key, "a text that is not empty");
        return *value;
    }

    // Empty if the field is missing or no text.
    std::string text_or_empty(const char* key) const { return table_[key].value_or(std::string()); }

    double positive(const char* key) const {
        auto value = number(key);
        if (!value || !(*value > 0)) fail(key, "a number above 0");
        return *value;
    }

    // 0 if the field is missing.
    double amount_or_0(const char* key) const {
        if (!contains(key)) return 0;
        auto value = number(key);
        if (!value || !(*value >= 0)) fail(key, "a number of at least 0");
        return *value;
    }

    int positive_integer(const char* key) const {
        auto value = table_[key].value_exact<std::int64_t>();
        if (!value || *value < 1 || *value > kMaxInteger) fail(key, "an integer of at least 1");
        return static_cast<int>(*value);
    }

    Endpoint endpoint(const char* key) const {
        auto parsed = parse_endpoint(text(key));
        if (!parsed) fail(key, "an IPv4 address and port such as 10.0.0.1:8080");
        return *parsed;
    }

    TableReader table(const char* key) const {
        const auto* nested = table_[key].as_table();
        if (!nested) fail(key, "a table");
        return {file_, *nested, prefix_ + key + "."};
    }

    // The tables of a list (`[[key]]`), in the order of the file; none if the field is missing.
    std::vector<TableReader> tables(const char* key) const {
        std::vector<TableReader> readers;
        if (!contains(key)) return readers;
        const auto* list = table_[key].as_array();
        if (!list) fail(key, "a list of tables");
        for (const auto& element : *list) {
            if (!element.is_table()) fail(key, "a list of tables");
            readers.emplace_back(file_, *element.as_table(), prefix_ + key + ".");
        }
        return readers;
    }

  private:
    // Integers count as numbers, too. Nothing if it is none, or out of all bounds.
    std::optional<double> number(const char* key) const {
        auto node = table_[key];
        if (!node.is_number()) return std::nullopt;
        double value = *node.value<double>();
        if (!(value < kAmountBound)) return std::nullopt;
        return value;
    }

    static std::optional<Endpoint> parse_endpoint(const std::string& address) {
        auto colon = address.rfind(':');
        if (colon == std::string::npos) return std::nullopt;
        const char* end = address.data() + address.size();
        unsigned port = 0;
        auto [parsed, error] = std::from_chars(address.data() + colon + 1, end, port);
        if (error != std::errc() || parsed != end || port < 1 || port > kMaxPort) return std::nullopt;
        std::string host = address.substr(0, colon);
        boost::system::error_code invalid;
        boost::asio::ip::make_address_v4(host, invalid);
        if (invalid) return std::nullopt;
        return Endpoint{host, static_cast<std::uint16_t>(port)};
    }

    std::string file_;
    const toml::table& table_;
    std::string prefix_;
};

// What the parser says of a file that is no TOML, in one line.
std::string describe(const toml::parse_error& error) {
    std::string reason(error.description());
    std::replace(reason.begin(), reason.end(), '\n', ' ');
    auto line = error.source().begin.line;
    std::string place = line ? "line " + std::to_string(line) + ": " : "";
    return place + "expected a readable TOML file (" + reason + ")";
}

toml::table parse(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        throw SettingsError(path + ": " + describe(error));
    }
}

// `[[members]]`: the file lists all controllers, the settings all but this one.
void read_members(const TableReader& root, Settings& settings) {
    std::set<std::string> names = {settings.member};
    for (const TableReader& reader : root.tables("members")) {
        MemberAddress member;
        member.name = reader.text("member");
        member.zone = reader.text("location");
        member.peer = reader.endpoint("peer_addr");
        if (member.name == settings.member) continue;
        if (!names.insert(member.name).second) reader.fail("member", "each name once");
        settings.members.push_back(std::move(member));
    }
}

// `[endpoints]`.
void read_endpoints(const TableReader& endpoints, Settings& settings) {
    settings.cloudEndpoint = endpoints.endpoint("cloud");
    settings.stateEndpoint = endpoints.endpoint("state");
}

// `[[deployment.teams]]`.
void read_teams(const TableReader& deployment, Settings& settings) {
    for (const TableReader& reader : deployment.tables("teams")) {
        Team team;
        team.name = reader.text("name");
        team.cpus = reader.amount_or_0("cpus");
        team.cpusMax = reader.amount_or_0("cpus_max");
        team.gpus = reader.amount_or_0("gpus");
        team.gpusMax = reader.amount_or_0("gpus_max");
        if (settings.team(team.name)) reader.fail("name", "each name once");
        settings.teams.push_back(std::move(team));
    }
    if (settings.teams.empty()) deployment.fail("teams", "at least one team");
}

// `[[deployment.objectives]]`.
void read_objectives(const TableReader& deployment, Settings& settings) {
    for (const TableReader& reader : deployment.tables("objectives")) {
        Objective objective;
        objective.kind = reader.text("kind");
        objective.jobClass = reader.text_or_empty("class");
        objective.withinS = reader.amount_or_0("within_s");
        objective.deadlineMultiple = reader.amount_or_0("times");
        settings.objectives.push_back(std::move(objective));
    }
}

// `[deployment.workers]`.
void read_workers(const TableReader& workers, Settings& settings) {
    settings.heartbeatIntervalS = workers.positive("report_s");
    settings.leaseS = workers.positive("lease_s");
    settings.gangAssemblyTimeoutS = workers.positive("gang_wait_s");
    settings.gangPeerTimeoutS = workers.positive("gang_peer_s");
    settings.cancelS = workers.positive("cancel_s");
}

int transaction_operations(const TableReader& state) {
    int operations = state.positive_integer("txn_ops");
    if (operations < kMinTransactionOperations)
        state.fail("txn_ops", "an integer of at least " + std::to_string(kMinTransactionOperations));
    return operations;
}

// `[deployment.state.next]`: a field that is missing stays as it is now.
StateLimits next_limits(const TableReader& table, const StateLimits& now) {
    StateLimits next = now;
    if (table.contains("value_kb")) next.valueKb = table.positive("value_kb");
    if (table.contains("write_rps")) next.writeRps = table.positive("write_rps");
    if (table.contains("txn_ops")) next.transactionOperations = transaction_operations(table);
    // The largest value that is stored has to be divided in one transaction.
    if (next.valueKb * next.transactionOperations < now.valueKb)
        table.fail("value_kb", "at least state.value_kb divided by state.next.txn_ops");
    return next;
}

// `[deployment.state]`.
void read_state(const TableReader& state, Settings& settings) {
    settings.stateRps = state.positive("rps");
    settings.stateWriteRps = state.positive("write_rps");
    settings.valueKb = state.positive("value_kb");
    settings.transactionOperations = transaction_operations(state);
    if (state.contains("next")) settings.nextStateLimits = next_limits(state.table("next"), settings.state_limits());
}

// `[deployment.cloud]`.
void read_cloud(const TableReader& cloud, Settings& settings) {
    settings.cloudRps = cloud.positive("rps");
    settings.listLagS = cloud.amount_or_0("list_lag_s");
}

// `[deployment.quota]`.
void read_quota(const TableReader& quota, Settings& settings) {
    settings.processCores = quota.positive("cores");
    settings.processRamMb = quota.positive("ram_mb");
    settings.maxSockets = quota.positive_integer("max_sockets");
}

// `[deployment]` and its tables.
void read_deployment(const TableReader& deployment, Settings& settings) {
    settings.skewS = deployment.amount_or_0("skew_ms") / kMsPerS;
    read_teams(deployment, settings);
    read_objectives(deployment, settings);
    read_workers(deployment.table("workers"), settings);
    read_state(deployment.table("state"), settings);
    read_cloud(deployment.table("cloud"), settings);
    read_quota(deployment.table("quota"), settings);
}

}  // namespace

const Team* Settings::team(const std::string& name) const {
    for (const Team& team : teams)
        if (team.name == name) return &team;
    return nullptr;
}

StateLimits Settings::lowest_state_limits() const {
    StateLimits limits = state_limits();
    if (!nextStateLimits) return limits;
    limits.valueKb = std::min(limits.valueKb, nextStateLimits->valueKb);
    limits.writeRps = std::min(limits.writeRps, nextStateLimits->writeRps);
    limits.transactionOperations = std::min(limits.transactionOperations, nextStateLimits->transactionOperations);
    return limits;
}

Settings load_settings(const std::string& path) {
    const toml::table file = parse(path);
    const TableReader root(path, file);
    Settings settings;
    settings.member = root.text("member");
    settings.location = root.text("location");
    settings.publicEndpoint = root.endpoint("front");
    settings.internalEndpoint = root.endpoint("internal_addr");
    read_members(root, settings);
    read_endpoints(root.table("endpoints"), settings);
    read_deployment(root.table("deployment"), settings);
    return settings;
}

}  // namespace wellstair::config
