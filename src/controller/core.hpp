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
#include "controller/draft.hpp"
#include "model/host.hpp"
#include "model/view.hpp"
#include "peers/packet.hpp"
#include "placement/lem.hpp"
#include "placement/overload.hpp"
#include "placement/rental.hpp"

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
    void set_member_state(model::MemberState s);
    model::MemberState member_state() const { return member_; }
    std::uint64_t incarnation() const { return incarnation_; }

    // --- users
    // Known already (final, or open and the view is of this moment): the answer.
    std::optional<Answer> known(const std::string& id);
    Answer poll(const std::string& id);  // the view must be of this moment
    // Why the job can never run; nothing if it can. `unsure` when the machine types are not known yet.
    std::optional<std::string> never_runs(const wire::JobSpec& spec, bool& unsure) const;

    // --- workers
    Admission admit(const wire::Report& r, Moment now);
    // Of a host that is kept here: takes the report in.
    void digest(const wire::Report& r, bool checkin, Moment now);
    std::vector<wire::Order> orders(const std::string& host, bool byCommand, Moment now);
    // Hosts that should get orders now rather than with their next report.
    std::vector<std::string> hosts_to_command(Moment now);
    void commands_sent(const std::string& host, const std::vector<wire::Order>& orders, Moment now);
    void commands_answered(const std::string& host, const std::vector<wire::Order>& orders, bool answered,
                           std::uint64_t baton);
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

    // --- cloud (the holder of the role)
    struct CloudView {
        std::vector<wire::Machine> machines;
        double atS = -1e9;
    };
    void set_machines(std::vector<wire::Machine> machines, Moment now);
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

    bool responsible(const model::Job& job) const;
    static const char* phase_name(const model::Job& job);

  private:
    enum class Proof { none, done, gone };
    Proof proof(const model::HostRecord& h, const model::StepRef& ref);
    model::GangState gang_state(const model::Job& job) const;
    bool stopping(const model::Job& job, const model::Step& step) const;
    bool kept_here(const model::HostRecord* h) const;
    bool usable(const model::HostRecord& h, Moment now) const;
    std::string preferred(const std::string& host, const std::string& hall) const;
    void on_step(model::Job& job, std::uint32_t index, const model::Step& before, const model::Step& after);
    void note_end(model::HostNotes& n, const std::string& host, const model::TaskKey& key, const model::Seen& seen,
                  Moment now);

    void clear_ended(Draft& draft, Moment now);
    void finish_jobs(Draft& draft);
    void place(Draft& draft, Moment now);

    struct Queued {
        model::Job* job;
        int rank;
        bool beyond;
    };
    std::vector<Queued> ordered_queue(Moment now) const;
    void order_overloaded(std::vector<Queued>& queue, Moment now) const;
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
        std::vector<placement::Machine> machines;  // with what the plan holds on them
    };
    Plan make_plan(Moment now);
    void preempt(const Plan& plan, Moment now);
    void note_arrivals(Moment now);
    placement::Request probe(const wire::JobSpec& spec, std::uint32_t count,
                             const std::vector<placement::Machine>& machines) const;
    std::set<const model::Job*> beyond_guarantee() const;
    std::vector<placement::Machine> machines(Moment now, std::vector<model::HostRecord*>& records);
    placement::Request request_of(const model::Job& job, const std::vector<placement::Machine>& machines) const;
    placement::Weights weights(std::size_t machines) const;

    const app::Settings& settings_;
    Tunables tunables_;
    std::uint64_t incarnation_;
    std::unique_ptr<model::View> view_;
    bool viewReady_ = false;
    model::StateMachine<model::MemberState, model::MemberTraits> member_{model::MemberState::joining};
    bool dirty_ = true;
    bool planDue_ = true;          // something that placement depends on has changed
    double plannedS_ = -1e9;       // when it was last planned
    std::uint64_t lastOrder_ = 0;  // the newest job that was planned for

    std::unordered_map<std::string, model::HostNotes> notes_;
    std::unordered_map<std::string, wire::Report> claims_;
    std::unordered_map<std::string, double> redirected_;
    struct JobNotes {
        std::set<std::string> failedOn;
        int failures = 0;
        double notBeforeS = -1e9;
    };
    std::unordered_map<std::string, JobNotes> jobNotes_;
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
