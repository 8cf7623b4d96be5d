// Answers to workers' reports. An answer of 200 renews the worker's lease: here it is granted, and counted.
#include <spdlog/spdlog.h>

#include "controller/core.hpp"

namespace wellstair::controller {

using model::HostNotes;
using model::HostState;

CheckinAnswer Core::check_in(const wire::Report& r, Moment now) {
    Admission admission = admit(r, now);
    CheckinAnswer answer;
    if (admission.kind == Admission::redirect) {
        answer.kind = CheckinAnswer::redirect;
        answer.keeper = admission.foreman;
    } else if (admission.kind == Admission::claim) {
        answer.kind = CheckinAnswer::claiming;
        note_claim(r);
    } else if (admission.kind == Admission::kept && renew_lease(r, now)) {
        take_report(r, model::ReportSource::checkin, now);
        answer.kind = CheckinAnswer::renewed;
        answer.token = view_->host(r.host)->baton;
        answer.orders = orders(r.host, false, now);
    }
    return answer;
}

bool Core::renew_lease(const wire::Report& r, Moment now) {
    HostNotes& n = notes_[r.host];
    const bool countedAsEnded = n.state == HostState::expired && r.tenure == n.lease.session();
    const model::WorkerLease before = n.lease;
    if (!n.lease.renew(r.tenure, r.tick, now.steady)) {
        checkinStatistics_.refused_as_older();
        spdlog::debug("report {}/{} of {} is refused as older: lease {}", r.tenure, r.tick, r.host,
                      before.describe(now.steady));
        return false;
    }
    const bool overtaken = !n.newer(r);
    checkinStatistics_.answered(before.age(now.steady) / settings_.leaseS, overtaken);
    if (countedAsEnded) {
        checkinStatistics_.back_in_ended_session();
        spdlog::warn("host {} reports in a session whose lease was counted as ended: {}", r.host,
                     before.describe(now.steady));
    }
    if (overtaken)
        spdlog::debug("report {}/{} of {} was overtaken by report {}/{}: its answer renews the lease, which was {}",
                      r.tenure, r.tick, r.host, n.session, n.reportNumber, before.describe(now.steady));
    return true;
}

void Core::take_command_reply(const wire::Report& r, Moment now) {
    take_report(r, model::ReportSource::command_reply, now);
}

}  // namespace wellstair::controller
