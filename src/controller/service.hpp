// Joins the core with the protocols: its coroutines carry what the core decides.
#pragma once

#include <deque>
#include <memory>

#include "cloud/client.hpp"
#include "controller/core.hpp"
#include "front/server.hpp"
#include "model/inquiry.hpp"
#include "model/standing.hpp"
#include "peers/mesh.hpp"
#include "store/client.hpp"
#include "workers/channel.hpp"

namespace wellstair::controller {

namespace asio = boost::asio;

class Service {
  public:
    Service(asio::io_context& io, const app::Settings& settings, Tunables tunables);
    void start();

  private:
    struct UserOp {
        enum Kind { submit, withdraw } kind;
        std::string id;
        wire::JobSpec spec;
        double deadline = 0;
        bool retried = false;
        bool fresh = false;  // the view has been read up to a moment after the request came
        std::optional<Answer> answer;
    };
    using OpPtr = std::shared_ptr<UserOp>;

    Moment now() const { return {net::steady_now(), net::wall_now()}; }
    void spawn(asio::awaitable<void> a);

    // store
    asio::awaitable<void> membership();
    asio::awaitable<void> watch();
    asio::awaitable<void> barriers();
    asio::awaitable<bool> barrier(double timeoutS);
    asio::awaitable<bool> present();
    asio::awaitable<bool> load();
    void apply(const store::FollowResult& r);
    void apply_own(const Txn& txn, std::uint64_t epoch);
    asio::awaitable<bool> caught_up(std::uint64_t epoch, double timeoutS);
    model::Heard heard() const;
    void judge_standing();

    // rounds
    asio::awaitable<void> rounds();
    asio::awaitable<void> user_rounds();
    void send_commands();
    void log_statistics();
    asio::awaitable<void> command(std::string host, std::vector<wire::Order> orders, std::uint64_t baton,
                                  std::uint64_t tenure, std::string address);
    asio::awaitable<void> clockwork();

    // cloud
    asio::awaitable<void> cloud_work();
    // As of this moment, by the clock: calls take seconds.
    bool may_call_cloud();
    asio::awaitable<void> apply_draft(Draft draft);
    asio::awaitable<store::CommitResult> commit(const char* what, const Txn& txn);
    void follow_limits();

    // front
    asio::awaitable<front::Response> on_submit(std::string body);
    asio::awaitable<front::Response> on_poll(std::string id);
    asio::awaitable<front::Response> on_withdraw(std::string id);
    asio::awaitable<front::Response> on_checkin(std::string body);
    asio::awaitable<front::Response> run_op(OpPtr op);
    bool healthy() const;

    asio::io_context& io_;
    const app::Settings& settings_;
    Core core_;
    store::Client store_;
    cloud::Client cloud_;
    workers::Channels channels_;
    std::unique_ptr<front::Server> front_;
    std::unique_ptr<peers::Mesh> mesh_;

    std::uint64_t hold_ = 0;
    net::Signal changed_;  // the view has moved on
    net::Signal work_;     // a round is due
    net::Signal userWork_;
    net::Signal barrierAsked_, barrierDone_;
    std::uint64_t barrierWanted_ = 0, barrierStarted_ = 0, barrierOk_ = 0, barrierFailed_ = 0;
    std::deque<OpPtr> ops_;
    std::uint64_t asks_ = 0;
    double adriftSince_ = 0;
    double contactS_ = -1e9;   // when the last read of the state that was applied was sent
    std::uint64_t loads_ = 0;  // how often the state has been read anew: an answer from before is not applied
    model::Inquiry inquiry_;
    std::map<std::string, std::uint64_t> questions_;  // the newest of each other controller
    peers::Hint hint_;
    double hintAt_ = -1e9;
    double statisticsAt_ = 0;
    double readFailedSince_ = 0;  // the first of the reads that have failed in a row; 0: the last succeeded
};

}  // namespace wellstair::controller
