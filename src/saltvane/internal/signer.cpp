/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "saltvane/internal/signer.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <span>
#include <unistd.h>

namespace saltvane::cli {

namespace {

constexpr int Base64Variant = sodium_base64_VARIANT_ORIGINAL;
constexpr int KeyFileMode = 0600;

std::string encodeBase64(std::span<const unsigned char> bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), Base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), Base64Variant);
    text.pop_back(); // The size above includes the terminating zero.
    return text;
}

/// The first line that is neither empty nor a comment (#); empty if there is none.
std::string firstKeyLine(const std::string& path)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        if (!line.empty() && line.front() != '#')
            return line;
    }
    return {};
}

} // namespace

Result<Signer, IoError> Signer::load(const std::string& path)
{
    const std::string text = firstKeyLine(path);
    if (text.empty())
        return IoError {.location = path, .message = "cannot read a secret key"};
    Signer signer;
    size_t length = 0;
    const int decoded = sodium_base642bin(signer.secretKey_.data(), signer.secretKey_.size(), text.data(), text.size(),
        nullptr, &length, nullptr, Base64Variant);
    if (decoded != 0 || length != signer.secretKey_.size())
        return IoError {.location = path, .message = "is not an Ed25519 secret key in base64 (64 bytes)"};
    return signer;
}

Result<std::string, IoError> Signer::createKeyFile(const std::string& path)
{
    SecretKey secretKey {};
    std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> publicKey {};
    crypto_sign_keypair(publicKey.data(), secretKey.data());
    const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, KeyFileMode);
    if (file < 0)
        return IoError {.location = path, .message = std::strerror(errno), .code = errno};
    const std::string text = encodeBase64(secretKey) + "\n";
    const bool isWritten = write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    const bool isClosed = close(file) == 0;
    if (!isWritten || !isClosed)
        return IoError {.location = path, .message = "cannot write the key"};
    return encodeBase64(publicKey);
}

std::string Signer::sign(std::string_view text) const
{
    std::array<unsigned char, crypto_sign_BYTES> signature {};
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    crypto_sign_detached(signature.data(), nullptr, bytes, text.size(), secretKey_.data());
    return encodeBase64(signature);
}

} // namespace saltvane::cli
