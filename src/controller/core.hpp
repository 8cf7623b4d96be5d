// Every decision of a controller, free of I/O: reports, requests and the watch come in, transactions, orders and
// answers go out. Time is passed in, so that kept traces replay on a virtual clock.
//
// It works by levels, not edges: each round compares what the state service holds with what the machines report and
// proposes the next transaction. Whatever was lost, late or done by somebody else shows in the next comparison.
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <variant>

#include "app/settings.hpp"
#include "controller/checkin_statistics.hpp"
#include "controller/draft.hpp"
#include "model/host.hpp"
#include "model/view.hpp"
#include "peers/packet.hpp"
#include "placement/lem.hpp"
#include "placement/overload.hpp"
#include "placement/rental.hpp"
#include "placement/room.hpp"

namespace wellstair::controller {

struct Moment {
    double steady = 0;  // seconds on the steady clock
    double wall = 0;    // time of day, seconds
};

struct Tunables {
    double leaWeight = 1;    // W; 0: the number of machines
    double fetchGbPerS = 0;  // 0: what the cloud publishes for the type
    double headroom = 1;     // machines kept ahead of demand, as a multiple of what arrives during a boot
    placement::Weights::Mode mode = placement::Weights::Mode::mixed;
};

struct Answer {
    int status = 200;
    wire::Json body;
    double retryAfterS = 0;
};

struct Admission {
    enum Kind { kept, claim, redirect, refuse } kind = refuse;
    std::string foreman;
};

// What a worker's report is answered with.
struct CheckinAnswer {
    enum Kind {
        renewed,   // 200: the worker's lease is renewed, and counted here
        claiming,  // the machine's registration is on its way to the state service: ask again
        redirect,  // 421: another controller keeps it
        refuse,    // 503
    } kind = refuse;
    std::string keeper;       // redirect: whom it should report to
    std::uint64_t token = 0;  // renewed: the fencing token
    std::vector<wire::Order> orders;
};

struct RentalOrder {
    std::string build, hall;
    bool loaner = false;
    std::uint32_t number = 0;
};

class Core {
  public:
    Core(const app::Settings& settings, Tunables tunables, std::uint64_t incarnation);

    // --- the picture of the state service
    model::View& view() { return *view_; }
    void reset_view();  // the watch lost its place: everything is read again
    void set_view_ready(bool ready) { viewReady_ = ready; }
    bool view_ready() const { return viewReady_; }
    std::uint64_t member_stamp() const;  // 0: this incarnation is not registered
    void set_member_state(model::MemberState s, Moment now);
    model::MemberState member_state() const { return member_; }
    std::uint64_t incarnation() const { return incarnation_; }

    // --- users
    // Known already (final, or open and the view is of this moment): the answer.
    std::optional<Answer> known(const std::string& id);
    Answer poll(const std::string& id);  // the view must be of this moment
    // Why the job can never run; nothing if it can. `unsure` when the machine types are not known yet.
    std::optional<std::string> never_runs(const wire::JobSpec& spec, bool& unsure) const;

    // --- workers
    // Answers a worker's report. The only place that grants an answer of 200, which renews the worker's lease, and
    // counts that lease from the same moment.
    CheckinAnswer check_in(const wire::Report& r, Moment now);
    // The report that a command was answered with: it tells what is on the machine and renews nothing.
    void take_command_reply(const wire::Report& r, Moment now);
    std::vector<wire::Order> orders(const std::string& host, bool byCommand, Moment now);
    // Orders that should go out now rather than with their hosts' next reports.
    std::vector<std::pair<std::string, std::vector<wire::Order>>> commands_due(Moment now);
    void commands_sent(const std::string& host, const std::vector<wire::Order>& orders, Moment now);
    void commands_answered(const std::string& host, const std::vector<wire::Order>& orders, bool answered,
                           std::uint64_t baton);
    CheckinStatistics& checkin_statistics() { return checkinStatistics_; }
    // Asks the next round to register the machine here.
    void note_claim(const wire::Report& r);
    model::HostNotes* notes(const std::string& host);

    // --- rounds
    // The next transaction of this controller, empty if there is nothing to do.
    Draft round(Moment now);
    bool tick(Moment now);  // time alone changes things: silent and expired hosts
    bool dirty() const { return dirty_; }
    void touch() { dirty_ = true; }
    void touch_all() { dirty_ = planDue_ = true; }  // a transaction did not apply: propose it all again
    Draft new_draft();
    // What transactions keep to: the present limits of the state service, or the lower of these and the announced ones.
    app::StateLimits state_limits() const;
    // The state service refused a transaction as malformed: the announced limits may hold already, and what it wrote is
    // left alone for a while, so that nothing else waits for it.
    void note_malformed(const std::vector<std::string>& keys, Moment now);
    // What a registration under this process's lease says.
    model::MemberData member_data() const;
    // The layout of the stored keys that this process's settings lead to.
    model::LayoutRecord own_layout() const;

    // --- cloud (the holder of the role)
    // This process holds it. One of the same name that has ended holds it until its lease ends: this one takes it over.
    bool holds_cloud_role() const {
        return view_->cloud_role() == settings_.member && view_->cloud_role_incarnation() == incarnation_;
    }
    bool may_take_cloud_role() const {
        return !view_->cloud_role_stamp() || (view_->cloud_role() == settings_.member && !holds_cloud_role());
    }
    bool take_cloud_role(Draft& draft, std::uint64_t hold) const;
    // Asked before each call: the role lasts as long as the member's lease, which may end while a call is under way.
    bool may_call_cloud() const { return member_ == model::MemberState::live && member_stamp() && holds_cloud_role(); }
    struct CloudView {
        std::vector<wire::Machine> machines;
        double atS = -1e9;
    };
    void set_machines(std::vector<wire::Machine> machines, Moment now);
    void plan_rentals(Moment now);  // once for a series of calls
    std::vector<RentalOrder> rentals(Moment now);
    void rented(const RentalOrder& order, const std::vector<std::string>& hosts, Moment now);
    void refused(const RentalOrder& order, Moment now);
    std::vector<std::string> returns_due(Moment now);  // marked: to be returned now
    // Marks machines for return: surplus, failed, faulty or lost ones.
    void propose_returns(Draft& draft, Moment now);
    void mark_gone(Draft& draft, const std::vector<std::string>& hosts, Moment now);

    // --- peers
    void set_hint(const peers::Hint& hint, Moment now);
    peers::Hint own_hint(double storeAgeS, Moment now) const;
    bool peer_has_store(Moment now) const;
    // All cancellations that are confirmed, as far as this controller knows: the store's, those that it has confirmed
    // to users itself, and those that the others told of.
    std::vector<std::string> cancellations() const;
    void note_cancelled(const std::vector<std::string>& ids);
    // The processes of all other controllers, by the last read; without those that are not there.
    std::map<std::string, std::uint64_t> others() const;
    bool peer_heard(Moment now) const;  // some other controller has spoken of late

    bool responsible(const model::Job& job) const;
    // The same number in every controller, spread evenly.
    static std::uint64_t mix(std::string_view a, std::string_view b);
    static const char* phase_name(const model::Job& job);

  private:
    Admission admit(const wire::Report& r, Moment now);
    // Whether a report of a machine kept here may be answered with 200; then the lease is counted from now.
    bool renew_lease(const wire::Report& r, Moment now);
    // Takes in what a report of a machine kept here tells, unless something newer is known.
    void take_report(const wire::Report& r, model::ReportSource source, Moment now);
    struct Proof {
        enum Verdict { none, done, gone } verdict = none;
        const char* reason = "";
    };
    Proof proof(const model::HostRecord& h, const model::StepRef& ref);
    // Every host that may have something to do is in `due_`; a round looks at these alone.
    void mark(const model::HostRecord& h) { due_.insert(h.name); }
    void mark_job(const model::Job& job);
    bool settled(const model::HostRecord& h, const model::HostNotes& n) const;
    // For so long a host that is well has never been quiet.
    bool silent(const model::HostNotes& n, Moment now) const {
        return n.lease.age(now.steady) > kSilentReports * settings_.reportS;
    }
    static constexpr double kSilentReports = 1.6;  // intervals: they vary by a quarter, and one may be late
    bool layout_switched() const { return view_->layout().version >= model::kLayoutWithParts; }
    bool parts_allowed() const;
    bool propose_switch(Draft& draft) const;
    void divide_ranges(Draft& draft, Moment now);
    void claim_hosts(Draft& draft, Moment now);
    // All machines of the range that no live process keeps.
    bool claim_orphans(Draft& draft, const model::HostRange& range);
    void hand_over(Draft& draft, Moment now);
    bool orphan(const model::HostRecord& h) const;
    const std::string& preferred(const model::HostRange& range) const;
    model::GangState gang_state(const model::Job& job) const;
    bool stopping(const model::Job& job, const model::Step& step) const;
    bool cancelled(const std::string& id) const;
    bool cancelled(const model::Job& job) const;
    bool may_start_cancelled(const model::HostRecord& h) const;
    bool holds_cancelled(const model::HostRecord& h, const model::HostNotes& n, Moment now) const;
    void log_start(const model::HostRecord& h, const wire::Order& start, const char* sentBy, Moment now) const;
    void add_blind_halts(const model::HostRecord& h, const model::HostNotes& n, std::vector<wire::Order>& all) const;
    bool kept_here(const model::HostRecord* h) const;
    bool usable(const model::HostRecord& h, Moment now) const;
    void on_step(model::Job& job, std::uint32_t index, const model::Step& before, const model::Step& after);
    void note_replica_end(const model::Job& job, const std::string& host, Moment now);
    bool may_move_replica(const model::Job& job, std::uint32_t index, Moment now) const;
    // Since when a service has had an open replica, by the time of day.
    double open_since(const model::Job& job) const;
    bool holds_service(const model::HostRecord& h) const;
    void note_end(model::HostNotes& n, const std::string& host, const model::TaskKey& key, const model::Seen& seen,
                  Moment now);

    void clear_ended(Draft& draft, Moment now);
    void finish_jobs(Draft& draft);
    void place(Draft& draft, Moment now);

    struct Queued {
        model::Job* job;
        int rank;
        bool beyond;
        bool waited = false;  // has waited for so long that it goes first
        double share = 0;     // of all machines that it may use: what its open tasks take
    };
    std::vector<Queued> ordered_queue(const std::vector<placement::Machine>& machines, Moment now) const;
    void order_for_machines(std::vector<Queued>& queue, const std::vector<placement::Machine>& machines,
                            Moment now) const;
    void order_within_limits(std::vector<Queued>& queue, Moment now) const;
    void put_lost_replicas_first(std::vector<Queued>& queue) const;
    void put_long_waiting_first(std::vector<Queued>& queue, Moment now) const;
    bool has_team_room(const wire::JobSpec& spec) const;
    void spend_waited(std::map<std::string, double>& next, const Queued& q, std::uint32_t tasks, Moment now) const;
    std::vector<double> due_times(const wire::JobSpec& spec, bool beyond) const;
    struct Plan {
        struct Start {
            model::Job* job;
            std::vector<std::pair<std::uint32_t, model::HostRecord*>> tasks;
            std::uint32_t attempt;
        };
        std::vector<Start> starts;
        struct Unmet {
            model::Job* job;
            std::uint32_t tasks;
            bool beyond;     // more than its team's guarantee
            double soonest;  // the first promised start, or never
        };
        std::vector<Unmet> unmet;                  // tasks that cannot start now
        std::vector<model::HostRecord*> records;   // by machine
        std::vector<placement::Machine> machines;  // with what the plan holds on them
    };
    // `act`: as far as this controller has its turn; otherwise everything, to see what lacks room.
    Plan make_plan(Moment now, bool act);
    double turn(const model::Job& job) const;
    std::vector<std::size_t> machines_of(const model::Job& job, const std::vector<model::HostRecord*>& records) const;
    void preempt(const Plan& plan, Moment now);
    void note_arrivals(Moment now);
    placement::Request probe(const wire::JobSpec& spec, std::uint32_t count) const;
    std::set<const model::Job*> beyond_guarantee() const;
    std::vector<placement::Machine> machines(Moment now, std::vector<model::HostRecord*>& records);
    placement::Request request_of(const model::Job& job) const;
    placement::Weights weights(std::size_t machines) const;
    std::uint32_t hall_id(const std::string& hall);
    std::uint32_t kind_id(const std::string& build, const std::string& hall, bool loaner);

    const app::Settings& settings_;
    Tunables tunables_;
    std::uint64_t incarnation_;
    std::unique_ptr<model::View> view_;
    bool viewReady_ = false;
    double liveSinceS_ = -1e9;
    model::StateMachine<model::MemberState, model::MemberTraits> member_{model::MemberState::joining};
    bool dirty_ = true;
    bool planDue_ = true;      // something that placement depends on has changed
    double plannedS_ = -1e9;   // when it was last planned
    double nextTurnS_ = 1e18;  // time of day of the next turn of this controller at some job
    struct Kind {
        std::string build, hall;
        bool loaner;
    };
    std::vector<Kind> kinds_;
    std::vector<std::string> halls_;
    // Room that is being made by stopping tasks, until when it is kept for its job.
    struct Reservation {
        std::vector<std::string> hosts;  // by task
        double untilS;                   // time of day
    };
    std::map<std::string, Reservation> reservations_;
    // From when on the next job that has waited for long goes first: of a team, and by the machines (no name).
    std::map<std::string, double> waitedNextS_;
    std::uint64_t lastOrder_ = 0;  // the newest job that was planned for

    std::set<std::string> cancelled_;  // confirmed, and not seen in the store yet
    std::unordered_map<std::string, model::HostNotes> notes_;
    CheckinStatistics checkinStatistics_;
    std::map<std::string, wire::Report> claims_;
    struct Redirected {
        double atS = -1e9;
        std::uint64_t tenure = 0, tick = 0;
    };
    std::unordered_map<std::string, Redirected> redirected_;
    std::unordered_map<std::string, double> takenS_;  // hosts taken from a live keeper: when
    std::map<std::string, double> unreached_;         // controllers that some host could not reach: when
    std::set<std::string> due_;
    Moment now_;
    double claimedS_ = -1e9, handedS_ = -1e9, returnsS_ = -1e9;
    std::uint64_t membersSeen_ = 0;
    bool limitsFell_ = false;              // the state service has refused what the present limits allow
    std::map<std::string, double> avoid_;  // keys that it refused as too large: until when they are left alone
    double dividedS_ = -1e9;
    int firstStage_ = 0;  // of a round: rotates while transactions are full
    struct JobNotes {
        std::set<std::string> failedOn;
        int failures = 0;
        double notBeforeS = -1e9;
        double lastFailureS = -1e9;
    };
    std::unordered_map<std::string, JobNotes> jobNotes_;
    std::unordered_map<std::string, double> replicaLostS_;  // services: time of day of the last loss
    // Jobs that would run but for room kept for others: since when, and when that was seen last; a moment without any
    // room, between two tasks, does not end it. Kept room is a courtesy, and may not cost a job more than two leases.
    struct HeldBack {
        double sinceS, seenS;
    };
    std::unordered_map<std::string, HeldBack> heldBack_;
    bool held_back_too_long(const std::string& id, Moment now) const {
        auto it = heldBack_.find(id);
        return it != heldBack_.end() && now.steady - it->second.sinceS > 2 * settings_.leaseS;
    }
    // Foreign hosts on which a planned start does not happen: since when.
    std::unordered_map<std::string, double> doubts_;

    struct PeerNote {
        peers::Hint hint;
        double atS = -1e9;
    };
    std::map<std::string, PeerNote> hints_;

    CloudView cloud_;
    struct Coming {
        RentalOrder what;
        double sinceS;
    };
    std::map<std::string, Coming> coming_;
    struct Refusal {
        double untilS = -1e9;
    };
    std::map<std::string, Refusal> refusals_;
    std::vector<std::pair<wire::JobSpec, std::uint32_t>> wanted_;  // tasks without room: what they need, how many
    std::map<std::string, double> idleSince_;
    std::map<std::string, double> strangeSince_;  // hosts that nobody keeps alive
    struct LaneNote {
        wire::JobSpec last;
        std::deque<std::pair<double, std::uint32_t>> arrivals;  // steady time, tasks
    };
    std::map<std::string, LaneNote> lanes_;
    struct Urgent {
        double cores = 0, gpus = 0, lastS = -1e9;
    };
    // What one job of a team and rank takes, as seen of late.
    std::map<std::pair<std::string, int>, Urgent> urgent_;
    std::set<std::string> counted_;
};

}  // namespace wellstair::controller
