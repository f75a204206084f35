#ifndef CARDAMOMROUTE_ROUTING_WORLD_MESSAGES_TEST_SUPPORT_H_
#define CARDAMOMROUTE_ROUTING_WORLD_MESSAGES_TEST_SUPPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "view/view.h"

namespace cardamomroute {

/// Addresses of the fake network.
endpoint ServiceAddress(service_id service);
endpoint BalancerAddress(int index);
endpoint AgentAddress(uint16_t number);
endpoint CallerAddress(uint16_t number);

/// Numbers as the payload of a packet, and back.
std::string ToPayload(const std::vector<uint64_t>& numbers);
std::vector<uint64_t> FromPayload(const std::string& payload);

/// Bytes that differ from piece to piece and from flow to flow.
std::string MakeFiller(const std::vector<uint64_t>& numbers, std::size_t bytes);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_WORLD_MESSAGES_TEST_SUPPORT_H_
