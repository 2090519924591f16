/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/targetmessages.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace saltvane::registry {

/// A gateway that reports are sent to.
struct Gateway {
    HostId host;
    ZoneName zone;
    RegionName region;
};

/// The targets that report to this host. Gathers what the gateways are to be told.
class TargetBook {
public:
    explicit TargetBook(std::map<ZoneName, RegionName> zones);

    /// A target's report; false for one that came after a newer one.
    bool note(model::TargetRecord record, Timestamp now);
    void remove(const TargetId& target);
    /// Forgets targets that fell silent.
    void tick(Timestamp now);
    [[nodiscard]] size_t size() const { return entries_.size(); }

    /// Records that changed since the last call, or that gateways should hear again.
    [[nodiscard]] std::vector<model::TargetRecord> takeNews(std::span<const Gateway> gateways, Timestamp now);
    [[nodiscard]] std::vector<model::TargetRecord> all(std::span<const Gateway> gateways, Timestamp now) const;

private:
    struct Entry {
        model::TargetRecord record;
        Timestamp heardAt;
        Timestamp toldAt;
        bool isNews = true;
    };

    [[nodiscard]] model::TargetRecord toldOf(
        const Entry& entry, std::span<const Gateway> gateways, Timestamp now) const;
    [[nodiscard]] HostId slowStartHostOf(const model::TargetRecord& record, std::span<const Gateway> gateways) const;
    void removeOthersAt(const model::Address& address, const TargetId& target);

    std::map<ZoneName, RegionName> zones_;
    std::map<TargetId, Entry> entries_;
};

} // namespace saltvane::registry
