/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/ids.h"
#include "base/timetypes.h"
#include "requests/internal/responsestream.h"

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace saltvane::requests {

/// Identifies an exchange of this host; ids grow in order of arrival.
using ExchangeId = Number<struct ExchangeIdTag>;

/// Service and idempotency key of a non-repeatable request.
struct KeyName {
    ServiceName service;
    std::string key;
    auto operator<=>(const KeyName&) const = default;
};

enum class KeyState {
    Open, ///< Has not run; a resend may run it.
    Running,
    Answered, ///< Has run; its response may be stored.
    Unknown ///< May have run.
};

using ResponseHook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// State of one key at this host.
struct KeyRecord {
    KeyName name;
    uint64_t fingerprint = 0;
    KeyState state = KeyState::Open;
    /// Expiry of the token or claim. Once the key has run, its record is retained at least until then.
    Timestamp expiry;
    Timestamp retainUntil; ///< The record is retained at least until then, in any state.
    ExchangeId runner; ///< The exchange that runs the key; valid in state Running.
    std::vector<ExchangeId> waiters; ///< Resends that wait for the run to end.
    bool needsClaim = false; ///< The caller made the key itself.
    bool isClaimed = false; ///< The replicated log has granted the key to this host.
    uint64_t claim = 0; ///< Number of the claim; 0 if there is none.
    std::unique_ptr<StoredResponse> response;
    ResponseHook responseHook; ///< Orders the stored responses by the time of storing.
};

/// The keys that this host may have run, with the responses stored for resends. Size is bounded: a full table accepts
/// no new key instead of evicting one. Responses are evicted oldest first; the record of a key that may have run is
/// never erased before its expiry.
class KeyTable {
public:
    struct Limits {
        uint64_t maxResponseBytes = 0;
        uint64_t maxTotalBytes = 0;
        uint32_t maxKeys = 0;
    };
    explicit KeyTable(Limits limits)
        : limits_(limits)
    {
    }

    [[nodiscard]] KeyRecord* find(const KeyName& name);
    [[nodiscard]] const KeyRecord* find(const KeyName& name) const;
    /// Adds a record in state Open; returns null if the table is full.
    [[nodiscard]] KeyRecord* add(const KeyName& name, uint64_t fingerprint, Timestamp expiry);
    void erase(const KeyName& name);
    /// Stores the response of a run if the limits allow it.
    void storeResponse(KeyRecord& record, StoredResponse response);
    /// Erases expired records. Each tick checks a bounded number of records; successive ticks cover the whole table.
    void tick(Timestamp now);
    [[nodiscard]] size_t size() const { return records_.size(); }
    [[nodiscard]] uint64_t storedBytes() const { return storedBytes_; }

private:
    using ResponseList = boost::intrusive::list<KeyRecord,
        boost::intrusive::member_hook<KeyRecord, ResponseHook, &KeyRecord::responseHook>,
        boost::intrusive::constant_time_size<false>>;
    void discardResponse(KeyRecord& record);

    Limits limits_;
    std::map<KeyName, KeyRecord> records_;
    ResponseList responses_;
    uint64_t storedBytes_ = 0;
    KeyName sweepPosition_;
};

} // namespace saltvane::requests
