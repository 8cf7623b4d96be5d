// Explicit state machines with named states and checked transitions.
#pragma once

#include <stdexcept>
#include <string>

namespace wellstair::state {

// `Traits::name` names the states, `Traits::allows` defines the legal transitions.
template <class State, class Traits>
class StateMachine {
  public:
    explicit StateMachine(State initial) : state_(initial) {}
    State state() const { return state_; }
    operator State() const { return state_; }

    // Changes the state; returns false if it is already `next`. An illegal transition is a programming error and
    // throws.
    bool transition_to(State next) {
        if (next == state_) return false;
        if (!Traits::allows(state_, next))
            throw std::logic_error(std::string("illegal state transition from ") + Traits::name(state_) + " to " +
                                   Traits::name(next));
        state_ = next;
        return true;
    }

  private:
    State state_;
};

}  // namespace wellstair::state
