#include "autoscaling/cloud_role.hpp"

#include <utility>

namespace wellstair::autoscaling {

bool CloudRole::held_here() const {
    return context_.state().cloud_role_holder() == context_.member() &&
           context_.state().cloud_role_incarnation() == context_.incarnation();
}

bool CloudRole::may_acquire() const {
    if (!context_.state().cloud_role_revision()) return true;
    return context_.state().cloud_role_holder() == context_.member() && !held_here();
}

bool CloudRole::acquire(state::TransactionBuilder& builder, std::uint64_t memberLeaseId) const {
    wire::Json holder = {{"by", context_.member()}, {"inc", context_.incarnation()}};
    return builder.put(state::keys::kCloudRole, context_.state().cloud_role_revision(), std::move(holder),
                       memberLeaseId);
}

bool CloudRole::may_call_cloud() const {
    return context_.serving() && context_.member_revision() && held_here();
}

}  // namespace wellstair::autoscaling
