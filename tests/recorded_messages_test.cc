// Messages between instances as earlier builds wrote them, and as later ones
// may write them. Guards rolling upgrades, in which builds run side by side.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "adapters/deflate.h"
#include "rosemaryreach/flow_packet.h"
#include "rosemaryreach/peer_group.h"
#include "rosemaryreach/target_directory.h"
#include "rosemaryreach/view_codec.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

std::string FromHex(std::string_view hex) {
  constexpr int kHexBase = 16;
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(
        std::stoi(std::string(hex.substr(i, 2)), nullptr, kHexBase)));
  }
  return bytes;
}

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json FromCbor(const std::string& bytes) {
  return json::from_cbor(bytes);
}

// The same instance in each: 127.0.9.2, of a whole core, in data centre "dc-a",
// at revision 12 of the store.
constexpr std::string_view kBeaconOf631e016 =
    "8603871a7f0009021b000001a241c442b118601a6a8ade321903e8f40cf50c1a0007f53a8"
    "0";
constexpr std::string_view kBeaconOfBe58a4d =
    "8603871a7f0009021b000001a241c46f92185f1a6a8ade321903e8f40cf50c1a00072fb48"
    "0";
constexpr std::string_view kBeaconOf2508d5f =
    "8603871a7f0009021b000001a241c42c39185f1a6a8ade321903e8f40cf50c1a00074c098"
    "0";
// Formats 2 and 1, of builds that did not serve yet.
constexpr std::string_view kBeaconOfF9c800b =
    "8702861a7f0009021b000001a241c485a7141a6a8ade321903e8f4f50c0c1a0008e16380";
constexpr std::string_view kBeaconOfAd580b9 =
    "8701851a7f0009021b000001a241c4592b141a6a8ade32f4f50c0c1a00087fed80";

TEST_CASE("Beacons of earlier builds are read") {
  for (const std::string_view recorded :
       {kBeaconOf631e016, kBeaconOfBe58a4d, kBeaconOf2508d5f}) {
    const std::optional<beacon> read = DecodeBeacon(FromHex(recorded));
    REQUIRE(read);
    CHECK(read->from.address == 0x7F000902);
    CHECK(read->from.cpu_millicores == 1'000);
    CHECK(read->from.changed == store_cursor{0, 12});
    CHECK(read->cursor == store_cursor{0, 12});
    CHECK(read->wants_answer);
    // An earlier build reads the present one's beacon if the bytes are the
    // same.
    CHECK(EncodeBeacon(*read) == FromHex(recorded));
  }
}

TEST_CASE("Beacons of other formats are ignored") {
  CHECK_FALSE(DecodeBeacon(FromHex(kBeaconOfF9c800b)));
  CHECK_FALSE(DecodeBeacon(FromHex(kBeaconOfAd580b9)));
  json later = FromCbor(FromHex(kBeaconOf631e016));
  later[0] = 4;
  CHECK_FALSE(DecodeBeacon(ToCbor(later)));
}

TEST_CASE("Members that later builds append to a beacon are ignored") {
  json later = FromCbor(FromHex(kBeaconOf631e016));
  later[1].push_back("0.2.0+abc");
  later[5].push_back(later[1]);
  later.push_back({{"load", 3}});
  const std::optional<beacon> read = DecodeBeacon(ToCbor(later));
  REQUIRE(read);
  CHECK(read->from == DecodeBeacon(FromHex(kBeaconOf631e016))->from);
  CHECK(read->others.size() == 1);
}

TEST_CASE("A beacon that lacks a member is ignored") {
  json shorter = FromCbor(FromHex(kBeaconOf631e016));
  shorter.erase(5);
  CHECK_FALSE(DecodeBeacon(ToCbor(shorter)));
  shorter = FromCbor(FromHex(kBeaconOf631e016));
  shorter[1].erase(6);
  CHECK_FALSE(DecodeBeacon(ToCbor(shorter)));
}

// A configuration of version 7 and a target; the same bytes of 631e016, be58a4d
// and 2508d5f.
constexpr std::string_view kDeflatedView =
    "78016d504b4ec33010156b7288ca6b9ad86d45926ed9c2be126261ec716ba9b183ed848628"
    "1b"
    "544ec209b85b0e80c74854427835f366de67fc719565f3fb59dbb610d628bdbf9e779f23e9"
    "c1"
    "796d0dd92eca9b0571b60be063f33812c31b881579e5411c481c1eac0f08b0baca5995d39c"
    "21"
    "da3a50fa8478b1d9ac0b84c2d026a696d0b4368009887a70bd16697004b90747a6a70bfcc7"
    "f4"
    "77633a0724c694855e522aa852009465f3ee6bfc47320a72291d78d4236c55c69875bede56"
    "94"
    "520cf1664d4a20c592637f399ff4e99c869feeac119d7360c41045569831f090680eb81c90"
    "27"
    "ec51de830a0fe84371055ebac8c02d16db67ebf04f5959df46e79f377d038d717545";

TEST_CASE("A view of earlier builds is read") {
  const result<std::string> bytes = Inflate(FromHex(kDeflatedView), 1'000'000);
  REQUIRE(bytes);
  const result<store_answer> read = DecodeView(bytes.value());
  REQUIRE(read);
  CHECK_FALSE(read.value().full_snapshot);  // what changed after 0
  CHECK(read.value().cursor == store_cursor{0, 12});
  REQUIRE(read.value().items.size() == 2);
  CHECK(read.value().items[1].key == "servers/i-00c0ffee01");
  CHECK(EncodeView(read.value()) == bytes.value());
}

TEST_CASE("Members that later builds append to a view are ignored") {
  json later = FromCbor(Inflate(FromHex(kDeflatedView), 1'000'000).value());
  later.push_back(true);
  later[4][0].push_back(17);
  const result<store_answer> read = DecodeView(ToCbor(later));
  REQUIRE(read);
  CHECK(read.value().items.size() == 2);
  later[0] = 2;
  CHECK_FALSE(DecodeView(ToCbor(later)));
}

// Recorded from be58a4d, the first build that answers this call.
TEST_CASE("Departed targets of earlier builds are read") {
  const result<std::string> bytes =
      Inflate(FromHex("78016b6694e49dd50000055c01c5"), 1'000'000);
  REQUIRE(bytes);
  const result<departed_answer> read = DecodeDeparted(bytes.value());
  REQUIRE(read);
  CHECK(read.value().items.empty());
  CHECK(read.value().known_for > duration::zero());
  json later = FromCbor(bytes.value());
  later.push_back("more");
  CHECK(DecodeDeparted(ToCbor(later)));
}

// Open flows carry cookies that instances of other builds made, and a first
// packet's copies must map to the same service on each of them.
TEST_CASE("Cookies and the hash of a flow are those of earlier builds") {
  CHECK(MakeCookie("i-00c0ffee01", 1'796'000'000'000) == 0x6120CF92);
  CHECK(HashFlow({{0x64400007, 40'001}, {0xC6120001, 443}}) ==
        0x59CF1DF83785E662);
}

}  // namespace
}  // namespace rosemaryreach
