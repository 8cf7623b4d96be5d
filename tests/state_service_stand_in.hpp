// A fake of the state service on the loopback interface: keys with revisions, leases, transactions and reads of
// changes. Unlike the real service it does not delay reads of changes while there are none.
#pragma once

#include <map>
#include <set>
#include <string>

#include "loopback_server.hpp"

namespace wellstair::test {

class StateServiceStandIn {
  public:
    explicit StateServiceStandIn(asio::io_context& io)
        : server_(io, [this](const ReceivedRequest& request) { return reply(request); }) {}

    config::Endpoint endpoint() const { return server_.endpoint(); }
    const LoopbackServer& server() const { return server_; }

    bool silent = false;      // receives requests without replying
    bool failsReads = false;  // replies 500 to reads
    // Called for each request before the reply.
    std::function<void(const ReceivedRequest&)> onRequest = [](const ReceivedRequest&) {};

    // Writes a key in a revision of its own, as another controller would.
    void put(const std::string& path, const wire::Json& data) { write(path, data, ++revision_); }

    // Expires a lease: removes its keys, and rejects further requests that name it.
    void expire_lease(std::uint64_t lease) {
        leases_.erase(lease);
        ++revision_;
        for (const auto& [path, holder] : std::map(attached_))
            if (holder == lease) write(path, std::nullopt, revision_);
    }

    // The id of the lease granted last; 0 if there is none.
    std::uint64_t newest_lease() const { return lastLease_; }
    // The revision of the last write of the key; 0 if it does not exist.
    std::uint64_t revision_of(const std::string& path) const {
        auto it = keys_.find(path);
        return it == keys_.end() ? 0 : it->second.second;
    }
    // The number of applied transactions that set the key.
    int writes_of(const std::string& path) const {
        auto it = writes_.find(path);
        return it == writes_.end() ? 0 : it->second;
    }
    // The number of reads without a long poll, as sent by the read barrier.
    std::size_t barrier_reads() const {
        std::size_t reads = 0;
        for (const auto& request : server_.requests()) reads += request.target.ends_with("&waitMs=0") ? 1 : 0;
        return reads;
    }

  private:
    using Json = wire::Json;

    std::optional<StandInReply> reply(const ReceivedRequest& request) {
        onRequest(request);
        if (silent) return std::nullopt;
        const std::string& target = request.target;
        const bool reads = target.starts_with("/follow?") || target.starts_with("/keys?");
        if (reads && failsReads) return StandInReply{500, Json::object()};
        if (target.starts_with("/follow?")) return follow(target);
        if (target.starts_with("/keys?")) return all_keys();
        if (target == "/commit") return commit(request.body);
        if (target == "/grants") return grant();
        const std::string lease = target.substr(std::string("/grants/").size());
        return StandInReply{leases_.count(std::stoull(lease)) ? 200 : 404, Json::object()};
    }

    StandInReply grant() {
        leases_.insert(++lastLease_);
        return {200, {{"hold", lastLease_}}};
    }

    StandInReply all_keys() const {
        Json pairs = Json::array();
        for (const auto& [path, value] : keys_)
            pairs.push_back({{"path", path}, {"data", value.first}, {"stamp", value.second}});
        return {200, {{"epoch", revision_}, {"pairs", pairs}, {"hasNext", false}}};
    }

    StandInReply follow(const std::string& target) const {
        const std::uint64_t since = std::stoull(target.substr(target.find("since=") + 6));
        Json news = Json::array();
        for (const Json& change : log_)
            if (change["stamp"].get<std::uint64_t>() > since) news.push_back(change);
        return {200, {{"epoch", revision_}, {"news", news}}};
    }

    StandInReply commit(const Json& transaction) {
        for (const Json& condition : transaction["when"])
            if (revision_of(condition["path"]) != condition["stamp"].get<std::uint64_t>())
                return {409, {{"epoch", revision_}, {"failed", Json::array({condition["path"]})}}};
        for (const Json& operation : transaction["apply"])
            if (operation.contains("hold") && !leases_.count(operation["hold"]))
                return {400, {{"error", "no such lease"}}};
        ++revision_;
        for (const Json& operation : transaction["apply"]) apply(operation);
        return {200, {{"epoch", revision_}}};
    }

    void apply(const Json& operation) {
        if (operation.contains("remove")) return write(operation["remove"], std::nullopt, revision_);
        const std::string path = operation["set"];
        write(path, operation["data"], revision_);
        ++writes_[path];
        if (operation.contains("hold")) attached_[path] = operation["hold"];
    }

    void write(const std::string& path, const std::optional<Json>& data, std::uint64_t revision) {
        attached_.erase(path);
        if (data) {
            keys_[path] = {*data, revision};
            log_.push_back({{"set", path}, {"data", *data}, {"stamp", revision}});
        } else {
            keys_.erase(path);
            log_.push_back({{"remove", path}, {"stamp", revision}});
        }
    }

    std::map<std::string, std::pair<Json, std::uint64_t>> keys_;
    std::map<std::string, std::uint64_t> attached_;  // the lease of each key that has one
    std::map<std::string, int> writes_;
    std::vector<Json> log_;
    std::set<std::uint64_t> leases_;
    std::uint64_t revision_ = 1, lastLease_ = 0;
    LoopbackServer server_;
};

}  // namespace wellstair::test
