/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "model/controlmessages.h"
#include "model/hostmessages.h"
#include "model/limitmessages.h"
#include "model/peermessages.h"
#include "model/requestmessages.h"
#include "model/rolloutmessages.h"
#include "model/suspectmessages.h"
#include "model/targetmessages.h"

#include <variant>

namespace saltvane::model {

/// Any message between hosts. Module wire encodes it into frames.
using Message = std::variant<Heartbeat, ZoneReport, CreditRequest, CreditGrant, OwnershipHandover, HandoverProgress,
    RowsRequest, RowsReply, ForwardRequest, ForwardBody, ForwardWindow, ForwardResponseHead, ForwardEnd, ForwardCancel,
    ClaimRequest, ClaimReply, VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply,
    JoinRequest, BundlePush, BundlePull, BundleCurrent, TargetReport, TargetLoads, StartNotice, BundlePart,
    SuspectReport, LimitCreditRequest, LimitCreditReply, BackpressureReport, RolloutReport, PeerRequest, PeerReport>;

/// A message received over a link, with its sender. The link has authenticated the sender.
struct Delivery {
    HostId from;
    Incarnation fromIncarnation;
    Message message;
};

/// A message to send to one host. It is dropped silently if no link to that host is up.
struct OutgoingMessage {
    HostId to;
    Message message;
};

} // namespace saltvane::model
