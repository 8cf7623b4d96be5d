// The site that the tests with whole controllers have in common: settings and machine types.
//
// Owns nothing. Errors: none.
#pragma once

#include "config/settings.hpp"
#include "wire/codec.hpp"

namespace wellstair::test {

// The settings but for names and zones of the members.
config::Settings site_settings();
// The value of the key ws/types: two machine types, `c8` and `g8`, of 8 cores each, in the zones a and b.
wire::Json machine_types();

}  // namespace wellstair::test
