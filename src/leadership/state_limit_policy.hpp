// Rules for what this process writes to the state service: the layout of the keys, the switch to a newer layout, and
// the current or announced limits of the state service from the settings (docs/upgrade.md).
//
// Owns the conclusions from transactions that the state service has refused. Single-threaded, free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/timestamp.hpp"
#include "leadership/controller_context.hpp"
#include "leadership/round_schedule.hpp"
#include "leadership/shard_assignment.hpp"
#include "state/transaction_builder.hpp"

namespace wellstair::leadership {

class StateLimitPolicy {
  public:
    StateLimitPolicy(ControllerContext& context, const ShardAssignment& assignment, RoundSchedule& schedule)
        : context_(context), assignment_(assignment), schedule_(schedule) {}

    // The layout of the stored keys that follows from this process's settings.
    state::LayoutRecord own_layout() const;
    // The value of this process's member key.
    state::MemberData member_data() const;

    // Limits that transactions must respect: the current ones of the state service, or the lower of the current and the
    // announced ones once shards may be split.
    config::StateLimits limits() const;
    state::WriteRules write_rules() const;

    // The state service refused a transaction that wrote these keys as malformed. The announced limits may be in effect
    // already. Otherwise the keys are not written for one lease, so that they do not block other changes.
    void handle_rejected_transaction(const std::vector<std::string>& keys, Timestamp now);
    void expire_rejections(Timestamp now);

    // Proposes the switch to the newer layout once every configured member can write it. Returns whether it was
    // proposed.
    bool propose_layout_switch(state::TransactionBuilder& builder) const;
    // Splits at most one shard that exceeds the announced limit, before a change to it is needed.
    void split_shards(state::TransactionBuilder& builder, Timestamp now);

  private:
    bool layout_switched() const;
    bool splitting_allowed() const;
    bool can_write_split_shards(const std::string& member) const;

    ControllerContext& context_;
    const ShardAssignment& assignment_;
    RoundSchedule& schedule_;
    // The state service has refused a transaction that its current limits allow.
    bool announcedLimitsInEffect_ = false;
    std::map<std::string, double> rejectedKeysUntilS_;  // by key: steady time
    double lastSplitS_ = kNeverS;
};

}  // namespace wellstair::leadership
