#ifndef CARDAMOMROUTE_LOAD_SYNTHETIC_VIEW_H_
#define CARDAMOMROUTE_LOAD_SYNTHETIC_VIEW_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "base/endpoint.h"
#include "view/view.h"

namespace cardamomroute::load {

/// Availability zones of the views and trials that are made up.
inline constexpr std::array<std::string_view, 4> kSyntheticZones = {
    "hakata", "kokura", "kurume", "saga"};

/// The IPv4 address with this number, at the port of CoAP.
endpoint NumberedAddress(uint32_t number);

/// A view of version 1 whose targets are spread evenly over the services and
/// over kSyntheticZones.
view MakeSyntheticView(uint32_t services, uint32_t targets);

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_SYNTHETIC_VIEW_H_
