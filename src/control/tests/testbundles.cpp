/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/tests/testbundles.h"

#include <sodium.h>

#include <charconv>

namespace saltvane::control::test {

namespace {

constexpr std::string_view VersionPrefix = "version ";
constexpr std::string_view OperatorsPrefix = "|operators ";

std::string toBase64(std::string_view bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

} // namespace

TestOperator::TestOperator(std::string_view name)
    : name_(name)
{
    if (sodium_init() < 0)
        std::abort();
    std::string seed(crypto_sign_SEEDBYTES, 'x');
    seed.replace(0, name.size(), name);
    std::string publicKey(crypto_sign_PUBLICKEYBYTES, '\0');
    secretKey_.assign(crypto_sign_SECRETKEYBYTES, '\0');
    crypto_sign_seed_keypair(reinterpret_cast<unsigned char*>(publicKey.data()),
        reinterpret_cast<unsigned char*>(secretKey_.data()), reinterpret_cast<const unsigned char*>(seed.data()));
    publicKey_ = toBase64(publicKey);
}

std::string TestOperator::sign(std::string_view text) const
{
    std::string signature(crypto_sign_BYTES, '\0');
    crypto_sign_detached(reinterpret_cast<unsigned char*>(signature.data()), nullptr,
        reinterpret_cast<const unsigned char*>(text.data()), text.size(),
        reinterpret_cast<const unsigned char*>(secretKey_.data()));
    return toBase64(signature);
}

ProposeBundle TestOperator::propose(uint64_t version, std::string_view note) const
{
    return proposeContent(version, bundleText(version, note));
}

ProposeBundle TestOperator::proposeContent(uint64_t version, std::string_view content) const
{
    ProposeBundle command {.content = std::string(content),
        .version = BundleVersion {version},
        .author = name_,
        .signature = {},
        .proposedAtUnixMs = 0};
    command.signature = sign(proposalText(command));
    return command;
}

ApproveBundle TestOperator::approve(uint64_t version, std::string_view note) const
{
    return approveContent(version, bundleText(version, note));
}

ApproveBundle TestOperator::approveContent(uint64_t version, std::string_view content) const
{
    ApproveBundle command {
        .version = BundleVersion {version}, .digest = contentDigest(content), .approver = name_, .signature = {}};
    command.signature = sign(approvalText(command));
    return command;
}

RevertBundle TestOperator::revert(uint64_t to, uint64_t version) const
{
    RevertBundle command {
        .to = BundleVersion {to}, .version = BundleVersion {version}, .author = name_, .signature = {}};
    command.signature = sign(revertText(command));
    return command;
}

model::Operator TestOperator::info() const { return {.name = name_, .publicKey = publicKey_, .location = {}}; }

std::string bundleText(uint64_t version, std::string_view note, std::string_view operators)
{
    return std::string(VersionPrefix) + std::to_string(version) + std::string(OperatorsPrefix) + std::string(operators)
        + "|" + std::string(note);
}

Result<model::Bundle, Findings> parseTestBundle(std::string_view content)
{
    model::Bundle bundle;
    const size_t operators = content.find(OperatorsPrefix);
    const size_t note = content.find('|', operators + 1);
    if (!content.starts_with(VersionPrefix) || operators == content.npos || note == content.npos) {
        Findings findings;
        findings.add({.location = {.source = "test"}, .field = "version", .message = "missing"});
        return findings;
    }
    const std::string_view number = content.substr(VersionPrefix.size(), operators - VersionPrefix.size());
    std::from_chars(number.data(), number.data() + number.size(), bundle.version.value);
    std::string_view names
        = content.substr(operators + OperatorsPrefix.size(), note - operators - OperatorsPrefix.size());
    while (!names.empty()) {
        const size_t end = std::min(names.find(','), names.size());
        bundle.operators.push_back(TestOperator(names.substr(0, end)).info());
        names.remove_prefix(std::min(end + 1, names.size()));
    }
    return bundle;
}

} // namespace saltvane::control::test
