#include "config/settings.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <set>

namespace wellstair::config {
namespace {

constexpr double kNumberBound = 1e12;                // exclusive upper bound of numbers
constexpr std::int64_t kMaxInteger = 1'000'000'000;  // largest integer accepted
constexpr unsigned kMaxPort = 65535;
constexpr double kMsPerS = 1000;

// A transaction that places tasks writes a chunk, the team's usage, the leader's record and, for gangs, the job's
// record.
constexpr int kMinTransactionOperations = 4;

// Reads the fields of one table. If a required field is missing, or a field has the wrong type or is out of range, the
// functions throw a SettingsError that names the file and the full path of the field. Holds a reference to the parsed
// table, which must outlive the reader.
class TableReader {
  public:
    // `prefix` is the path of the table with a trailing dot, such as "deployment.workers."; empty for the root.
    TableReader(std::string file, const toml::table& table, std::string prefix = "")
        : file_(std::move(file)), table_(table), prefix_(std::move(prefix)) {}

    [[noreturn]] void fail(const std::string& key, const std::string& expected) const {
        throw SettingsError(file_ + ": " + prefix_ + key + ": expected " + expected);
    }

    bool contains(const char* key) const { return table_.contains(key); }

    std::string non_empty_string(const char* key) const {
        auto value = table_[key].value_exact<std::string>();
        if (!value || value->empty()) fail(key, "a non-empty string");
        return *value;
    }

    // Returns an empty string if the field is missing or not a string.
    std::string string_or_empty(const char* key) const { return table_[key].value_or(std::string()); }

    double positive_number(const char* key) const {
        auto value = number(key);
        if (!value || !(*value > 0)) fail(key, "a number greater than 0 and less than 1e12");
        return *value;
    }

    // Returns 0 if the field is missing.
    double number_or_zero(const char* key) const {
        if (!contains(key)) return 0;
        auto value = number(key);
        if (!value || !(*value >= 0)) fail(key, "a number of at least 0 and less than 1e12");
        return *value;
    }

    int positive_integer(const char* key) const {
        auto value = table_[key].value_exact<std::int64_t>();
        if (!value || *value < 1 || *value > kMaxInteger) fail(key, "an integer from 1 to 1000000000");
        return static_cast<int>(*value);
    }

    Endpoint endpoint(const char* key) const {
        auto parsed = parse_endpoint(non_empty_string(key));
        if (!parsed) fail(key, "an IPv4 address and a port from 1 to 65535, such as 10.0.0.1:8080");
        return *parsed;
    }

    TableReader table(const char* key) const {
        const auto* nested = table_[key].as_table();
        if (!nested) fail(key, "a table");
        return {file_, *nested, prefix_ + key + "."};
    }

    // Returns the tables of an array of tables (`[[key]]`) in file order; empty if the field is missing.
    std::vector<TableReader> tables(const char* key) const {
        std::vector<TableReader> readers;
        if (!contains(key)) return readers;
        const auto* array = table_[key].as_array();
        if (!array) fail(key, "an array of tables");
        for (const auto& element : *array) {
            if (!element.is_table()) fail(key, "an array of tables");
            readers.emplace_back(file_, *element.as_table(), prefix_ + key + ".");
        }
        return readers;
    }

  private:
    // Accepts integers and floating-point numbers. Returns nullopt for other types and for values of kNumberBound or
    // more.
    std::optional<double> number(const char* key) const {
        auto node = table_[key];
        if (!node.is_number()) return std::nullopt;
        double value = *node.value<double>();
        if (!(value < kNumberBound)) return std::nullopt;
        return value;
    }

    // Returns nullopt unless the string is an IPv4 address, a colon and a port.
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

// Formats an error of the TOML parser as one line.
std::string describe(const toml::parse_error& error) {
    std::string reason(error.description());
    std::replace(reason.begin(), reason.end(), '\n', ' ');
    auto line = error.source().begin.line;
    std::string location = line ? "line " + std::to_string(line) + ": " : "";
    return location + "expected a readable TOML file (" + reason + ")";
}

// Throws a SettingsError if the file cannot be read or is not TOML.
toml::table parse_file(const std::string& path) {
    try {
        return toml::parse_file(path);
    } catch (const toml::parse_error& error) {
        throw SettingsError(path + ": " + describe(error));
    }
}

// `[[members]]` may list this controller, too; Settings::members holds only the others.
void read_members(const TableReader& root, Settings& settings) {
    std::set<std::string> names = {settings.member};
    for (const TableReader& reader : root.tables("members")) {
        MemberAddress member;
        member.name = reader.non_empty_string("member");
        member.zone = reader.non_empty_string("location");
        member.peer = reader.endpoint("peer_addr");
        if (member.name == settings.member) continue;
        if (!names.insert(member.name).second) reader.fail("member", "a unique name");
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
        team.name = reader.non_empty_string("name");
        team.cpus = reader.number_or_zero("cpus");
        team.cpusMax = reader.number_or_zero("cpus_max");
        team.gpus = reader.number_or_zero("gpus");
        team.gpusMax = reader.number_or_zero("gpus_max");
        if (settings.team(team.name)) reader.fail("name", "a unique name");
        settings.teams.push_back(std::move(team));
    }
    if (settings.teams.empty()) deployment.fail("teams", "at least one [[deployment.teams]] table");
}

// `[[deployment.objectives]]`.
void read_objectives(const TableReader& deployment, Settings& settings) {
    for (const TableReader& reader : deployment.tables("objectives")) {
        Objective objective;
        objective.kind = reader.non_empty_string("kind");
        objective.jobClass = reader.string_or_empty("class");
        objective.withinS = reader.number_or_zero("within_s");
        objective.deadlineMultiple = reader.number_or_zero("times");
        settings.objectives.push_back(std::move(objective));
    }
}

// `[deployment.workers]`.
void read_workers(const TableReader& workers, Settings& settings) {
    settings.heartbeatIntervalS = workers.positive_number("report_s");
    settings.leaseS = workers.positive_number("lease_s");
    settings.gangAssemblyTimeoutS = workers.positive_number("gang_wait_s");
    settings.gangPeerTimeoutS = workers.positive_number("gang_peer_s");
    settings.cancelS = workers.positive_number("cancel_s");
}

int transaction_operations(const TableReader& table) {
    int operations = table.positive_integer("txn_ops");
    if (operations < kMinTransactionOperations)
        table.fail("txn_ops", "an integer of at least " + std::to_string(kMinTransactionOperations));
    return operations;
}

// `[deployment.state.next]`. A field that is missing keeps its present limit.
StateLimits next_limits(const TableReader& table, const StateLimits& current) {
    StateLimits next = current;
    if (table.contains("value_kb")) next.valueKb = table.positive_number("value_kb");
    if (table.contains("write_rps")) next.writeRps = table.positive_number("write_rps");
    if (table.contains("txn_ops")) next.transactionOperations = transaction_operations(table);
    // One transaction must be able to split the largest stored value into values of the new size.
    if (next.valueKb * next.transactionOperations < current.valueKb)
        table.fail("value_kb", "at least deployment.state.value_kb divided by deployment.state.next.txn_ops");
    return next;
}

// `[deployment.state]`.
void read_state(const TableReader& state, Settings& settings) {
    settings.stateRps = state.positive_number("rps");
    settings.stateWriteRps = state.positive_number("write_rps");
    settings.valueKb = state.positive_number("value_kb");
    settings.transactionOperations = transaction_operations(state);
    if (state.contains("next")) settings.nextStateLimits = next_limits(state.table("next"), settings.state_limits());
}

// `[deployment.cloud]`.
void read_cloud(const TableReader& cloud, Settings& settings) {
    settings.cloudRps = cloud.positive_number("rps");
    settings.listLagS = cloud.number_or_zero("list_lag_s");
}

// `[deployment.quota]`.
void read_quota(const TableReader& quota, Settings& settings) {
    settings.processCores = quota.positive_number("cores");
    settings.processRamMb = quota.positive_number("ram_mb");
    settings.maxSockets = quota.positive_integer("max_sockets");
}

// `[deployment]` and its tables.
void read_deployment(const TableReader& deployment, Settings& settings) {
    settings.skewS = deployment.number_or_zero("skew_ms") / kMsPerS;
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
    const toml::table file = parse_file(path);
    const TableReader root(path, file);
    Settings settings;
    settings.member = root.non_empty_string("member");
    settings.location = root.non_empty_string("location");
    settings.publicEndpoint = root.endpoint("front");
    settings.internalEndpoint = root.endpoint("internal_addr");
    read_members(root, settings);
    read_endpoints(root.table("endpoints"), settings);
    read_deployment(root.table("deployment"), settings);
    return settings;
}

}  // namespace wellstair::config
