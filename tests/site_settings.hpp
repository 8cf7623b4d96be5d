// Settings and machine types shared by the tests that run whole controllers.
#pragma once

#include "config/settings.hpp"
#include "wire/codec.hpp"

namespace wellstair::test {

// Settings without the name of the controller and without other members.
config::Settings site_settings();
// Value of the key ws/types: machine types `c8` and `g8`, each with 8 cores and offered in zones a and b.
wire::Json machine_types();

}  // namespace wellstair::test
