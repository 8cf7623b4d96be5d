#include "model/inquiry.hpp"

#include <algorithm>

namespace wellstair::model {

namespace {
constexpr std::size_t kOpenQuestions = 64;  // an answer to an older one would come too late to be of use
}

std::uint64_t Inquiry::ask(double nowS) {
    asked_.emplace_back(next_, nowS);
    if (asked_.size() > kOpenQuestions) asked_.pop_front();
    return next_++;
}

void Inquiry::answered(const std::string& member, std::uint64_t incarnation, std::uint64_t question) {
    auto it = std::find_if(asked_.begin(), asked_.end(), [&](const auto& q) { return q.first == question; });
    if (it == asked_.end()) return;
    Answer& a = answers_[member];
    if (a.incarnation != incarnation) a = {incarnation, it->second};
    a.askedS = std::max(a.askedS, it->second);
}

double Inquiry::known_until(const std::map<std::string, std::uint64_t>& others) const {
    double until = std::numeric_limits<double>::infinity();
    for (const auto& [member, incarnation] : others) {
        auto it = answers_.find(member);
        if (it == answers_.end() || it->second.incarnation != incarnation)
            return -std::numeric_limits<double>::infinity();
        until = std::min(until, it->second.askedS);
    }
    return others.empty() ? -std::numeric_limits<double>::infinity() : until;
}

}  // namespace wellstair::model
