/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "base/result.h"

#include <array>
#include <sodium.h>
#include <string>
#include <string_view>

namespace saltvane::cli {

/// Signs with an operator's Ed25519 secret key, which is stored in a file in base64.
class Signer {
public:
    [[nodiscard]] static Result<Signer, IoError> load(const std::string& path);
    /// Creates a key pair and writes the secret key to a new file. Returns the public key in base64. Fails if the file
    /// exists.
    [[nodiscard]] static Result<std::string, IoError> createKeyFile(const std::string& path);

    /// Returns the signature in base64.
    [[nodiscard]] std::string sign(std::string_view text) const;

private:
    using SecretKey = std::array<unsigned char, crypto_sign_SECRETKEYBYTES>;
    SecretKey secretKey_ {};
};

} // namespace saltvane::cli
