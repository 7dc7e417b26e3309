#include <quetzal/base/digest.hpp>

#include <algorithm>
#include <cstdlib>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace quetzal {

namespace {

int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

} // namespace

digest sha256(std::string_view bytes)
{
    digest value{};
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), value.data(), &size, EVP_sha256(), nullptr);
    return value;
}

mac keyed_mac(std::string_view key, std::string_view bytes)
{
    digest full{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), full.data(), &size);
    mac value{};
    std::copy_n(full.begin(), mac_size, value.begin());
    return value;
}

bool equal_constant_time(std::span<const std::uint8_t> first,
                         std::span<const std::uint8_t> second) noexcept
{
    return first.size() == second.size() &&
           CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::string to_hex(std::span<const std::uint8_t> bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 0x0f];
    }
    return text;
}

std::optional<digest> parse_digest(std::string_view hex)
{
    if (hex.size() != digest_size * 2) {
        return std::nullopt;
    }
    digest value{};
    for (std::size_t index = 0; index < digest_size; ++index) {
        const int high = hex_value(hex[2 * index]);
        const int low = hex_value(hex[2 * index + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        value[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return value;
}

std::uint64_t secure_random()
{
    std::uint64_t value = 0;
    if (RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof value) != 1) {
        std::abort();
    }
    return value;
}

} // namespace quetzal
