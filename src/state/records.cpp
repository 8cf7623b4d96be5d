#include "state/records.hpp"

#include <algorithm>

namespace wellstair::state {
namespace {

// The length of a text as JSON writes it, quotes included; an upper bound if it holds characters to be escaped.
std::size_t quoted_size(const std::string& text) {
    constexpr std::size_t kEscaped = 6;  // \u0001
    std::size_t size = 2;
    for (unsigned char c : text) size += c < 0x20 || c == '"' || c == '\\' || c >= 0x7f ? kEscaped : 1;
    return size;
}

std::size_t digits(std::uint64_t number) {
    std::size_t n = 1;
    for (; number >= 10; number /= 10) ++n;
    return n;
}

// The place of a value in a table, which it is added to if it is new.
int place_in(Json& table, Json value) {
    for (std::size_t i = 0; i < table.size(); ++i)
        if (table[i] == value) return static_cast<int>(i);
    table.push_back(std::move(value));
    return static_cast<int>(table.size()) - 1;
}

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
    for (const HostEntry& h : hosts) {
        int leader = h.leader.empty() ? -1 : place_in(leaders, Json::array({h.leader, h.incarnation}));
        Json e = Json::array(
            {h.name, leader, h.fencingToken, h.address, place_in(machineTypes, h.machineType), h.spot ? 1 : 0});
        if (h.leaving != Leaving::no) {
            e.push_back(static_cast<int>(h.leaving));
            e.push_back(h.leavingAtS);
        }
        list.push_back(std::move(e));
    }
    return {{"k", std::move(leaders)}, {"b", std::move(machineTypes)}, {"h", std::move(list)}};
}

std::vector<HostEntry> decode_shard(const Json& data) {
    std::vector<std::pair<std::string, std::uint64_t>> leaders;
    std::vector<std::string> machineTypes;
    std::vector<HostEntry> hosts;
    if (const Json* list = wire::get_array(data, "k"))
        for (const Json& k : *list) leaders.emplace_back(k[0].get<std::string>(), k[1].get<std::uint64_t>());
    if (const Json* list = wire::get_array(data, "b"))
        for (const Json& b : *list) machineTypes.push_back(b.get<std::string>());
    const Json* list = wire::get_array(data, "h");
    if (!list) return hosts;
    for (const Json& e : *list) {
        HostEntry h;
        h.name = e[0].get<std::string>();
        if (int k = e[1].get<int>(); k >= 0) {
            h.leader = leaders.at(k).first;
            h.incarnation = leaders.at(k).second;
        }
        h.fencingToken = e[2].get<std::uint64_t>();
        h.address = e[3].get<std::string>();
        h.machineType = machineTypes.at(e[4].get<std::size_t>());
        h.spot = e[5].get<int>() != 0;
        if (e.size() > 6) {
            h.leaving = static_cast<Leaving>(e[6].get<int>());
            h.leavingAtS = e[7].get<std::int64_t>();
        }
        hosts.push_back(std::move(h));
    }
    return hosts;
}

namespace {

// A machine as ["name",leader,fencing token,"address",build,loaner], and of one that leaves ,leaving,at; without the
// places in the tables.
std::size_t host_size(const HostEntry& host) {
    constexpr std::size_t kBracketsAndCommas = 7, kSpot = 1, kLeavingAndCommas = 3;
    std::size_t size = kBracketsAndCommas + kSpot;
    size += quoted_size(host.name) + quoted_size(host.address) + digits(host.fencingToken);
    if (host.leaving != Leaving::no) size += kLeavingAndCommas + digits(static_cast<std::uint64_t>(host.leavingAtS));
    return size;
}

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
    constexpr std::size_t kMinusOne = 2;  // "-1": no leader
    std::size_t size = kFrame + hostBytes_ + commas(hosts_) + commas(leaders_.size()) + commas(machineTypes_.size());
    for (const auto& [leader, count] : leaders_) size += 3 + quoted_size(leader.first) + digits(leader.second);
    for (const auto& [machineType, count] : machineTypes_) size += quoted_size(machineType);
    return size + hosts_ * (std::max(kMinusOne, digits(leaders_.size())) + digits(machineTypes_.size()));
}

std::size_t ChunkRecord::Entry::size_bound() const {
    constexpr std::size_t kBracketsAndCommas = 8;
    return kBracketsAndCommas + digits(index) + digits(attempt) + quoted_size(host) + digits(fencingToken) +
           digits(static_cast<std::uint64_t>(atS)) + quoted_size(quotaOwner);
}

std::size_t ChunkRecord::size_bound() const {
    constexpr std::size_t kFrame = sizeof(R"({"d":[],"e":[]})") - 1;
    std::size_t size = kFrame;
    for (const auto& [first, last] : done) size += 4 + digits(first) + digits(last);
    for (const Entry& e : entries) size += e.size_bound();
    return size;
}

Json ChunkRecord::encode() const {
    Json doneRanges = Json::array(), list = Json::array();
    for (const auto& [first, last] : done) doneRanges.push_back({first, last});
    for (const Entry& e : entries) {
        if (e.host.empty())
            list.push_back({e.index, e.attempt, ""});
        else
            list.push_back({e.index, e.attempt, e.host, e.fencingToken, e.atS, e.quotaOwner});
    }
    return {{"d", std::move(doneRanges)}, {"e", std::move(list)}};
}

ChunkRecord ChunkRecord::decode(const Json& data) {
    ChunkRecord record;
    if (const Json* doneRanges = wire::get_array(data, "d"))
        for (const Json& r : *doneRanges)
            record.done.emplace_back(r[0].get<std::uint32_t>(), r[1].get<std::uint32_t>());
    const Json* list = wire::get_array(data, "e");
    if (!list) return record;
    for (const Json& e : *list) {
        Entry entry;
        entry.index = e[0].get<std::uint32_t>();
        entry.attempt = e[1].get<std::uint32_t>();
        entry.host = e[2].get<std::string>();
        if (!entry.host.empty()) {
            entry.fencingToken = e[3].get<std::uint64_t>();
            entry.atS = e[4].get<std::int64_t>();
            entry.quotaOwner = e[5].get<std::string>();
        }
        record.entries.push_back(std::move(entry));
    }
    return record;
}

}  // namespace wellstair::state
