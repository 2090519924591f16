/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "net/internal/linkkeys.h"

#include <sodium.h>

namespace saltvane::net {

namespace {

static_assert(LinkKeyBytes == crypto_auth_KEYBYTES);
static_assert(LinkProofBytes == crypto_auth_BYTES);

/// Domain separation from any other use of the link key.
constexpr std::string_view SecretContext = "saltvane link v1 secret";
constexpr std::string_view ProofContext = "proof";
constexpr std::string_view SessionContext = "session";
static_assert(SecretContext.size() >= crypto_generichash_KEYBYTES_MIN);

const unsigned char* bytesOf(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

/// Each hello is length-prefixed, so that different hellos never give the same transcript.
std::string transcriptOf(std::string_view context, LinkRole role, const LinkHellos& hellos)
{
    std::string transcript(context);
    transcript += static_cast<char>(role);
    for (const std::string_view hello : {hellos.initiator, hellos.responder}) {
        transcript += encodeLinkInteger(hello.size(), LinkHelloLengthBytes);
        transcript += hello;
    }
    return transcript;
}

} // namespace

LinkRole otherRole(LinkRole role) { return role == LinkRole::Initiator ? LinkRole::Responder : LinkRole::Initiator; }

LinkSecret deriveLinkSecret(std::string_view linkKey)
{
    LinkSecret secret {};
    crypto_generichash(
        secret.data(), secret.size(), bytesOf(linkKey), linkKey.size(), bytesOf(SecretContext), SecretContext.size());
    return secret;
}

LinkNonce freshLinkNonce()
{
    LinkNonce nonce {};
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

std::string makeLinkProof(const LinkSecret& secret, LinkRole role, const LinkHellos& hellos)
{
    const std::string transcript = transcriptOf(ProofContext, role, hellos);
    std::string proof(LinkProofBytes, '\0');
    crypto_auth(reinterpret_cast<unsigned char*>(proof.data()), bytesOf(transcript), transcript.size(), secret.data());
    return proof;
}

bool isLinkProof(const LinkSecret& secret, LinkRole role, const LinkHellos& hellos, std::string_view proof)
{
    const std::string transcript = transcriptOf(ProofContext, role, hellos);
    return proof.size() == LinkProofBytes
        && crypto_auth_verify(bytesOf(proof), bytesOf(transcript), transcript.size(), secret.data()) == 0;
}

LinkSecret deriveSessionKey(const LinkSecret& secret, LinkRole sender, const LinkHellos& hellos)
{
    const std::string transcript = transcriptOf(SessionContext, sender, hellos);
    LinkSecret key {};
    crypto_generichash(key.data(), key.size(), bytesOf(transcript), transcript.size(), secret.data(), secret.size());
    return key;
}

} // namespace saltvane::net
