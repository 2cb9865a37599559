# rosemaryreach-entry and what it needs, and nothing of the other planes.
find_package(yaml-cpp REQUIRED)
find_package(ZLIB REQUIRED)
find_path(RAPIDJSON_DIR rapidjson/document.h REQUIRED)
rr_library(yaml yaml-cpp STATIC yaml-cpp)
rr_library(zlib ZLIB::ZLIB STATIC z)

# rr_io: the adapters that the daemon and the entry program share.
add_library(
  rr_io STATIC
  src/adapters/admin_server.cc
  src/adapters/connect_prober.cc
  src/adapters/deflate.cc
  src/adapters/event_loop.cc
  src/adapters/http_get.cc
  src/adapters/json_log.cc
  src/adapters/json_log_stdout.cc
  src/adapters/metrics.cc
  src/adapters/socket_address.cc
  src/adapters/udp_socket.cc
  src/config/json_text.cc)
target_include_directories(rr_io PUBLIC include PRIVATE src)
target_link_libraries(
  rr_io PUBLIC rr_core rr_easylogging rr_lib_event rr_lib_crypto rr_lib_zlib
               Threads::Threads)

rr_module(entry rr_core rr_lib_hash_map)

add_library(
  rr_platform STATIC platform/packet_header.cc platform/platform_settings_file.cc
                     platform/store_client.cc platform/store_documents.cc)
target_include_directories(rr_platform PUBLIC platform include src)
target_include_directories(rr_platform SYSTEM PRIVATE ${RAPIDJSON_DIR})
target_link_libraries(rr_platform PUBLIC rr_entry rr_io rr_lib_yaml rr_lib_strings)

file(GLOB entryd_sources CONFIGURE_DEPENDS src/entryd/*.cc)
list(REMOVE_ITEM entryd_sources ${CMAKE_SOURCE_DIR}/src/entryd/main.cc)
add_library(rr_entryd STATIC ${entryd_sources})
target_include_directories(rr_entryd PUBLIC src include)
target_link_libraries(rr_entryd PUBLIC rr_entry rr_io rr_platform)

add_executable(rosemaryreach-entry src/entryd/main.cc)
target_compile_definitions(rosemaryreach-entry
                           PRIVATE ROSEMARYREACH_BUILD="${ROSEMARYREACH_BUILD}")
target_link_libraries(rosemaryreach-entry PRIVATE rr_entryd rr_lib_popt)
if(ROSEMARYREACH_ENTRY_ONLY)
  target_link_options(rosemaryreach-entry PRIVATE -static-libstdc++
                      -static-libgcc)
endif()
