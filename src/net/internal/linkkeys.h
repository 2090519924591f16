/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "net/internal/linkhello.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace saltvane::net {

inline constexpr size_t LinkKeyBytes = 32;
inline constexpr size_t LinkProofBytes = 32;
using LinkSecret = std::array<unsigned char, LinkKeyBytes>;

enum class LinkRole : char { Initiator = 'I', Responder = 'R' };
[[nodiscard]] LinkRole otherRole(LinkRole role);

/// Both hellos of a link, as sent. All keys of the link are derived from them.
struct LinkHellos {
    std::string_view initiator;
    std::string_view responder;
};

/// The key that proofs and session keys are derived from.
[[nodiscard]] LinkSecret deriveLinkSecret(std::string_view linkKey);
[[nodiscard]] LinkNonce freshLinkNonce();

/// Proof that the side `role` knows the secret and has both hellos.
[[nodiscard]] std::string makeLinkProof(const LinkSecret& secret, LinkRole role, const LinkHellos& hellos);
[[nodiscard]] bool isLinkProof(
    const LinkSecret& secret, LinkRole role, const LinkHellos& hellos, std::string_view proof);
/// The key for records sent by `sender`.
[[nodiscard]] LinkSecret deriveSessionKey(const LinkSecret& secret, LinkRole sender, const LinkHellos& hellos);

} // namespace saltvane::net
