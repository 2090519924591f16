/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "requests/internal/keytable.h"

#include <utility>

namespace saltvane::requests {
namespace {

constexpr int RecordsSweptPerTick = 256;

bool canErase(const KeyRecord& record, Timestamp now)
{
    if (record.state == KeyState::Running || !record.waiters.empty())
        return false;
    const bool mustOutliveExpiry = record.state != KeyState::Open;
    return now >= record.retainUntil && (!mustOutliveExpiry || now >= record.expiry);
}

} // namespace

KeyRecord* KeyTable::find(const KeyName& name)
{
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second;
}

const KeyRecord* KeyTable::find(const KeyName& name) const
{
    const auto found = records_.find(name);
    return found == records_.end() ? nullptr : &found->second;
}

KeyRecord* KeyTable::add(const KeyName& name, uint64_t fingerprint, Timestamp expiry)
{
    if (records_.size() >= limits_.maxKeys)
        return nullptr;
    KeyRecord& record = records_[name];
    record.name = name;
    record.fingerprint = fingerprint;
    record.expiry = expiry;
    return &record;
}

void KeyTable::erase(const KeyName& name)
{
    KeyRecord* record = find(name);
    if (!record)
        return;
    discardResponse(*record);
    records_.erase(name);
}

void KeyTable::storeResponse(KeyRecord& record, StoredResponse response)
{
    const uint64_t size = response.size();
    if (size > limits_.maxResponseBytes || size > limits_.maxTotalBytes)
        return;
    while (storedBytes_ + size > limits_.maxTotalBytes)
        discardResponse(responses_.front());
    record.response = std::make_unique<StoredResponse>(std::move(response));
    storedBytes_ += size;
    responses_.push_back(record);
}

void KeyTable::discardResponse(KeyRecord& record)
{
    if (!record.response)
        return;
    storedBytes_ -= record.response->size();
    record.response.reset();
    record.responseHook.unlink();
}

void KeyTable::tick(Timestamp now)
{
    auto position = records_.upper_bound(sweepPosition_);
    for (int count = 0; count < RecordsSweptPerTick; ++count) {
        if (position == records_.end()) {
            sweepPosition_ = {};
            return;
        }
        sweepPosition_ = position->first;
        KeyRecord& record = position->second;
        ++position;
        if (canErase(record, now))
            erase(KeyName(record.name));
    }
}

} // namespace saltvane::requests
