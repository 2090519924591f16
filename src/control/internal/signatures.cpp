/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/signatures.h"

#include "control/icontrolreplica.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <optional>

namespace saltvane::control {

namespace {

constexpr size_t DigestSize = 32;

const unsigned char* bytesOf(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

template <size_t Size> std::optional<std::array<unsigned char, Size>> fromBase64(std::string_view text)
{
    std::array<unsigned char, Size> bytes {};
    size_t size = 0;
    const int code = sodium_base642bin(
        bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (code != 0 || size != Size)
        return std::nullopt;
    return bytes;
}

} // namespace

bool isSignatureOf(std::string_view text, std::string_view signature, std::string_view publicKey)
{
    const auto key = fromBase64<crypto_sign_PUBLICKEYBYTES>(publicKey);
    const auto bytes = fromBase64<crypto_sign_BYTES>(signature);
    if (!key || !bytes)
        return false;
    return crypto_sign_verify_detached(bytes->data(), bytesOf(text), text.size(), key->data()) == 0;
}

const model::Operator* findOperator(std::span<const model::Operator> operators, const OperatorName& name)
{
    const auto found = std::ranges::find(operators, name, &model::Operator::name);
    return found == operators.end() ? nullptr : &*found;
}

std::string contentDigest(std::string_view content)
{
    std::array<unsigned char, DigestSize> digest {};
    crypto_generichash(digest.data(), digest.size(), bytesOf(content), content.size(), nullptr, 0);
    std::array<char, 2 * DigestSize + 1> hex {};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return hex.data();
}

std::string proposalText(const ProposeBundle& proposal)
{
    return "saltvane propose\nversion " + std::to_string(proposal.version.value) + "\ndigest "
        + contentDigest(proposal.content) + "\nauthor " + proposal.author.value() + "\n";
}

std::string approvalText(const ApproveBundle& approval)
{
    return "saltvane approve\nversion " + std::to_string(approval.version.value) + "\ndigest " + approval.digest
        + "\napprover " + approval.approver.value() + "\n";
}

std::string revertText(const RevertBundle& revert)
{
    return "saltvane revert\nto " + std::to_string(revert.to.value) + "\nversion "
        + std::to_string(revert.version.value) + "\nauthor " + revert.author.value() + "\n";
}

} // namespace saltvane::control
