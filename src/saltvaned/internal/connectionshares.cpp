/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvaned/internal/connectionshares.h"

#include "net/inetadapters.h"

#include <algorithm>
#include <sys/resource.h>

namespace saltvane::saltvaned {

namespace {

/// The other half of the descriptors is for links to other hosts, connections to targets, files and the event loop.
constexpr uint64_t DescriptorDivisor = 2;
/// The pools of all connections together may use the host's memory limit divided by this.
constexpr uint64_t PoolMemoryDivisor = 4;
/// Each of the operators' addresses has this part of the connections.
constexpr uint64_t OperatorDivisor = 16;
constexpr uint64_t MinOperatorConnections = 4;
constexpr uint64_t MaxOperatorConnections = 64;
constexpr uint32_t MinConnections = 2; ///< Of an address, however small the process is.
constexpr uint64_t DefaultDescriptors = 1024; ///< Assumed if the system does not report the limit.

/// The largest limit with which a server accepts no more than `accepted` connections.
uint32_t limitFor(uint64_t accepted, uint32_t most)
{
    uint32_t lower = MinConnections;
    uint32_t upper = static_cast<uint32_t>(std::clamp<uint64_t>(accepted, MinConnections, std::max(most, lower)));
    while (lower < upper) {
        const uint32_t middle = upper - (upper - lower) / 2;
        if (net::acceptedConnections(middle) <= accepted)
            lower = middle;
        else
            upper = middle - 1;
    }
    return lower;
}

/// Connections that the addresses accept together.
uint64_t acceptedByAll(const ConnectionResources& resources)
{
    const uint64_t poolBytes = net::connectionPoolBytes(resources.headerBytes);
    return std::min(resources.descriptors / DescriptorDivisor, resources.memoryBytes / PoolMemoryDivisor / poolBytes);
}

uint64_t acceptedByOperatorAddress(const ConnectionResources& resources)
{
    return std::clamp(acceptedByAll(resources) / OperatorDivisor, MinOperatorConnections, MaxOperatorConnections);
}

} // namespace

uint32_t callerConnections(const ConnectionResources& resources, uint32_t weight)
{
    const uint64_t all = acceptedByAll(resources);
    const uint64_t ofOperators = std::min(all, acceptedByOperatorAddress(resources) * resources.operatorAddresses);
    return limitFor((all - ofOperators) * weight / resources.callerWeights, resources.limit);
}

uint32_t operatorConnections(const ConnectionResources& resources)
{
    return limitFor(acceptedByOperatorAddress(resources), resources.limit);
}

uint64_t descriptorLimit()
{
    rlimit limit {};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : DefaultDescriptors;
}

} // namespace saltvane::saltvaned
