// The part of a transaction that changes machines: registrations, returns, and ranges that have to be divided.
#include <algorithm>

#include "controller/draft.hpp"

namespace wellstair::controller {

namespace keys = model::keys;

namespace {

// How full the parts of a divided range are at first: the emptier, the longer until the next division. Fuller ones are
// tried where the transaction has no room for as many.
constexpr double kPartFills[] = {0.6, 0.75, 0.9, 0.98};

}  // namespace

void Draft::RangeEdit::set(const model::HostEntry& host) {
    erase(host.name);
    size.add(host);
    hosts[host.name] = host;
}

void Draft::RangeEdit::erase(const std::string& name) {
    auto it = hosts.find(name);
    if (it == hosts.end()) return;
    size.remove(it->second);
    hosts.erase(it);
}

model::HostRange& Draft::range_for(const std::string& host, model::HostRange& range) {
    auto it = moved_.find(host);
    return it == moved_.end() ? range : view_.range_entry(it->second);
}

Draft::RangeEdit* Draft::edit_range(model::HostRange& range) {
    auto it = ranges_.find(range.key);
    if (it != ranges_.end()) return &it->second;
    if (!room(1, 1, range.size.bytes())) return nullptr;
    it = ranges_.try_emplace(range.key).first;
    for (const model::HostRecord* h : range.hosts) it->second.set(*h);
    rest_on(range);
    return &it->second;
}

// The machines of an edit in as many parts as needed, none filled by more than `fill`.
std::optional<std::vector<Draft::RangeEdit>> Draft::pack(const RangeEdit& edit, std::size_t most, double fill) const {
    const auto limit = static_cast<std::size_t>(fill * static_cast<double>(rules_.limits.value_bytes()));
    std::vector<RangeEdit> parts(1);
    for (const auto& [name, host] : edit.hosts) {
        parts.back().set(host);
        if (parts.back().size.bytes() <= limit) continue;
        if (parts.size() == most || parts.back().hosts.size() == 1) return std::nullopt;
        parts.back().erase(name);
        parts.emplace_back().set(host);
    }
    return parts;
}

bool Draft::keep_within_limit(model::HostRange& range) {
    const RangeEdit& edit = ranges_.at(range.key);
    if (!rules_.parts || edit.size.bytes() <= rules_.limits.value_bytes()) return room(0, 0, 0);
    auto most = static_cast<std::size_t>(std::max(0, rules_.limits.txnOps - writes())) + 1;
    std::optional<std::vector<RangeEdit>> parts;
    for (double fill : kPartFills) {
        parts = pack(edit, most, fill);
        if (parts) break;
    }
    if (!parts) return false;
    int more = static_cast<int>(parts->size()) - 1;
    if (!room(more, more, 0)) return false;
    // The machines that stay are the first by name; the others move to parts whose keys sort behind this one.
    std::uint32_t number = view_.next_part(range);
    ranges_[range.key] = std::move(parts->front());
    for (std::size_t i = 1; i < parts->size(); ++i) {
        std::string key = keys::range_part(range.key, number);
        while (ranges_.count(key)) key = keys::range_part(range.key, ++number);
        for (const auto& [name, host] : (*parts)[i].hosts) moved_[name] = key;
        rest_on(view_.range_entry(key));
        ranges_[key] = std::move((*parts)[i]);
    }
    about_.push_back("divide " + range.key + " into " + std::to_string(parts->size()));
    return true;
}

template <typename Change>
bool Draft::update(model::HostRange& given, const std::string& host, Change change) {
    model::HostRange& range = range_for(host, given);
    if (rules_.avoid.count(range.key)) return true;
    const bool fresh = !ranges_.count(range.key), compared = when_.count(range.key) > 0;
    RangeEdit* edit = edit_range(range);
    if (!edit) return false;
    std::optional<model::HostEntry> before;
    if (auto it = edit->hosts.find(host); it != edit->hosts.end()) before = it->second;
    change(*edit);
    if (keep_within_limit(range)) return true;
    if (fresh) {
        ranges_.erase(range.key);
        if (!compared) when_.erase(range.key);
    } else if (before) {
        edit->set(*before);
    } else {
        edit->erase(host);
    }
    return false;
}

bool Draft::register_host(model::HostRange& range, const model::HostEntry& next, std::uint64_t atLeast) {
    bool fits = update(range, next.name, [&](RangeEdit& edit) {
        model::HostEntry entry = next;
        auto known = edit.hosts.find(next.name);
        std::uint64_t before = std::max(known == edit.hosts.end() ? 0 : known->second.baton, atLeast);
        // Above every earlier one: those were at most one above a revision that this view has seen, or are known here.
        entry.baton = std::max(view_.epoch(), before) + 1;
        edit.set(entry);
    });
    if (fits) about_.push_back("claim " + next.name);
    return fits;
}

bool Draft::claim(const wire::Report& r, const std::string& keeper, std::uint64_t incarnation) {
    model::HostRecord* known = view_.host(r.host);
    model::HostRange& range = known && known->range ? *known->range : view_.range_of(r.host, r.hall);
    model::HostEntry next;
    if (known) next = *known;
    next.name = r.host, next.keeper = keeper, next.incarnation = incarnation;
    next.address = r.address, next.build = r.build, next.loaner = r.loaners;
    return register_host(range, next, r.baton);
}

bool Draft::claim(model::HostRecord& host, const std::string& keeper, std::uint64_t incarnation) {
    model::HostEntry next = host;
    next.keeper = keeper, next.incarnation = incarnation;
    return register_host(*host.range, next, 0);
}

bool Draft::mark_return(const std::string& host, const std::string& hall, std::int64_t atS, bool gone,
                        const std::string& why) {
    model::HostRecord* known = view_.host(host);
    model::HostRange& range = known && known->range ? *known->range : view_.range_of(host, hall);
    bool fits = update(range, host, [&](RangeEdit& edit) {
        auto entry = edit.hosts.find(host);
        model::HostEntry next = entry == edit.hosts.end() ? model::HostEntry{} : entry->second;
        next.name = host;
        next.leaving = gone ? model::Leaving::gone : std::max(next.leaving, model::Leaving::marked);
        next.leavingAtS = atS;
        edit.set(next);
    });
    if (fits) about_.push_back((gone ? "returned " : "return (" + why + ") ") + host);
    return fits;
}

bool Draft::forget_host(model::HostRecord& h) {
    std::string name = h.name;
    bool fits = update(*h.range, name, [&](RangeEdit& edit) { edit.erase(name); });
    if (fits) about_.push_back("forget " + name);
    return fits;
}

bool Draft::divide(model::HostRange& range) {
    return update(range, "", [](RangeEdit&) {});
}

}  // namespace wellstair::controller
