#include "workers/host_table.hpp"

namespace wellstair::workers {

HostTracker* HostTable::find(const std::string& host) {
    auto it = trackers_.find(host);
    return it == trackers_.end() ? nullptr : &it->second;
}

const HostTracker* HostTable::find(const std::string& host) const {
    auto it = trackers_.find(host);
    return it == trackers_.end() ? nullptr : &it->second;
}

bool HostTable::is_silent(const HostTracker& host, Timestamp now) const {
    return host.lease.renewal_age(now.steady) > silent_after();
}

}  // namespace wellstair::workers
