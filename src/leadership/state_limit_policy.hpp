// What this process may write to the state service: the layout of the keys, the switch to a newer layout, and the
// limits that hold now or were announced in the settings (docs/upgrade.md).
//
// Owns what refusals of the state service have shown. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "leadership/shard_assignment.hpp"
#include "state/transaction_builder.hpp"

namespace wellstair::leadership {

class StateLimitPolicy {
  public:
    StateLimitPolicy(ControllerContext& context, const ShardAssignment& assignment, RoundSchedule& schedule)
        : context_(context), assignment_(assignment), schedule_(schedule) {}

    // The layout of the stored keys that this process's settings lead to.
    state::LayoutRecord own_layout() const;
    // What a registration under this process's lease says.
    state::MemberData member_data() const;

    // What transactions keep to: the present limits of the state service, or the lower of these and the announced ones.
    config::StateLimits limits() const;
    state::WriteRules write_rules() const;

    // The state service refused a transaction that wrote these keys as malformed. The announced limits may hold
    // already; otherwise the keys are left alone for a lease, so that nothing else waits for them.
    void handle_rejected_transaction(const std::vector<std::string>& keys, Timestamp now);
    void expire_rejections(Timestamp now);

    // Proposes the layout switch once every member can write the newer layout. Returns whether it was proposed.
    bool propose_layout_switch(state::TransactionBuilder& builder) const;
    // Splits one shard that is larger than the announced limit allows, before anything has to be changed in it.
    void split_shards(state::TransactionBuilder& builder, Timestamp now);

  private:
    bool layout_switched() const;
    bool splitting_allowed() const;
    bool can_write_split_shards(const std::string& member) const;

    ControllerContext& context_;
    const ShardAssignment& assignment_;
    RoundSchedule& schedule_;
    bool limitsFell_ = false;                          // the state service has refused what the present limits allow
    std::map<std::string, double> rejectedKeysUntil_;  // by key: steady time
    double lastSplitS_ = -1e9;
};

}  // namespace wellstair::leadership
