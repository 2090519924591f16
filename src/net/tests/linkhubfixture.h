/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/inetadapters.h"
#include "net/internal/linkhello.h"
#include "net/internal/linkkeys.h"
#include "net/internal/recordseal.h"
#include "net/tests/looprunner.h"
#include "net/tests/rawsocket.h"
#include "wire/framecodec.h"

#include <gtest/gtest.h>
#include <memory>

namespace saltvane::net::tests {

inline constexpr const char* Key = "0123456789abcdef0123456789abcdef";
inline constexpr const char* OtherKey = "fedcba9876543210fedcba9876543210";

/// A host's link hub with its recorded events.
struct Host {
    Host(const LoopRunner& runner, std::string id, uint64_t incarnation = 1, std::string key = Key,
        std::string deployment = "d", size_t maxSendQueueBytes = 8 * 1024 * 1024,
        size_t maxBacklogBytes = 64 * 1024 * 1024)
        : name(id)
    {
        auto made = makeLinkHub({.loop = runner.loop(),
            .self = HostId(std::move(id)),
            .incarnation = {incarnation},
            .deployment = std::move(deployment),
            .linkKey = std::move(key),
            .listenAddress = {.ip = "127.0.0.1", .port = 0},
            .sink = [this](host::Event event) { log.events.push_back(std::move(event)); },
            .counters = &counters,
            .maxSendQueueBytes = maxSendQueueBytes,
            .maxBacklogBytes = maxBacklogBytes});
        hub = std::move(made.value());
    }
    void requestLinks(std::vector<host::DesiredLinks::Peer> peers) const
    {
        hub->execute(host::DesiredLinks {std::move(peers)});
    }
    [[nodiscard]] host::DesiredLinks::Peer known() const
    {
        return {.host = HostId(name), .address = hub->boundAddress()};
    }
    [[nodiscard]] host::DesiredLinks::Peer seed() const { return {.address = hub->boundAddress()}; }
    void sendClaim(const Host& to, uint64_t number, std::string key = "k") const
    {
        hub->send({.to = HostId(to.name), .message = model::ClaimRequest {.claim = number, .key = std::move(key)}});
    }
    [[nodiscard]] size_t ups() const { return log.plain<host::LinkUp>().size(); }
    [[nodiscard]] size_t downs() const { return log.plain<host::LinkDown>().size(); }
    [[nodiscard]] std::vector<uint64_t> claims() const
    {
        std::vector<uint64_t> numbers;
        for (const auto& delivery : log.plain<model::Delivery>())
            numbers.push_back(std::get<model::ClaimRequest>(delivery.message).claim);
        return numbers;
    }
    [[nodiscard]] uint64_t refused() const { return counters.value(model::Counter::LinkAuthFailures); }
    [[nodiscard]] uint64_t badFrames() const { return counters.value(model::Counter::BadFrames); }

    std::string name;
    EventLog log;
    model::Counters counters;
    std::unique_ptr<ILinkHub> hub;
};

/// A raw socket that speaks the link protocol with a hub.
class RawPeer {
public:
    explicit RawPeer(const Host& to, std::string name = "raw", uint64_t incarnation = 1, std::string deployment = "d")
        : socket(RawSocket::connectedTo(to.hub->boundAddress()))
        , hello(encodeLinkHello({.deployment = std::move(deployment),
              .host = HostId(std::move(name)),
              .incarnation = {incarnation},
              .nonce = freshLinkNonce()}))
    {
    }

    [[nodiscard]] static std::string framed(const std::string& bytes)
    {
        return encodeLinkInteger(bytes.size(), 2) + bytes;
    }
    [[nodiscard]] bool readPeerHello(LoopRunner& runner)
    {
        const bool isReceived = runner.runUntil([&] {
            socket.pump();
            return socket.received.size() >= 2
                && socket.received.size() >= 2 + decodeLinkInteger(socket.received.substr(0, 2));
        });
        if (isReceived)
            peerHello = socket.received.substr(2, decodeLinkInteger(socket.received.substr(0, 2)));
        return isReceived;
    }
    [[nodiscard]] std::string proof(const std::string& key) const
    {
        return makeLinkProof(deriveLinkSecret(key), LinkRole::Initiator, {hello, peerHello});
    }
    [[nodiscard]] RecordSeal sealer() const
    {
        return RecordSeal(deriveSessionKey(deriveLinkSecret(Key), LinkRole::Initiator, {hello, peerHello}));
    }
    /// Performs the handshake; the link is up at the hub afterwards.
    [[nodiscard]] bool join(LoopRunner& runner, const Host& to)
    {
        const size_t before = to.ups();
        socket.send(framed(hello));
        if (!readPeerHello(runner))
            return false;
        socket.send(proof(Key));
        return runner.runUntil([&] { return to.ups() > before; });
    }

    RawSocket socket;
    std::string hello;
    std::string peerHello;
};

class LinkHubTest : public testing::Test {
protected:
    [[nodiscard]] bool waitUp(const Host& a, const Host& b)
    {
        return runner.runUntil([&] { return a.ups() > a.downs() && b.ups() > b.downs(); });
    }
    LoopRunner runner;
};

inline std::string claimFrame(uint64_t number) { return wire::encodeFrame(model::ClaimRequest {.claim = number}); }

} // namespace saltvane::net::tests
