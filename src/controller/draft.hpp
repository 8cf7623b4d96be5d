// One transaction in the making: what is to change, and the stamps that it all rests on.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/settings.hpp"
#include "model/view.hpp"

namespace wellstair::controller {

struct Txn {
    wire::Json body;
    int writes = 0;
    std::vector<std::string> about;  // for the log
};

// What a transaction may write.
struct WriteRules {
    app::StateLimits limits;
    bool parts = false;           // ranges of machines may be divided into parts
    std::set<std::string> avoid;  // keys whose last write the state service refused as too large
};

class Draft {
  public:
    // Every transaction carries `member` (path and stamp): a deposed controller's cannot apply.
    Draft(model::View& view, const app::Settings& settings, WriteRules rules, const std::string& member,
          std::uint64_t memberStamp);

    // Each returns false, changing nothing, when the transaction has no room left for it. A key is written once in a
    // transaction: what would write it again (a user's repeat in the same batch, a second reason to return a machine)
    // is covered by the first and returns true.
    static std::size_t submission_size(const wire::JobSpec& spec);
    bool submit(const wire::JobSpec& spec, const std::string& owner, std::int64_t atS);
    bool withdraw(model::Job& job, std::int64_t atS);
    bool stop_attempt(model::Job& job, std::uint32_t attempt);
    // All of one gang, or single tasks; `hosts` are those it is to run on.
    bool place(model::Job& job, const std::vector<std::pair<std::uint32_t, model::HostRecord*>>& tasks,
               std::uint32_t attempt, std::int64_t atS);
    // The task is proven to be gone, or done. The proof rests on the record of its host.
    bool clear(model::Job& job, std::uint32_t index, model::StepState to);
    bool finish(model::Job& job, model::JobState to);
    bool sweep(const std::string& path, std::uint64_t stamp);
    // Registers a host anew for `keeper`: its baton is higher than every earlier one of this host. The host is known by
    // a report, or by its record alone.
    bool claim(const wire::Report& report, const std::string& keeper, std::uint64_t incarnation);
    bool claim(model::HostRecord& host, const std::string& keeper, std::uint64_t incarnation);
    // A host is being returned (`gone` false), or is gone by the cloud's word.
    bool mark_return(const std::string& host, const std::string& hall, std::int64_t atS, bool gone,
                     const std::string& why);
    bool forget_host(model::HostRecord& host);
    // Divides a range whose value is larger than the limit into parts. Keepers, batons and all else stay as they are.
    bool divide(model::HostRange& range);
    // The durable switch to a newer layout. It rests on the records of all members: a process that cannot read the
    // layout, or a late transaction of one, has none of these.
    bool switch_layout(const model::LayoutRecord& layout);
    bool put(const std::string& path, std::uint64_t stamp, wire::Json data, std::uint64_t hold);

    bool empty() const { return writes() == 0; }
    int writes() const;
    Txn build() const;

  private:
    using ChunkKey = std::pair<model::Job*, std::uint32_t>;
    bool room(int writes, int conditions, std::size_t bytes) const;
    bool has(const std::string& path) const;
    std::vector<model::Step>& edit(model::Job& job, std::uint32_t chunk);
    void when(const std::string& path, std::uint64_t stamp) { when_[path] = stamp; }
    void set(const std::string& path, wire::Json data, std::uint64_t hold = 0);
    // The machines of a range or part as they will be.
    struct RangeEdit {
        std::map<std::string, model::HostEntry> hosts;
        model::RangeSize size;

        void set(const model::HostEntry& host);
        void erase(const std::string& name);
    };
    using RangeEdits = std::map<std::string, RangeEdit>;
    // Where the machine's entry stands, once this transaction has been applied.
    model::HostRange& range_for(const std::string& host, model::HostRange& range);
    // The edit of a range, begun if there is none; nothing if the transaction has no room for it.
    RangeEdit* edit_range(model::HostRange& range);
    // Divides an edit that is larger than a value may be. False, changing nothing, if that does not fit.
    bool keep_within_limit(model::HostRange& range);
    std::optional<std::vector<RangeEdit>> pack(const RangeEdit& edit, std::size_t most, double fill) const;
    // Calls `change` on the edit of the range and divides it if need be; undone if there is no room.
    template <typename Change>
    bool update(model::HostRange& range, const std::string& host, Change change);
    bool register_host(model::HostRange& range, const model::HostEntry& next, std::uint64_t atLeast);
    // Takes `more` of this controller's part of the team's limit; nothing of it is left: from the others' unused parts.
    bool charge(const std::string& crew, model::Use more);
    void rest_on(const model::HostRange& range);
    bool chunk_has_room(model::Job& job, std::uint32_t chunk, std::size_t more);

    model::View& view_;
    const app::Settings& settings_;
    WriteRules rules_;
    std::map<std::string, std::uint64_t> when_;
    std::vector<std::pair<std::string, wire::Json>> sets_;
    std::map<std::string, std::uint64_t> holds_;
    std::set<std::string> removes_;
    std::map<ChunkKey, std::vector<model::Step>> chunks_;
    RangeEdits ranges_;
    std::map<std::string, std::string> moved_;  // machines that this transaction moves: to which key
    struct Charge {
        model::Use more;                          // placed by this transaction
        std::map<std::string, model::Use> parts;  // as the team's record will be
        bool moved = false;                       // `parts` differ from the record
    };
    std::map<std::string, Charge> charges_;
    std::string member_;
    std::size_t bytes_ = 0;
    std::vector<std::string> about_;
};

}  // namespace wellstair::controller
