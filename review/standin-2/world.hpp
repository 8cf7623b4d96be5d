// Stand-ins for what surrounds the controllers: state service, cloud, workers and users, on loopback addresses and the
// real clock. They follow the operators' protocol page; what a case needs beyond that it adds in its own file.
// One thread, one io_context. Controllers run as processes of their own.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace world {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Json = nlohmann::json;
using Work = asio::awaitable<void>;
inline constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

inline asio::io_context& io() {
    static asio::io_context context(1);
    return context;
}

inline double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline std::mt19937& rng() {
    static std::mt19937 generator(1);
    return generator;
}
inline double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(rng());
}

// record.txt: what was sent, answered and run.
inline FILE*& record_file() {
    static FILE* file = nullptr;
    return file;
}
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
    if (!record_file()) return;
    std::fprintf(record_file(), "%9.3f ", now());
    va_list args;
    va_start(args, format);
    std::vfprintf(record_file(), format, args);
    va_end(args);
    std::fputc('\n', record_file());
    std::fflush(record_file());
}

inline Work pause(double seconds) {
    asio::steady_timer timer(io(), std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                       std::chrono::duration<double>(std::max(0.0, seconds))));
    co_await timer.async_wait(kAwait);
}

inline void spawn(Work work) {
    asio::co_spawn(io(), std::move(work), [](std::exception_ptr error) {
        if (!error) return;
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& e) {
            std::fprintf(stderr, "stand-in failed: %s\n", e.what());
            std::_Exit(2);
        }
    });
}

inline std::string pack(const Json& body) {
    std::string bytes;
    Json::to_msgpack(body, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}
inline Json unpack(const std::string& bytes) {
    if (bytes.empty()) return Json();
    return Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
}

struct Reply {
    int status = 0;  // 0: no answer
    Json body;
    bool refused = false;  // the connection could not be opened
};

inline Reply make_reply(int status, Json body = Json::object()) {
    Reply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

// A message to a server, on a connection of its own or on one that is kept.
class Client {
  public:
    explicit Client(unsigned short port) : port_(port) {}

    asio::awaitable<Reply> call(std::string method, std::string target, std::string body, double timeoutS) {
        Reply reply;
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(int(timeoutS * 1000));
        if (!stream_) {
            stream_ = std::make_unique<beast::tcp_stream>(io());
            stream_->expires_at(deadline);
            auto [error] = co_await stream_->async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), port_), kAwait);
            if (error) {
                stream_.reset();
                reply.refused = true;
                co_return reply;
            }
            beast::error_code ignored;
            stream_->socket().set_option(tcp::no_delay(true), ignored);
        }
        stream_->expires_at(deadline);
        http::request<http::string_body> request(http::string_to_verb(method), target, 11);
        request.set(http::field::host, "127.0.0.1");
        if (method == "POST") {
            request.set(http::field::content_type, "application/msgpack");
            request.body() = std::move(body);
            request.prepare_payload();
        }
        auto [writeError, written] = co_await http::async_write(*stream_, request, kAwait);
        if (writeError) {
            stream_.reset();
            co_return reply;
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        auto [readError, read] = co_await http::async_read(*stream_, buffer, parser, kAwait);
        if (readError) {
            stream_.reset();
            co_return reply;
        }
        reply.status = int(parser.get().result_int());
        reply.body = unpack(parser.get().body());
        if (parser.get().keep_alive())
            stream_->expires_never();
        else
            stream_.reset();
        co_return reply;
    }
    void close() { stream_.reset(); }

  private:
    unsigned short port_;
    std::unique_ptr<beast::tcp_stream> stream_;
};

inline asio::awaitable<Reply> call_once(unsigned short port, std::string method, std::string target, std::string body,
                                        double timeoutS) {
    Client client(port);
    Reply reply = co_await client.call(std::move(method), std::move(target), std::move(body), timeoutS);
    co_return reply;
}

// An HTTP server. The handler returns the reply; status 0 leaves the request without one.
class Server {
  public:
    using Handler = std::function<asio::awaitable<Reply>(std::string method, std::string target, Json body)>;
    explicit Server(Handler handler)
        : handler_(std::move(handler)), acceptor_(io(), {asio::ip::address_v4::loopback(), 0}) {
        port_ = acceptor_.local_endpoint().port();
        spawn(accept());
    }
    unsigned short port() const { return port_; }

  private:
    Work accept() {
        for (;;) {
            auto [error, socket] = co_await acceptor_.async_accept(kAwait);
            if (!error) spawn(serve(std::move(socket)));
        }
    }
    Work serve(tcp::socket socket) {
        beast::tcp_stream stream(std::move(socket));
        beast::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(1 << 20);
            auto [readError, read] = co_await http::async_read(stream, buffer, parser, kAwait);
            if (readError) co_return;
            auto& request = parser.get();
            Reply reply = co_await handler_(std::string(request.method_string()), std::string(request.target()),
                                            unpack(request.body()));
            if (!reply.status) {
                co_await pause(600);
                co_return;
            }
            http::response<http::string_body> response(static_cast<http::status>(reply.status), 11);
            response.body() = pack(reply.body);
            response.prepare_payload();
            auto [writeError, written] = co_await http::async_write(stream, response, kAwait);
            if (writeError) co_return;
        }
    }
    Handler handler_;
    tcp::acceptor acceptor_;
    unsigned short port_ = 0;
};

inline std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> out;
    auto mark = target.find('?');
    if (mark == std::string::npos) return out;
    std::istringstream text(target.substr(mark + 1));
    std::string part;
    while (std::getline(text, part, '&')) {
        auto equals = part.find('=');
        out[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return out;
}

// Requests per second, with a burst of one second's worth.
struct Bucket {
    double rate = 0, tokens = 0, at = 0;
    explicit Bucket(double perSecond) : rate(perSecond), tokens(perSecond) {}
    bool take(double count) {
        tokens = std::min(rate, tokens + (now() - at) * rate);
        at = now();
        if (tokens < count) return false;
        tokens -= count;
        return true;
    }
};

// The state service (PROTOCOL, "Controller nodes -> state service").
class StateService {
  public:
    StateService(double rps, double writeRps, int txnOps)
        : requests_(rps), writes_(writeRps), txnOps_(txnOps), server_([this](std::string m, std::string t, Json b) {
              return handle(std::move(m), std::move(t), std::move(b));
          }) {
        spawn(expire());
    }
    unsigned short port() const { return server_.port(); }

    // Half of it passes before a request is carried out, half before its answer.
    double latencyS = 0.005;
    std::uint64_t refused = 0, answered = 0;

    // A key that is there from the beginning.
    void seed(const std::string& path, Json data) { write(path, std::move(data), 0, ++epoch_, false); }
    const Json* get(const std::string& path) const {
        auto it = keys_.find(path);
        return it == keys_.end() ? nullptr : &it->second.data;
    }
    std::size_t size() const { return keys_.size(); }

  private:
    struct Value {
        Json data;
        std::uint64_t stamp = 0, hold = 0;
    };
    struct Change {
        std::string path;
        std::optional<Json> data;
        std::uint64_t stamp = 0;
    };

    asio::awaitable<Reply> handle(std::string method, std::string target, Json body) {
        co_await pause(latencyS / 2);
        if (!requests_.take(1)) {
            ++refused;
            co_return make_reply(429);
        }
        ++answered;
        Reply reply;
        if (target.starts_with("/follow?"))
            reply = co_await follow(target);
        else
            reply = carry_out(method, target, body);
        co_await pause(latencyS / 2);
        co_return reply;
    }

    Reply carry_out(const std::string& method, const std::string& target, const Json& body) {
        if (target.starts_with("/keys?")) return list(target);
        if (target.starts_with("/keys/")) return read(target.substr(6));
        if (target == "/commit") return commit(body);
        if (target == "/grants") return grant(body);
        if (target.starts_with("/grants/")) return lease_call(method, target.substr(8));
        return make_reply(400);
    }

    Reply read(const std::string& path) {
        auto it = keys_.find(path);
        if (it == keys_.end()) return make_reply(404, Json{{"epoch", epoch_}});
        Json out = {{"path", path}, {"data", it->second.data}, {"stamp", it->second.stamp}};
        if (it->second.hold) out["hold"] = it->second.hold;
        return make_reply(200, out);
    }

    Reply list(const std::string& target) {
        auto query = query_of(target);
        const std::string prefix = query["prefix"], since = query["since"];
        std::size_t page = query.count("page") ? std::stoul(query["page"]) : 1000;
        page = std::min<std::size_t>(page, 1000);
        Json pairs = Json::array();
        std::size_t bytes = 0;
        bool more = false;
        auto it = since.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(since);
        for (; it != keys_.end() && it->first.starts_with(prefix); ++it) {
            if (pairs.size() == page || bytes > 500 * 1024) {
                more = true;
                break;
            }
            Json pair = {{"path", it->first}, {"data", it->second.data}, {"stamp", it->second.stamp}};
            bytes += it->first.size() + 40 + (it->second.data.size() > 1 ? it->second.data.dump().size() : 16);
            pairs.push_back(std::move(pair));
        }
        Json out;
        out["pairs"] = std::move(pairs);
        out["hasNext"] = more;
        out["epoch"] = epoch_;
        return make_reply(200, std::move(out));
    }

    Reply commit(const Json& body) {
        static const Json kNone = Json::array();
        const Json& when = body.contains("when") ? body["when"] : kNone;
        const Json& apply = body.contains("apply") ? body["apply"] : kNone;
        if (int(apply.size()) > txnOps_ || int(when.size()) > 4 * txnOps_) return make_reply(400, Json{{"error", "too large"}});
        if (!writes_.take(double(apply.size()))) {
            ++refused;
            return make_reply(429);
        }
        for (const Json& operation : apply)
            if (operation.contains("hold") && !leases_.count(operation["hold"].get<std::uint64_t>()))
                return make_reply(400, Json{{"error", "no such lease"}});
        Json failed = Json::array();
        for (const Json& condition : when) {
            auto it = keys_.find(condition["path"].get<std::string>());
            const std::uint64_t stamp = it == keys_.end() ? 0 : it->second.stamp;
            if (stamp != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["path"]);
        }
        if (!failed.empty()) {
            Json out;
            out["failed"] = failed;
            out["epoch"] = epoch_;
            if (onConflict) onConflict(body, failed);
            return make_reply(409, out);
        }
        if (!apply.empty()) {
            ++epoch_;
            for (const Json& operation : apply) {
                if (operation.contains("remove"))
                    write(operation["remove"], std::nullopt, 0, epoch_, true);
                else
                    write(operation["set"], operation["data"], operation.value("hold", std::uint64_t{0}), epoch_, true);
            }
            if (onApplied) onApplied(body);
            wake();
        }
        return make_reply(200, Json{{"epoch", epoch_}});
    }

    void write(const std::string& path, std::optional<Json> data, std::uint64_t hold, std::uint64_t stamp, bool log) {
        if (log) log_.push_back({path, data, stamp});
        if (data) {
            Value& value = keys_[path];
            value.data = std::move(*data);
            value.stamp = stamp;
            value.hold = hold;
        } else {
            keys_.erase(path);
        }
    }

    Reply grant(const Json& body) {
        const double ttlS = body["ttlMs"].get<double>() / 1000;
        const std::uint64_t id = ++lastLease_;
        leases_[id] = {ttlS, now() + ttlS};
        return make_reply(200, Json{{"hold", id}});
    }

    Reply lease_call(const std::string& method, const std::string& rest) {
        const std::uint64_t id = std::stoull(rest);
        auto it = leases_.find(id);
        if (it == leases_.end()) return make_reply(404);
        if (method == "DELETE")
            end_lease(id);
        else
            it->second.second = now() + it->second.first;
        return make_reply(200, Json{{"hold", id}});
    }

    void end_lease(std::uint64_t id) {
        leases_.erase(id);
        std::vector<std::string> attached;
        for (const auto& [path, value] : keys_)
            if (value.hold == id) attached.push_back(path);
        if (attached.empty()) return;
        ++epoch_;
        for (const auto& path : attached) write(path, std::nullopt, 0, epoch_, true);
        wake();
    }

    Work expire() {
        for (;;) {
            co_await pause(0.02);
            std::vector<std::uint64_t> ended;
            for (const auto& [id, lease] : leases_)
                if (now() > lease.second + 0.02) ended.push_back(id);
            for (std::uint64_t id : ended) end_lease(id);
        }
    }

    void wake() {
        for (auto& timer : waiters_) timer->cancel();
    }

    asio::awaitable<Reply> follow(std::string target) {
        auto query = query_of(target);
        const std::uint64_t since = std::stoull(query["since"]);
        const double until = now() + (query.count("waitMs") ? std::stod(query["waitMs"]) : 0) / 1000;
        if (!log_.empty() && log_.size() > 10000 && since + 1 < log_[log_.size() - 10000].stamp)
            co_return make_reply(410, Json::object());
        for (;;) {
            if (epoch_ > since && (!log_.empty() && log_.back().stamp > since)) break;
            const double left = until - now();
            if (left <= 0) break;
            auto timer = std::make_shared<asio::steady_timer>(io(), std::chrono::milliseconds(int(left * 1000) + 1));
            waiters_.insert(timer);
            co_await timer->async_wait(kAwait);
            waiters_.erase(timer);
        }
        co_return changes_since(since);
    }

    Reply changes_since(std::uint64_t since) {
        Json news = Json::array();
        auto first = std::upper_bound(log_.begin(), log_.end(), since,
                                      [](std::uint64_t stamp, const Change& change) { return stamp < change.stamp; });
        for (auto it = first; it != log_.end(); ++it) {
            Json entry;
            if (it->data) {
                entry["set"] = it->path;
                entry["data"] = *it->data;
            } else {
                entry["remove"] = it->path;
            }
            entry["stamp"] = it->stamp;
            news.push_back(std::move(entry));
        }
        Json out;
        out["epoch"] = epoch_;
        out["news"] = std::move(news);
        return make_reply(200, std::move(out));
    }

  public:
    std::function<void(const Json&, const Json&)> onConflict;
    std::function<void(const Json&)> onApplied;

  private:
    Bucket requests_, writes_;
    int txnOps_;
    std::uint64_t epoch_ = 1, lastLease_ = 0;
    std::map<std::string, Value> keys_;
    std::vector<Change> log_;
    std::map<std::uint64_t, std::pair<double, double>> leases_;  // time to live, end
    std::set<std::shared_ptr<asio::steady_timer>> waiters_;
    Server server_;
};

struct MachineType {
    std::string sku;
    double cores = 0, gpus = 0, ramGb = 0, cacheGb = 100, fetchGbPerS = 0.5, rate = 1, lowPrice = 0.3, startupS = 25;
    std::vector<std::string> halls;
};

// What the users know of their jobs; workers fetch the description from here.
struct JobInfo {
    Json spec;
    double runS = 1;   // how long task 0 really runs
    double moreS = 0;  // how much longer each further task runs than the one before it
};
inline std::map<std::string, JobInfo>& jobs() {
    static std::map<std::string, JobInfo> all;
    return all;
}

// Everything that is on some machine now, for the rules that the bench counts.
struct Rules {
    std::map<std::string, std::set<std::string>> on;  // task -> machines
    std::map<std::string, int> starts;                // task -> number of starts
    std::set<std::string> completed;                  // tasks that have run to their end
    std::vector<std::string> broken;
    void broke(const std::string& text) {
        broken.push_back(text);
        record("BROKEN %s", text.c_str());
    }
    void started(const std::string& task, const std::string& host) {
        ++starts[task];
        auto& where = on[task];
        for (const auto& other : where)
            if (other != host) broke("ran_twice: " + task + " starts on " + host + " while it is on " + other);
        where.insert(host);
        record("RUN   %s starts on %s", task.c_str(), host.c_str());
    }
    void left(const std::string& task, const std::string& host, const char* why) {
        on[task].erase(host);
        record("RUN   %s leaves %s: %s", task.c_str(), host.c_str(), why);
    }
};
inline Rules& rules() {
    static Rules all;
    return all;
}

struct WorkerTimes {
    double reportS = 3, leaseS = 22, gangWaitS = 35, gangPeerS = 8;
};

// The tasks of gangs that wait or run, by job and attempt.
struct Gang {
    std::set<std::string> present;
    bool started = false;
    double brokenS = -1;  // when a task of the started gang disappeared
};
inline Gang& gang(const std::string& job, std::uint64_t attempt) {
    static std::map<std::pair<std::string, std::uint64_t>, Gang> all;
    return all[{job, attempt}];
}

// A worker (PROTOCOL, "Workers -> controller nodes", "Controller nodes -> workers").
class Worker {
  public:
    Worker(std::string name, MachineType type, std::string hall, std::vector<std::pair<std::string, unsigned short>> nodes,
           WorkerTimes times, std::size_t firstNode)
        : name_(std::move(name)),
          type_(std::move(type)),
          hall_(std::move(hall)),
          nodes_(std::move(nodes)),
          times_(times),
          node_(firstNode % nodes_.size()),
          changed_(io()),
          server_([this](std::string m, std::string t, Json b) { return handle(std::move(m), std::move(t), std::move(b)); }) {
        answeredSentS_ = now();
        spawn(report_loop());
        spawn(lease_loop());
    }
    const std::string& name() const { return name_; }
    const std::string& hall() const { return hall_; }
    const MachineType& type() const { return type_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    double free_cores() const { return type_.cores - used("cores"); }
    bool has_image(const std::string& image) const { return images_.count(image) > 0; }
    // The machine is taken away with all that is on it.
    void remove() {
        removed_ = true;
        for (auto& [key, task] : tasks_) {
            leave_gang(key, "machine gone");
            if (on_machine(task)) rules().left(key.first, name_, "machine gone");
        }
        tasks_.clear();
    }
    bool removed() const { return removed_; }
    double startedS = now();
    // A slow link: what reports, their answers, commands and their answers take longer. A report is given up after 4 s.
    struct Link {
        double reportS = 0, reportAnswerS = 0, commandS = 0, commandAnswerS = 0;
    } link;

  private:
    struct Task {
        std::uint64_t attempt = 0;
        std::string phase = "pulling", cause;
        bool kept = false;
        std::uint64_t generation = 0;
    };
    // PROTOCOL, "How aims are counted": from when it has its image until it exits.
    static bool on_machine(const Task& task) {
        return task.phase == "waiting" || task.phase == "running" || task.phase == "flushing";
    }
    using Key = std::pair<std::string, std::uint64_t>;  // task, attempt

    double used(const char* field) const {
        double sum = 0;
        for (const auto& [key, task] : tasks_)
            if (task.phase != "ended") sum += jobs()[job_of(key.first)].spec.value(field, 0.0);
        return sum;
    }
    static std::string job_of(const std::string& task) { return task.substr(0, task.rfind('/')); }

    Json report() {
        Json steps = Json::array();
        for (const auto& [key, task] : tasks_) {
            Json entry;
            entry["step"] = key.first;
            entry["try"] = key.second;
            entry["phase"] = task.phase;
            if (!task.cause.empty()) entry["cause"] = task.cause;
            if (task.kept) entry["kept"] = true;
            steps.push_back(std::move(entry));
        }
        Json out;
        out["host"] = name_;
        out["address"] = address();
        out["build"] = type_.sku;
        out["hall"] = hall_;
        out["loaners"] = false;
        out["tenure"] = tenure_;
        out["tick"] = ++tick_;
        out["baton"] = baton_;
        out["reclaimS"] = nullptr;
        out["steps"] = std::move(steps);
        return out;
    }

    void change() {
        changePending_ = true;
        changed_.cancel();
    }

    Work report_loop() {
        co_await pause(uniform(0, 0.5));
        std::unique_ptr<Client> client;
        for (;;) {
            if (!client) client = std::make_unique<Client>(nodes_[node_].second);
            changePending_ = false;
            if (removed_) co_return;
            const double sentS = now();
            const std::uint64_t tenure = tenure_;
            const std::string bytes = pack(report());
            if (link.reportS > 0) co_await pause(link.reportS);
            Reply reply = co_await client->call("POST", "/checkin", bytes, 4.0 - link.reportS);
            if (link.reportAnswerS > 0) co_await pause(link.reportAnswerS);
            if (now() - sentS > 4.0) reply = Reply{};
            if (removed_) co_return;
            if (reply.status == 200) {
                if (tenure == tenure_) accept(reply.body, sentS);
                const double untilS = sentS + times_.reportS * uniform(0.75, 1.25);
                co_await pause(std::max(0.0, sentS + 0.5 - now()));
                while (!changePending_ && now() < untilS) {
                    changed_.expires_after(std::chrono::milliseconds(int((untilS - now()) * 1000) + 1));
                    co_await changed_.async_wait(kAwait);
                }
                continue;
            }
            client.reset();
            std::size_t next = (node_ + 1) % nodes_.size();
            double waitS = 1;
            if (reply.status == 421 && reply.body.contains("foreman"))
                for (std::size_t i = 0; i < nodes_.size(); ++i)
                    if (nodes_[i].first == reply.body["foreman"] && i != node_) next = i, waitS = uniform(0, 0.5);
            node_ = next;
            co_await pause(waitS);
        }
    }

    void accept(const Json& body, double sentS) {
        const std::uint64_t baton = body.value("baton", std::uint64_t{0});
        if (baton < baton_ || !body.contains("baton")) return;
        if (baton > baton_) {
            baton_ = baton;
            if (now() - lastTokenChangeS_ > times_.leaseS / 2) {
                lastTokenChangeS_ = now();
                change();
            }
        }
        answeredSentS_ = std::max(answeredSentS_, sentS);
        if (body.contains("orders")) execute(body["orders"]);
    }

    asio::awaitable<Reply> handle(std::string method, std::string target, Json body) {
        Reply reply = make_reply(404);
        if (removed_) co_return make_reply(0);
        if (link.commandS > 0) co_await pause(link.commandS);
        if (removed_) co_return make_reply(0);
        if (method == "GET" && target == "/status") reply = make_reply(200, report());
        if (method == "POST" && target == "/commands") reply = commands(body);
        if (link.commandAnswerS > 0) co_await pause(link.commandAnswerS);
        co_return reply;
    }

    Reply commands(const Json& body) {
        if (!body.contains("baton") || !body.contains("tenure")) return make_reply(400);
        const std::uint64_t baton = body["baton"];
        if (baton < baton_ || body["tenure"] != tenure_) return make_reply(409, report());
        if (baton > baton_) {
            baton_ = baton;
            change();
        }
        if (body.contains("orders")) execute(body["orders"]);
        return make_reply(200, report());
    }

    void execute(const Json& orders) {
        for (const Json& order : orders) {
            const std::string verb = order["verb"], step = order["step"];
            const Key key{step, order["try"].get<std::uint64_t>()};
            record("ORDER %s %s try %llu on %s", verb.c_str(), step.c_str(), (unsigned long long)key.second, name_.c_str());
            if (verb == "start") start(key);
            if (verb == "halt") halt(key, order.value("windDownS", 0.0));
            if (verb == "reap") {
                auto it = tasks_.find(key);
                if (it != tasks_.end() && it->second.phase == "ended") tasks_.erase(it), change();
            }
        }
    }

    void start(const Key& key) {
        if (tasks_.count(key)) return;
        auto job = jobs().find(job_of(key.first));
        std::string refusal;
        if (job == jobs().end()) {
            refusal = "unknown";
        } else {
            for (const auto& [other, task] : tasks_)
                if (other.first == key.first && task.phase != "ended") refusal = "busy";
            const Json& spec = job->second.spec;
            if (refusal.empty() && (used("cores") + spec.value("cores", 0.0) > type_.cores + 1e-9 ||
                                    used("gpus") + spec.value("gpus", 0.0) > type_.gpus + 1e-9 ||
                                    used("ramGb") + spec.value("ramGb", 0.0) > type_.ramGb + 1e-9))
                refusal = "full";
        }
        Task& task = tasks_[key];
        task.attempt = key.second;
        task.generation = ++generation_;
        if (!refusal.empty()) {
            task.phase = "ended";
            task.cause = refusal;
            record("RUN   %s refused on %s: %s", key.first.c_str(), name_.c_str(), refusal.c_str());
        } else {
            spawn(run(key, task.generation, tenure_));
        }
        change();
    }

    Task* same(const Key& key, std::uint64_t generation) {
        auto it = tasks_.find(key);
        return it != tasks_.end() && it->second.generation == generation ? &it->second : nullptr;
    }

    Work run(Key key, std::uint64_t generation, std::uint64_t) {
        const JobInfo& info = jobs()[job_of(key.first)];
        const std::string image = info.spec.value("bundle", "");
        if (!images_.count(image)) {
            const double readyS = fetching_.count(image) ? fetching_[image]
                                                         : now() + info.spec.value("imageGb", 0.0) / type_.fetchGbPerS;
            fetching_[image] = readyS;
            co_await pause(readyS - now());
            images_.insert(image);
            fetching_.erase(image);
        }
        Task* task = same(key, generation);
        if (!task || task->phase != "pulling") co_return;
        const unsigned steps = info.spec["steps"];
        const bool isGang = info.spec["shape"] == "gang" && steps > 1;
        task->phase = isGang ? "waiting" : "running";
        rules().started(key.first, name_);
        change();
        if (isGang) {
            Gang& all = gang(job_of(key.first), key.second);
            all.present.insert(key.first);
            const double untilS = now() + times_.gangWaitS;
            while (!all.started && all.present.size() < steps && now() < untilS) {
                co_await pause(0.05);
                task = same(key, generation);
                if (!task || task->phase != "waiting") co_return;
            }
            if (!all.started && all.present.size() < steps) {
                end(key, *task, "incomplete");
                co_return;
            }
            all.started = true;
            task->phase = "running";
            change();
            spawn(watch_peers(key, generation));
        }
        co_await pause(rules().completed.count(key.first)
                           ? 0
                           : info.runS + (isGang ? 0 : info.moreS * std::stoi(key.first.substr(key.first.rfind('/') + 1))));
        task = same(key, generation);
        if (!task || task->phase != "running") co_return;
        rules().completed.insert(key.first);
        end(key, *task, "done");
    }

    // A task of a running gang notices that another one has disappeared.
    Work watch_peers(Key key, std::uint64_t generation) {
        for (;;) {
            co_await pause(0.2);
            Task* task = same(key, generation);
            if (!task || task->phase != "running") co_return;
            const Gang& all = gang(job_of(key.first), key.second);
            if (all.brokenS < 0 || now() - all.brokenS < times_.gangPeerS / 2) continue;
            end(key, *task, "peers");
            co_return;
        }
    }

    void leave_gang(const Key& key, const std::string& cause) {
        const Json& spec = jobs()[job_of(key.first)].spec;
        if (spec["shape"] != "gang" || spec["steps"] == 1) return;
        Gang& all = gang(job_of(key.first), key.second);
        if (all.present.erase(key.first) && all.started && cause != "done" && all.brokenS < 0) all.brokenS = now();
    }

    void end(const Key& key, Task& task, const char* cause) {
        const bool was = on_machine(task);
        leave_gang(key, cause);
        task.phase = "ended";
        task.cause = cause;
        if (was) rules().left(key.first, name_, cause);
        change();
    }

    void halt(const Key& key, double windDownS) {
        auto it = tasks_.find(key);
        if (it == tasks_.end() || it->second.phase == "ended") return;
        const Json& spec = jobs()[job_of(key.first)].spec;
        const double flushS = spec.value("flushS", 0.0);
        if (it->second.phase == "running" && spec.value("snapshotS", 0.0) > 0 && windDownS >= flushS) {
            it->second.phase = "flushing";
            change();
            spawn(flush(key, it->second.generation, flushS));
            return;
        }
        if (it->second.phase == "flushing" && windDownS > 0) return;
        end(key, it->second, "halted");
    }

    Work flush(Key key, std::uint64_t generation, double flushS) {
        co_await pause(flushS);
        Task* task = same(key, generation);
        if (!task || task->phase != "flushing") co_return;
        task->kept = true;
        end(key, *task, "halted");
    }

    Work lease_loop() {
        for (;;) {
            co_await pause(0.05);
            if (now() - answeredSentS_ <= times_.leaseS) continue;
            record("LEASE of %s ends, session %llu", name_.c_str(), (unsigned long long)tenure_);
            for (auto& [key, task] : tasks_) {
                leave_gang(key, "lease ended");
                if (on_machine(task)) rules().left(key.first, name_, "lease ended");
            }
            tasks_.clear();
            ++tenure_;
            answeredSentS_ = now();
            change();
        }
    }

    std::string name_;
    MachineType type_;
    std::string hall_;
    std::vector<std::pair<std::string, unsigned short>> nodes_;
    WorkerTimes times_;
    std::size_t node_;
    asio::steady_timer changed_;
    bool changePending_ = false, removed_ = false;
    std::uint64_t tenure_ = 1, tick_ = 0, baton_ = 0, generation_ = 0;
    double answeredSentS_ = 0, lastTokenChangeS_ = -1e9;
    std::map<Key, Task> tasks_;
    std::set<std::string> images_;
    std::map<std::string, double> fetching_;
    Server server_;
};

// The cloud: a fixed set of machines, nothing more to rent.
class Cloud {
  public:
    explicit Cloud(std::vector<MachineType> types)
        : types_(std::move(types)), server_([this](std::string m, std::string t, Json b) {
              return handle(std::move(m), std::move(t), std::move(b));
          }) {}
    unsigned short port() const { return server_.port(); }
    std::vector<std::unique_ptr<Worker>>* workers = nullptr;
    std::set<std::string> returned;
    std::function<Json(const Json&)> onRent;  // the names of the machines rented, none without capacity

  private:
    asio::awaitable<Reply> handle(std::string method, std::string target, Json body) {
        co_await pause(0.08);
        Reply reply = make_reply(404);
        if (target == "/machine_types") reply = make_reply(200, types());
        if (target.starts_with("/machines?")) reply = make_reply(200, list());
        if (method == "POST" && target == "/machines") {
            reply = make_reply(503, Json{{"error", "no capacity"}});
            if (onRent) {
                Json hosts = onRent(body);
                if (!hosts.empty()) reply = make_reply(200, Json{{"hosts", hosts}});
            }
        }
        if (method == "POST" && target == "/machines/return") {
            for (const auto& name : body["hosts"]) {
                record("CLOUD return of %s", name.get<std::string>().c_str());
                returned.insert(name.get<std::string>());
                for (auto& worker : *workers)
                    if (worker->name() == name && !worker->removed()) worker->remove();
            }
            reply = make_reply(200);
        }
        co_return reply;
    }
    Json types() const {
        Json list = Json::array();
        for (const auto& type : types_) {
            Json entry;
            entry["sku"] = type.sku;
            entry["cores"] = type.cores;
            entry["gpus"] = type.gpus;
            entry["ramGb"] = type.ramGb;
            entry["cacheGb"] = type.cacheGb;
            entry["fetchGbPerS"] = type.fetchGbPerS;
            entry["rate"] = type.rate;
            entry["lowPrice"] = type.lowPrice;
            entry["startupS"] = type.startupS;
            entry["halls"] = type.halls;
            list.push_back(std::move(entry));
        }
        return Json{{"builds", list}};
    }
    Json list() const {
        Json hosts = Json::array();
        if (workers)
            for (const auto& worker : *workers) {
                if (returned.count(worker->name())) continue;
                Json entry;
                entry["ref"] = worker->name();
                entry["address"] = worker->address();
                entry["build"] = worker->type().sku;
                entry["hall"] = worker->hall();
                entry["loaners"] = false;
                entry["phase"] = "running";
                entry["heldS"] = now() - worker->startedS + 60;
                hosts.push_back(std::move(entry));
            }
        Json out;
        out["hosts"] = std::move(hosts);
        out["hasNext"] = false;
        return out;
    }
    std::vector<MachineType> types_;
    Server server_;
};

// A free port below the range from which the system takes ports for outgoing connections.
inline unsigned short free_port() {
    static std::mt19937 generator(std::random_device{}());
    static std::set<unsigned short> given;
    for (int attempts = 0; attempts < 1000; ++attempts) {
        const auto port = static_cast<unsigned short>(std::uniform_int_distribution<int>(12000, 31999)(generator));
        tcp::acceptor acceptor(io());
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
        if (!error && given.insert(port).second) return port;
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

// A controller: the project's program, as the deploy file starts it.
struct Controller {
    std::string name, zone, folder;
    std::vector<std::string> command;  // without the settings file
    unsigned short front = 0, internal = 0;
    pid_t pid = 0;

    std::string settings_path() const { return folder + "/" + name + ".toml"; }
    void start() {
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int log = open((folder + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 2);
            dup2(log, 1);
            for (int fd = 3; fd < 4096; ++fd) close(fd);
            std::vector<std::string> words = command;
            words.push_back(settings_path());
            std::vector<char*> argv;
            for (auto& word : words) argv.push_back(word.data());
            argv.push_back(nullptr);
            execv(argv[0], argv.data());
            _exit(127);
        }
        record("PROC  %s starts as %d", name.c_str(), int(pid));
    }
    void send(int signal, const char* what) {
        record("PROC  %s: %s", name.c_str(), what);
        if (pid > 0) kill(pid, signal);
    }
    void kill_now() {
        if (pid <= 0) return;
        send(SIGKILL, "killed");
        int status = 0;
        waitpid(pid, &status, 0);
        pid = 0;
    }
    // Whether the process has ended by itself; its status then.
    std::optional<int> ended() {
        int status = 0;
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
            pid = 0;
            return status;
        }
        return std::nullopt;
    }
};

struct Site {
    std::vector<std::string> zones;
    double rps = 150, writeRps = 60;
    int txnOps = 16;
    double reportS = 3, leaseS = 22, gangWaitS = 35, gangPeerS = 8, cancelS = 47;
    double cloudRps = 5, listLagS = 6, cores = 0.048, ramMb = 104;
    int maxSockets = 1800;
    std::string teams;  // TOML
};

inline std::string settings_of(const Site& site, const std::vector<Controller>& all, std::size_t self,
                               unsigned short statePort, unsigned short cloudPort) {
    std::ostringstream out;
    auto local = [](unsigned short port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    out << "member = \"" << all[self].name << "\"\nlocation = \"" << all[self].zone << "\"\n";
    out << "front = " << local(all[self].front) << "internal_addr = " << local(all[self].internal);
    for (std::size_t i = 0; i < all.size(); ++i)
        if (i != self)
            out << "[[members]]\nmember = \"" << all[i].name << "\"\nlocation = \"" << all[i].zone
                << "\"\npeer_addr = " << local(all[i].internal);
    out << "[endpoints]\ncloud = " << local(cloudPort) << "state = " << local(statePort);
    out << "[deployment]\nsize = " << all.size() << "\nzones = [";
    for (std::size_t i = 0; i < site.zones.size(); ++i) out << (i ? ", " : "") << '"' << site.zones[i] << '"';
    out << "]\nskew_ms = 250.0\n" << site.teams;
    out << "[deployment.workers]\nreport_s = " << std::to_string(site.reportS)
        << "\nlease_s = " << std::to_string(site.leaseS) << "\ngang_wait_s = " << std::to_string(site.gangWaitS)
        << "\ngang_peer_s = " << std::to_string(site.gangPeerS) << "\ncancel_s = " << std::to_string(site.cancelS);
    out << "\n[deployment.state]\nrps = " << std::to_string(site.rps) << "\nwrite_rps = " << std::to_string(site.writeRps)
        << "\nvalue_kb = 8.0\ntxn_ops = " << site.txnOps << "\n[deployment.cloud]\nrps = " << std::to_string(site.cloudRps)
        << "\nlist_lag_s = " << std::to_string(site.listLagS) << "\n[deployment.quota]\ncores = " << std::to_string(site.cores)
        << "\nram_mb = " << std::to_string(site.ramMb) << "\nmax_sockets = " << site.maxSockets << "\n";
    return out.str();
}

// The three parts of a run that every case has: the folder, the controllers and their end.
class Deployment {
  public:
    // argv: case folder, temporary folder, then the words of the deploy file's `run`.
    Deployment(int argc, char** argv, Site site, std::vector<std::string> zonesOfControllers,
               std::vector<MachineType> types)
        : site(std::move(site)),
          state(this->site.rps, this->site.writeRps, this->site.txnOps),
          cloud(std::move(types)) {
        if (argc < 4) {
            std::fprintf(stderr, "usage: case FOLDER TEMPORARY_FOLDER PROGRAM ARGUMENTS...\n");
            std::exit(2);
        }
        signal(SIGPIPE, SIG_IGN);
        record_file() = std::fopen((std::string(argv[1]) + "/record.txt").c_str(), "w");
        if (!record_file()) std::exit(2);
        now();
        const char* trouble = std::getenv("TROUBLE");
        this->trouble = !(trouble && std::string(trouble) == "0");
        record("TROUBLE=%d", this->trouble ? 1 : 0);
        for (std::size_t i = 0; i < zonesOfControllers.size(); ++i) {
            Controller controller;
            controller.name = "stairhost-" + std::to_string(i);
            controller.zone = zonesOfControllers[i];
            controller.folder = argv[2];
            for (int k = 3; k < argc; ++k) controller.command.push_back(argv[k]);
            controller.front = free_port();
            controller.internal = free_port();
            controllers.push_back(std::move(controller));
        }
        for (std::size_t i = 0; i < controllers.size(); ++i)
            std::ofstream(controllers[i].settings_path())
                << settings_of(this->site, controllers, i, state.port(), cloud.port());
        cloud.workers = &workers;
    }
    ~Deployment() { end_all(); }
    void end_all() {
        for (auto& controller : controllers) controller.kill_now();
    }
    void start_all() {
        for (auto& controller : controllers) controller.start();
    }
    Worker& add_worker(const std::string& name, const MachineType& type, const std::string& hall) {
        std::vector<std::pair<std::string, unsigned short>> nodes;
        for (const auto& controller : controllers) nodes.emplace_back(controller.name, controller.front);
        // Machines begin with different nodes, in the order of their numbers.
        const std::size_t number = std::stoul(name.substr(name.find_first_of("0123456789")));
        workers.push_back(
            std::make_unique<Worker>(name, type, hall, nodes, WorkerTimes{site.reportS, site.leaseS, site.gangWaitS, site.gangPeerS}, number));
        return *workers.back();
    }
    asio::awaitable<bool> healthy(std::size_t i) {
        Reply reply = co_await call_once(controllers[i].front, "GET", "/healthz", "", 1.0);
        co_return reply.status == 200;
    }
    asio::awaitable<bool> wait_healthy(std::size_t i, double untilS) {
        while (now() < untilS) {
            const bool ok = co_await healthy(i);
            if (ok) co_return true;
            co_await pause(0.1);
        }
        co_return false;
    }
    std::string cloud_caller() const {
        const Json* role = state.get("ws/roles/cloud");
        return role ? role->value("by", "") : "";
    }

    Site site;
    StateService state;
    Cloud cloud;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<Controller> controllers;
    bool trouble = true;
};

// Ends the run with the exit code of the script: 1 broken, 0 held, 2 could not run.
[[noreturn]] inline void finish(Deployment& deployment, int code, const std::string& text) {
    record("RESULT %d %s", code, text.c_str());
    std::printf("%s: %s\n", code == 1 ? "broken" : code == 0 ? "held" : "could not run", text.c_str());
    std::fflush(stdout);
    deployment.end_all();
    std::_Exit(code);
}

inline Json job_spec(const std::string& ref, const std::string& crew, unsigned steps, double cores, double expectS) {
    Json spec;
    spec["ref"] = ref;
    spec["lane"] = "sweep";
    spec["crew"] = crew;
    spec["shape"] = "batch";
    spec["rank"] = "standard";
    spec["steps"] = steps;
    spec["cores"] = cores;
    spec["gpus"] = 0.0;
    spec["ramGb"] = 1.0;
    spec["bundle"] = "img-01";
    spec["imageGb"] = 0.5;
    spec["builds"] = nullptr;
    spec["hall"] = nullptr;
    spec["together"] = false;
    spec["scatter"] = false;
    spec["loaners"] = true;
    spec["expectS"] = expectS;
    spec["snapshotS"] = 0.0;
    spec["flushS"] = 0.0;
    spec["dueS"] = nullptr;
    return spec;
}

// Sends a submission until it is answered, as users do; returns the status of the answer, 0 after 60 s without one.
// A user's cancellation, repeated until it is answered.
inline Work withdraw(Deployment& deployment, std::string ref, std::size_t node) {
    const double untilS = now() + 60;
    for (; now() < untilS; ++node) {
        const auto& controller = deployment.controllers[node % deployment.controllers.size()];
        Reply reply = co_await call_once(controller.front, "POST", "/v2/runs/" + ref + "/withdraw", pack(Json::object()), 5.0);
        record("USER  withdraw %s at %s: %d %s", ref.c_str(), controller.name.c_str(), reply.status, reply.body.dump().c_str());
        if (reply.status == 200) co_return;
        co_await pause(reply.refused ? 0.02 : 1);
    }
}

inline asio::awaitable<int> submit(Deployment& deployment, Json spec, double runS, double moreS,
                                   std::size_t firstNode) {
    const std::string ref = spec["ref"];
    jobs()[ref] = {spec, runS, moreS};
    const double untilS = now() + 60;
    for (std::size_t i = firstNode; now() < untilS; ++i) {
        const auto& node = deployment.controllers[i % deployment.controllers.size()];
        Reply reply = co_await call_once(node.front, "POST", "/v2/runs", pack(spec), 5.0);
        if (reply.refused) {
            co_await pause(0.02);
            continue;  // the load balancer moves on
        }
        record("USER  submit %s at %s: %d %s", ref.c_str(), node.name.c_str(), reply.status, reply.body.dump().c_str());
        if (reply.status == 200 || reply.status == 201 || reply.status == 400 || reply.status == 422) co_return reply.status;
        co_await pause(1);
    }
    co_return 0;
}

inline asio::awaitable<Reply> poll(Deployment& deployment, std::string ref, std::size_t firstNode) {
    Reply reply;
    for (std::size_t i = firstNode; i < firstNode + deployment.controllers.size(); ++i) {
        const auto& node = deployment.controllers[i % deployment.controllers.size()];
        reply = co_await call_once(node.front, "GET", "/v2/runs/" + ref, "", 2.0);
        if (reply.refused) continue;
        record("USER  poll %s at %s: %d %s", ref.c_str(), node.name.c_str(), reply.status, reply.body.dump().c_str());
        break;
    }
    co_return reply;
}

}  // namespace world
