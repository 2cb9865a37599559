#include "rosemaryreach/peer_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

namespace rosemaryreach {
namespace {

// Layout: version, key id, sender, sequence, payload, tag.
constexpr std::uint8_t kVersion = 1;
// Flag in the version octet of a datagram that is sealed for an address.
constexpr std::uint8_t kBoundToAddress = 0x80;
constexpr std::size_t kWordBytes = 8;
constexpr std::size_t kHeaderBytes = 2 + 2 * kWordBytes;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kDigestBytes = 32;
constexpr std::size_t kSignatureBytes = 2 * (1 + kTagBytes);
static_assert(kSealOverheadBytes == kHeaderBytes + kTagBytes);

// Receiver value in the authenticators of Sign().
constexpr std::uint64_t kTextDomain = ~std::uint64_t{0};

constexpr std::uint64_t kAddressDomain = 1;

using tag = std::array<std::uint8_t, kTagBytes>;

std::uint8_t KeyId(const std::string& key) {
  return static_cast<std::uint8_t>(HashBytes(key));
}

void AppendWord(std::string& out, std::uint64_t word) {
  for (std::size_t i = 0; i < kWordBytes; ++i) {
    out.push_back(static_cast<char>(word >> (8 * i)));
  }
}

std::uint64_t ReadWord(std::string_view bytes) {
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < kWordBytes; ++i) {
    word |= std::uint64_t{static_cast<std::uint8_t>(bytes[i])} << (8 * i);
  }
  return word;
}

// Returns the receiver value of a datagram that is sealed for `address`.
std::uint64_t AddressKey(const endpoint& address) {
  return HashBytes(FormatEndpoint(address), kAddressDomain);
}

// Returns the authenticator of `text` for the receiver `to`.
tag Authenticate(const std::string& key,
                 std::uint64_t to,
                 std::string_view text) {
  std::string input;
  input.reserve(kWordBytes + text.size());
  AppendWord(input, to);
  input += text;
  std::array<std::uint8_t, kDigestBytes> digest{};
  unsigned int size = digest.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(input.data()), input.size(),
       digest.data(), &size);
  tag truncated_tag{};
  std::copy_n(digest.begin(), truncated_tag.size(), truncated_tag.begin());
  return truncated_tag;
}

bool TagMatches(const tag& expected, std::string_view bytes) {
  return bytes.size() == expected.size() &&
         CRYPTO_memcmp(expected.data(), bytes.data(), expected.size()) == 0;
}

std::string FormatSignature(std::uint8_t key_id, const tag& bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  const auto append = [&text](std::uint8_t byte) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xf]);
  };
  append(key_id);
  std::for_each(bytes.begin(), bytes.end(), append);
  return text;
}

}  // namespace

peer_auth::peer_auth(instance_id self,
                     peer_keys keys,
                     std::uint64_t first_sequence,
                     const endpoint& address)
    : self_(self),
      address_key_(AddressKey(address)),
      keys_(std::move(keys)),
      next_sequence_(first_sequence) {}

std::string peer_auth::Seal(instance_id to, std::string_view payload) {
  return SealFor(to.value, kVersion, payload);
}

std::string peer_auth::SealByAddress(const endpoint& to,
                                     std::string_view payload) {
  return SealFor(AddressKey(to), kVersion | kBoundToAddress, payload);
}

std::string peer_auth::SealFor(std::uint64_t to,
                               std::uint8_t version,
                               std::string_view payload) {
  const std::string& key = keys_.front();
  std::string out;
  out.reserve(payload.size() + kSealOverheadBytes);
  out.push_back(static_cast<char>(version));
  out.push_back(static_cast<char>(KeyId(key)));
  AppendWord(out, self_.value);
  AppendWord(out, next_sequence_++);
  out += payload;
  const tag authenticator = Authenticate(key, to, out);
  out.append(authenticator.begin(), authenticator.end());
  return out;
}

result<opened_datagram> peer_auth::Open(std::string_view datagram) {
  if (datagram.size() < kSealOverheadBytes) {
    ++counters_.truncated;
    return Fail(errc::kTruncated,
                "datagram is shorter than the authentication overhead");
  }
  const std::string_view text = datagram.substr(0, datagram.size() - kTagBytes);
  const std::string_view received = datagram.substr(text.size());
  const std::uint8_t version = static_cast<std::uint8_t>(text[0]);
  const std::uint8_t key_id = static_cast<std::uint8_t>(text[1]);
  const instance_id from{ReadWord(text.substr(2))};
  const bool bound_to_address = (version & kBoundToAddress) != 0;
  const std::uint64_t to = bound_to_address ? address_key_ : self_.value;
  const bool authentic =
      (version & ~kBoundToAddress) == kVersion && from && from != self_ &&
      std::any_of(keys_.begin(), keys_.end(), [&](const std::string& key) {
        return KeyId(key) == key_id &&
               TagMatches(Authenticate(key, to, text), received);
      });
  if (!authentic) {
    ++counters_.forged;
    return Fail(errc::kUnauthenticated, "datagram has no valid authenticator");
  }
  if (!AcceptSequence(from, ReadWord(text.substr(2 + kWordBytes)))) {
    ++counters_.replayed;
    return Fail(
        errc::kStale,
        "datagram sequence was received before or is below the replay window");
  }
  ++counters_.accepted;
  return opened_datagram{from, !bound_to_address, text.substr(kHeaderBytes)};
}

bool peer_auth::AcceptSequence(instance_id from, std::uint64_t sequence) {
  replay_window& window = windows_[from.value];
  if (sequence > window.highest) {
    const std::uint64_t ahead = sequence - window.highest;
    if (ahead >= kReplayWindow) {
      window.seen.reset();
    } else {
      window.seen <<= ahead;
    }
    window.seen.set(0);
    window.highest = sequence;
    return true;
  }
  const std::uint64_t behind = window.highest - sequence;
  if (behind >= kReplayWindow) {
    regressed_sender_ = from;
    return false;
  }
  if (window.seen.test(behind)) {
    return false;
  }
  window.seen.set(behind);
  return true;
}

instance_id peer_auth::TakeRegressedSender() {
  return std::exchange(regressed_sender_, {});
}

std::string peer_auth::Sign(std::string_view text) const {
  const std::string& key = keys_.front();
  return FormatSignature(KeyId(key), Authenticate(key, kTextDomain, text));
}

bool peer_auth::Verify(std::string_view text,
                       std::string_view signature) const {
  if (signature.size() != kSignatureBytes) {
    return false;
  }
  return std::any_of(keys_.begin(), keys_.end(), [&](const std::string& key) {
    const std::string expected =
        FormatSignature(KeyId(key), Authenticate(key, kTextDomain, text));
    return CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) ==
           0;
  });
}

void peer_auth::SetKeys(peer_keys keys) {
  keys_ = std::move(keys);
}

void peer_auth::RaiseSequence(std::uint64_t highest) {
  next_sequence_ = std::max(next_sequence_, highest + 1);
}

std::uint64_t peer_auth::HighestSequenceFrom(instance_id from) const {
  const auto found = windows_.find(from.value);
  return found == windows_.end() ? 0 : found->second.highest;
}

}  // namespace rosemaryreach
