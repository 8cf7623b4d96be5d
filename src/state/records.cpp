#include "state/records.hpp"

#include <algorithm>

namespace wellstair::state {
namespace {

constexpr int kNoLeader = -1;  // stored in place of an index into the table of leaders

// The length of a JSON string with its quotes; an upper bound if it contains characters that have to be escaped.
std::size_t quoted_size(const std::string& text) {
    constexpr std::size_t kEscaped = 6;  // as in \u0001
    std::size_t size = 2;
    for (unsigned char c : text) size += c < 0x20 || c == '"' || c == '\\' || c >= 0x7f ? kEscaped : 1;
    return size;
}

std::size_t digits(std::uint64_t number) {
    std::size_t count = 1;
    for (; number >= 10; number /= 10) ++count;
    return count;
}

// The index of a value in a table; a new value is appended.
int index_in(Json& table, Json value) {
    for (std::size_t i = 0; i < table.size(); ++i)
        if (table[i] == value) return static_cast<int>(i);
    table.push_back(std::move(value));
    return static_cast<int>(table.size()) - 1;
}

// The separating commas of a JSON array with that many elements.
std::size_t commas(std::size_t elements) {
    return elements > 0 ? elements - 1 : 0;
}

}  // namespace

Json MemberData::encode() const {
    Json data = {{"inc", incarnation}, {"zone", zone}};
    if (layout) data["v"] = layout;
    return data;
}

MemberData MemberData::decode(const Json& data) {
    MemberData member;
    member.incarnation = data.value("inc", std::uint64_t{0});
    member.zone = data.value("zone", "");
    member.layout = data.value("v", 0u);
    return member;
}

Json LayoutRecord::encode() const {
    return {{"v", version}, {"chunk", chunkSize}, {"width", shardWidth}};
}

LayoutRecord LayoutRecord::decode(const Json& data) {
    return {data.value("v", 0u), data.value("chunk", 0u), data.value("width", 0u)};
}

Json ActiveRecord::encode() const {
    Json data = {{"o", owner}};
    if (stopAttempt) data["stop"] = *stopAttempt;
    if (cancelled) {
        data["w"] = true;
        data["t"] = cancelledAtS;
    }
    return data;
}

ActiveRecord ActiveRecord::decode(const Json& data) {
    ActiveRecord record;
    record.owner = data.value("o", "");
    if (data.contains("stop")) record.stopAttempt = data["stop"].get<std::uint32_t>();
    record.cancelled = data.value("w", false);
    record.cancelledAtS = data.value("t", std::int64_t{0});
    return record;
}

Json encode_quota_shares(const QuotaShares& shares) {
    Json data = Json::object();
    for (const auto& [member, share] : shares) data[member] = Json::array({share.cores, share.gpus});
    return data;
}

QuotaShares decode_quota_shares(const Json& data) {
    QuotaShares shares;
    for (const auto& [member, share] : data.items())
        shares[member] = {share[0].get<std::int64_t>(), share[1].get<std::int64_t>()};
    return shares;
}

Json encode_shard(const std::vector<HostEntry>& hosts) {
    Json leaders = Json::array(), machineTypes = Json::array(), list = Json::array();
    for (const HostEntry& host : hosts) {
        int leader = host.leader.empty() ? kNoLeader : index_in(leaders, Json::array({host.leader, host.incarnation}));
        Json entry = Json::array({host.name, leader, host.fencingToken, host.address,
                                  index_in(machineTypes, host.machineType), host.spot ? 1 : 0});
        if (host.returnState != ReturnState::none) {
            entry.push_back(static_cast<int>(host.returnState));
            entry.push_back(host.returnStateAtS);
        }
        list.push_back(std::move(entry));
    }
    return {{"k", std::move(leaders)}, {"b", std::move(machineTypes)}, {"h", std::move(list)}};
}

std::vector<HostEntry> decode_shard(const Json& data) {
    std::vector<std::pair<std::string, std::uint64_t>> leaders;
    std::vector<std::string> machineTypes;
    std::vector<HostEntry> hosts;
    if (const Json* list = wire::get_array(data, "k"))
        for (const Json& leader : *list)
            leaders.emplace_back(leader[0].get<std::string>(), leader[1].get<std::uint64_t>());
    if (const Json* list = wire::get_array(data, "b"))
        for (const Json& typeName : *list) machineTypes.push_back(typeName.get<std::string>());
    const Json* list = wire::get_array(data, "h");
    if (!list) return hosts;
    for (const Json& entry : *list) {
        HostEntry host;
        host.name = entry[0].get<std::string>();
        if (int leader = entry[1].get<int>(); leader >= 0) {
            host.leader = leaders.at(leader).first;
            host.incarnation = leaders.at(leader).second;
        }
        host.fencingToken = entry[2].get<std::uint64_t>();
        host.address = entry[3].get<std::string>();
        host.machineType = machineTypes.at(entry[4].get<std::size_t>());
        host.spot = entry[5].get<int>() != 0;
        if (entry.size() > 6) {
            host.returnState = static_cast<ReturnState>(entry[6].get<int>());
            host.returnStateAtS = entry[7].get<std::int64_t>();
        }
        hosts.push_back(std::move(host));
    }
    return hosts;
}

namespace {

// Size of a host stored as ["name",leader,fencing token,"address",machine type,spot], followed by ,return state,time
// for a host that is being returned; without the indices of the leader and of the machine type.
std::size_t host_size(const HostEntry& host) {
    constexpr std::size_t kBracketsAndCommas = 7, kSpot = 1, kReturnStateAndCommas = 3;
    std::size_t size = kBracketsAndCommas + kSpot;
    size += quoted_size(host.name) + quoted_size(host.address) + digits(host.fencingToken);
    if (host.returnState != ReturnState::none)
        size += kReturnStateAndCommas + digits(static_cast<std::uint64_t>(host.returnStateAtS));
    return size;
}

// Decrements the count of `key` and removes it at zero.
template <typename Key>
void drop_one(std::map<Key, int>& counts, const Key& key) {
    auto it = counts.find(key);
    if (--it->second == 0) counts.erase(it);
}

}  // namespace

void ShardSize::add(const HostEntry& host) {
    ++hosts_;
    hostBytes_ += host_size(host);
    if (!host.leader.empty()) ++leaders_[{host.leader, host.incarnation}];
    ++machineTypes_[host.machineType];
}

void ShardSize::remove(const HostEntry& host) {
    --hosts_;
    hostBytes_ -= host_size(host);
    if (!host.leader.empty()) drop_one(leaders_, std::pair(host.leader, host.incarnation));
    drop_one(machineTypes_, host.machineType);
}

std::size_t ShardSize::bytes() const {
    constexpr std::size_t kFrame = sizeof(R"({"b":[],"h":[],"k":[]})") - 1;
    constexpr std::size_t kNoLeaderSize = 2;            // the text of kNoLeader
    constexpr std::size_t kBracketsAndLeaderComma = 3;  // of one entry of the table of leaders
    std::size_t size = kFrame + hostBytes_ + commas(hosts_) + commas(leaders_.size()) + commas(machineTypes_.size());
    for (const auto& [leader, count] : leaders_)
        size += kBracketsAndLeaderComma + quoted_size(leader.first) + digits(leader.second);
    for (const auto& [machineType, count] : machineTypes_) size += quoted_size(machineType);
    return size + hosts_ * (std::max(kNoLeaderSize, digits(leaders_.size())) + digits(machineTypes_.size()));
}

std::size_t ChunkRecord::Entry::size_bound() const {
    constexpr std::size_t kBracketsAndCommas = 8;
    return kBracketsAndCommas + digits(index) + digits(attempt) + quoted_size(host) + digits(fencingToken) +
           digits(static_cast<std::uint64_t>(placedAtS)) + quoted_size(quotaOwner);
}

std::size_t ChunkRecord::size_bound() const {
    constexpr std::size_t kFrame = sizeof(R"({"d":[],"e":[]})") - 1;
    constexpr std::size_t kRangeFrame = 4;  // brackets and commas
    std::size_t size = kFrame;
    for (const auto& [first, last] : done) size += kRangeFrame + digits(first) + digits(last);
    for (const Entry& entry : entries) size += entry.size_bound();
    return size;
}

Json ChunkRecord::encode() const {
    Json doneRanges = Json::array(), list = Json::array();
    for (const auto& [first, last] : done) doneRanges.push_back({first, last});
    for (const Entry& entry : entries) {
        if (entry.host.empty())
            list.push_back({entry.index, entry.attempt, ""});
        else
            list.push_back(
                {entry.index, entry.attempt, entry.host, entry.fencingToken, entry.placedAtS, entry.quotaOwner});
    }
    return {{"d", std::move(doneRanges)}, {"e", std::move(list)}};
}

ChunkRecord ChunkRecord::decode(const Json& data) {
    ChunkRecord record;
    if (const Json* doneRanges = wire::get_array(data, "d"))
        for (const Json& range : *doneRanges)
            record.done.emplace_back(range[0].get<std::uint32_t>(), range[1].get<std::uint32_t>());
    const Json* list = wire::get_array(data, "e");
    if (!list) return record;
    for (const Json& stored : *list) {
        Entry entry;
        entry.index = stored[0].get<std::uint32_t>();
        entry.attempt = stored[1].get<std::uint32_t>();
        entry.host = stored[2].get<std::string>();
        if (!entry.host.empty()) {
            entry.fencingToken = stored[3].get<std::uint64_t>();
            entry.placedAtS = stored[4].get<std::int64_t>();
            entry.quotaOwner = stored[5].get<std::string>();
        }
        record.entries.push_back(std::move(entry));
    }
    return record;
}

}  // namespace wellstair::state
