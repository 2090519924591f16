/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/replicacodec.h"

#include "control/internal/fieldreader.h"

#include <algorithm>
#include <utility>

namespace saltvane::control {

using Json = nlohmann::json;

Json replicasToJson(const std::vector<ReplicaInfo>& replicas)
{
    Json array = Json::array();
    for (const ReplicaInfo& info : replicas)
        array.push_back({{"replica", info.replica.value()}, {"host", info.host.value()}, {"isVoter", info.isVoter}});
    return array;
}

std::optional<std::vector<ReplicaInfo>> replicasFromJson(const Json& array)
{
    std::vector<ReplicaInfo> replicas;
    for (const Json& item : array) {
        ReplicaInfo info;
        FieldReader reader(item, 3);
        reader.read("replica", info.replica).read("host", info.host).read("isVoter", info.isVoter);
        const bool isDouble = std::ranges::find(replicas, info.replica, &ReplicaInfo::replica) != replicas.end();
        if (!reader.isOk() || isDouble)
            return std::nullopt;
        replicas.push_back(std::move(info));
    }
    return replicas;
}

} // namespace saltvane::control
