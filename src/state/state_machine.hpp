// Explicit state machines: named states, and one function for every change of state.
#pragma once

#include <stdexcept>
#include <string>

namespace wellstair::state {

// `Traits` names the states (`name`) and says which changes are legal (`allows`).
template <class State, class Traits>
class StateMachine {
  public:
    explicit StateMachine(State initial) : state_(initial) {}
    State state() const { return state_; }
    operator State() const { return state_; }

    // The one place where the state changes. An illegal change is a defect in the caller.
    bool transition_to(State next) {
        if (next == state_) return false;
        if (!Traits::allows(state_, next))
            throw std::logic_error(std::string("no change from ") + Traits::name(state_) + " to " + Traits::name(next));
        state_ = next;
        return true;
    }

  private:
    State state_;
};

}  // namespace wellstair::state
