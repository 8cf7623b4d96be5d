// Joins the core with the protocols: its coroutines carry what the core decides.
#pragma once

#include <deque>
#include <memory>

#include "api/server.hpp"
#include "cloud/client.hpp"
#include "controller/core.hpp"
#include "leadership/availability.hpp"
#include "leadership/cancellation_read_barrier.hpp"
#include "peers/peer_network.hpp"
#include "store/client.hpp"
#include "workers/command_channel.hpp"

namespace wellstair::controller {

namespace asio = boost::asio;

class Service {
  public:
    Service(asio::io_context& io, const config::Settings& settings, Tunables tunables);
    void start();

  private:
    struct UserOp {
        enum Kind { submit, cancel } kind;
        std::string id;
        wire::JobSpec spec;
        double deadline = 0;
        bool retried = false;
        bool fresh = false;  // the view has been read up to a moment after the request came
        std::optional<Answer> answer;
    };
    using OpPtr = std::shared_ptr<UserOp>;

    Timestamp now() const { return {net::steady_now(), net::wall_now()}; }
    void spawn(asio::awaitable<void> a);

    // store
    asio::awaitable<void> membership();
    asio::awaitable<void> watch();
    asio::awaitable<void> barriers();
    asio::awaitable<bool> barrier(double timeoutS);
    asio::awaitable<bool> state_is_current();
    asio::awaitable<bool> load();
    void apply(const store::FollowResult& r);
    void apply_own(const state::Transaction& transaction, std::uint64_t revision);
    asio::awaitable<bool> caught_up(std::uint64_t revision, double timeoutS);
    leadership::AvailabilitySignals availability_signals() const;
    void update_availability();

    // rounds
    asio::awaitable<void> rounds();
    asio::awaitable<void> user_rounds();
    void send_commands();
    void log_statistics();
    asio::awaitable<void> command(std::string host, std::vector<wire::Command> commands, std::uint64_t fencingToken,
                                  std::uint64_t agentEpoch, std::string address);
    asio::awaitable<void> periodic_checks();

    // cloud
    asio::awaitable<void> cloud_work();
    // As of this moment, by the clock: calls take seconds.
    bool may_call_cloud();
    asio::awaitable<void> commit_transaction(state::TransactionBuilder builder);
    asio::awaitable<store::CommitResult> commit(const char* what, const state::Transaction& transaction);
    void follow_limits();

    // front
    asio::awaitable<api::Response> on_submit(std::string body);
    asio::awaitable<api::Response> on_poll(std::string id);
    asio::awaitable<api::Response> on_cancel(std::string id);
    asio::awaitable<api::Response> on_heartbeat(std::string body);
    asio::awaitable<api::Response> run_op(OpPtr op);
    bool healthy() const;

    asio::io_context& io_;
    const config::Settings& settings_;
    Core core_;
    store::Client store_;
    cloud::Client cloud_;
    workers::Channels channels_;
    std::unique_ptr<api::Server> front_;
    std::unique_ptr<peers::PeerNetwork> peerNetwork_;

    std::uint64_t memberLeaseId_ = 0;
    net::Signal changed_;  // the view has moved on
    net::Signal work_;     // a round is due
    net::Signal userWork_;
    net::Signal barrierAsked_, barrierDone_;
    std::uint64_t barrierWanted_ = 0, barrierStarted_ = 0, barrierOk_ = 0, barrierFailed_ = 0;
    std::deque<OpPtr> ops_;
    std::uint64_t rentRequests_ = 0;
    double disconnectedSince_ = 0;
    double lastReadS_ = -1e9;  // when the last read of the state that was applied was sent
    std::uint64_t loads_ = 0;  // how often the state has been read anew: an answer from before is not applied
    leadership::CancellationReadBarrier readBarrier_;
    std::map<std::string, std::uint64_t> peerRequests_;  // the newest of each other controller
    peers::PeerStatus ownStatus_;
    double ownStatusAt_ = -1e9;
    double statisticsAt_ = 0;
    double readFailedSince_ = 0;  // the first of the reads that have failed in a row; 0: the last succeeded
};

}  // namespace wellstair::controller
