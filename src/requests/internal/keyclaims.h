/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/internal/entrycontext.h"

#include <map>

namespace saltvane::requests {

/// Claims of caller-made keys at the control leader: sends a claim, repeats it until a reply arrives and matches the
/// reply with its key.
class KeyClaims {
public:
    explicit KeyClaims(EntryContext& context);

    /// Sends the claim of the record. The record keeps its claim number, so that a later resend of the key continues a
    /// claim whose reply was lost.
    void send(KeyRecord& record, Timestamp now);
    /// The key that the reply belongs to; no value if the claim is unknown or already has its reply.
    [[nodiscard]] std::optional<KeyName> acceptReply(const model::ClaimReply& reply);
    /// Makes the next tick send all pending claims to the new leader.
    void onLeaderChanged();
    void tick(Timestamp now);

private:
    struct Pending {
        KeyName key;
        Timestamp nextSendAt;
        Timestamp expiresAt; ///< No reply is accepted after this time.
    };
    void transmit(const KeyRecord& record);

    EntryContext& context_;
    uint64_t lastClaim_;
    std::map<uint64_t, Pending> pending_;
};

} // namespace saltvane::requests
