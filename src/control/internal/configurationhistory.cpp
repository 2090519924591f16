/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/configurationhistory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace saltvane::control {

const ReplicaInfo* Configuration::find(const model::ReplicaId& replica) const
{
    const auto found = std::ranges::find(replicas, replica, &ReplicaInfo::replica);
    return found == replicas.end() ? nullptr : &*found;
}

const ReplicaInfo* Configuration::findHost(const HostId& host) const
{
    const auto found = std::ranges::find(replicas, host, &ReplicaInfo::host);
    return found == replicas.end() ? nullptr : &*found;
}

bool Configuration::isVoter(const model::ReplicaId& replica) const
{
    const ReplicaInfo* info = find(replica);
    return info && info->isVoter;
}

size_t Configuration::quorum() const
{
    return static_cast<size_t>(std::ranges::count_if(replicas, &ReplicaInfo::isVoter)) / 2 + 1;
}

ConfigurationHistory::ConfigurationHistory()
    : configurations_(1)
{
}

const Configuration& ConfigurationHistory::asOf(LogIndex index) const
{
    const auto later = std::ranges::upper_bound(configurations_, index, {}, &Configuration::index);
    return later == configurations_.begin() ? configurations_.front() : *std::prev(later);
}

void ConfigurationHistory::add(Configuration configuration) { configurations_.push_back(std::move(configuration)); }

void ConfigurationHistory::truncateFrom(LogIndex index)
{
    while (configurations_.size() > 1 && configurations_.back().index >= index)
        configurations_.pop_back();
}

void ConfigurationHistory::compactTo(LogIndex index)
{
    while (configurations_.size() > 1 && configurations_[1].index <= index)
        configurations_.erase(configurations_.begin());
}

void ConfigurationHistory::reset(const Configuration& configuration) { configurations_.assign(1, configuration); }

} // namespace saltvane::control
